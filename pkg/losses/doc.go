// Package losses reports how much goodput clients lost, by cause, from the logs of instances.
//
// Each request writes one log line when it ends. A request served within its latency goals earns full credit, one served
// late half of it, and any other none; the missing credit is attributed to one cause. The causes distinguish refusals
// without capacity from those without a target, and stalls after the loss of a target from those of a busy target, since
// they are remedied by different decisions. Unlike in the users' own figures, all requests have the same weight.
//
// Usage:
//
//	r := losses.New()
//	err := r.Read(file)
//	err = r.WriteTable(os.Stdout)
package losses
