// Package losses sums up, from the log of entry instances, what callers lost and why.
//
// Each request leaves one line when it ends. One that was served within its goals earns its whole credit, one served
// late a half, and any other nothing; what is missing is put down to one cause. The causes tell refusals for want of room
// from those for want of a target, and a pause in which a target was lost from one of a busy target, since different
// decisions mend them. Unlike the users' own figures, all requests weigh the same here.
//
// Usage:
//
//	l := losses.New()
//	err := l.Read(file)
//	err = l.WriteTable(os.Stdout)
package losses
