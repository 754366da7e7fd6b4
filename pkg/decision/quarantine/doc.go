// Package quarantine finds requests that crash the targets that run them, and keeps them from
// running again.
//
// A crash makes suspects of the requests that ran on the target and had not yet made progress on
// their whole path. Suspects are retried apart from each other, each on targets that responded after
// the crash (see MayRun). Otherwise a target of the same rack may have died at the same moment, and
// its crash would say nothing about the request. A suspect whose next target crashes before
// responding to it is quarantined by its fingerprint, unless there is another explanation: several
// targets died at the same time, or another suspect of the first crash was on a second crashed
// target too. Such a request is Held, which means that it is neither retried nor quarantined. It is
// released when another request is found to have caused the first crash.
//
// A request therefore costs at most two targets, unless its client sends further copies before the
// first crash. A co-located request is cleared as soon as it makes progress elsewhere. A request in
// flight that is Held should wait for a verdict, which usually comes within a second; a new one is
// refused.
//
// Suspects of other instances may run on the same targets. Instances report theirs to each other
// (SuspectTargets and MarkRemoteSuspect); a crash of such a target proves nothing, and leads to Held.
// They also exchange quarantined fingerprints (QuarantinedEntries and AddQuarantined) and held ones
// (HeldEntries and AddHeld).
//
// A Detector reads no clock and is safe for concurrent use. Its memory is bounded by the running
// requests and by fixed numbers of suspects and entries.
//
// Usage:
//
//	fingerprint := quarantine.Fingerprint(workspace, content)
//	if detector.Check(fingerprint, now) ... // Held and Quarantined requests are refused.
//	detector.RequestStarted(id, fingerprint, target) // for each target of the path, if MayRun
//	detector.RequestProgressed(id)                   // at the first token on each path
//	detector.TargetResponded(target)                 // at each response or report of a target
//	detector.TargetCrashed(target, now)              // before RequestFinished of the requests there
//	detector.RequestFinished(id, target)             // for each target
//	detector.RequestCompleted(fingerprint)           // when the whole response was sent
package quarantine
