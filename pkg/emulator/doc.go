// Package emulator models engine targets in virtual time: layers, memory for requests, batches, the pipes between data
// centres, and targets that die. Decisions are played on it long before they meet a real fleet, and a minute of a fleet
// of forty takes about a second.
//
// A target works in passes. Each pass takes what waits: one step of each request that writes, and a bounded number of
// prompt tokens of those that read. A request reads its prompt through each target of its path in turn, and then passes
// through all of them for each step. It holds memory on each target for each token and layer. Where memory runs out the
// newest request is preempted: it reads all its tokens again there.
//
// Simplifications: a prompt is read through one target after the other, not piece by piece through all; reports are
// not modelled, since the load that instances know is their own and what others told; loads of weights take no time.
//
// Usage:
//
//	e := emulator.New(engine, targets, emulator.WithStride(2))
//	e.At(0, func() {
//		err := e.Open(p, emulator.Work{Prompt: 700, Answer: 140}, emulator.Watcher{Event: func(at time.Duration) { ... }})
//	})
//	e.Run(time.Minute)
//
// An Emulator is not safe for concurrent use, and its callbacks run on the caller's goroutine.
package emulator
