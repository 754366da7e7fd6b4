// Package emulator simulates targets that run a model, in virtual time: their layers, their KV cache memory, batched
// forward passes, the links between data centres, and targets that die. It tests routing decisions without real
// targets; one minute of 40 targets takes about one second.
//
// Each forward pass of a target serves the queued requests: one decode step of each request that generates output, and
// a bounded number of prompt tokens of the requests in prefill. A request is prefilled on each stage of its path in
// turn, and each decode step then runs through all stages. A request holds KV cells (tokens times layers) on each
// target. When a target's memory runs out, its newest request is preempted and later prefilled there again.
//
// Simplifications: the prefill of a prompt runs on one stage after the other instead of in chunks through all stages;
// load reports of targets are not simulated, as instances know only their own load and what other instances sent;
// loading weights takes no time.
//
// Usage:
//
//	e := emulator.New(engine, targets, emulator.WithTokensPerPass(2))
//	e.Schedule(0, func() {
//		stream, err := e.Open(p, emulator.TokenCounts{Prompt: 700, Output: 140}, emulator.Callbacks{Event: func(at time.Duration) { ... }})
//	})
//	e.Run(time.Minute)
//
// An Emulator is not safe for concurrent use. It calls the callbacks on the goroutine that called Run.
package emulator
