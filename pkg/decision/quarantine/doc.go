// Package quarantine finds requests that crash the targets that run them, and keeps them from
// running again.
//
// A crash implicates every request that ran on the target and had not yet come through its whole
// route. They become suspects and are run again apart from each other, each on targets that
// answered something after the crash (see MayRun). Without that proof, a target of the same rack
// may have died at the same moment, and its death would say nothing about the request. A suspect whose next target crashes before it answered the
// suspect is quarantined by its fingerprint, unless another explanation exists: several targets
// died at the same time, or another suspect of the first crash was hit by a second crash too.
// Such a request is Held. It is not run again and not quarantined, and it is freed when another
// request is found guilty of the first crash.
//
// A request therefore costs at most two targets, unless its caller sends more copies before the
// first crash. A neighbour is cleared as soon as it makes progress elsewhere. A request in flight
// that is Held should wait for a verdict, which usually comes within a second; a new one is
// refused.
//
// Suspects of other instances may run on the same targets. Instances tell each other theirs (Busy
// and RemoteSuspect); a crash of such a target proves nothing, and leads to Held. They also exchange
// quarantined contents (List and Add) and held ones (Holding and Hold).
//
// A Ledger reads no clock and is safe for concurrent use. Its memory is bounded by the running
// requests and by fixed numbers of suspects and entries.
//
// Usage:
//
//	print := quarantine.Fingerprint(workspace, content)
//	if ledger.Check(print, now) ... // Held and Quarantined requests are refused.
//	ledger.Start(id, print, target) // for each target of the route, where MayRun(id, print, target, now)
//	ledger.Progress(id)             // at the first token of each route
//	ledger.Alive(target)            // at each answer or report of a target
//	ledger.Crash(target, now)       // before Finish of the requests that ran there
//	ledger.Finish(id, target)       // for each target
//	ledger.Completed(print)         // when the whole answer was given
package quarantine
