// Package quarantine finds requests that crash the targets that run them, and keeps them from
// running again.
//
// A request is identified by its fingerprint, a hash of its content. Requests with the same content
// are copies of each other and share one verdict. A request runs on a path of one or more targets,
// and makes progress when one of its steps has passed the whole path.
//
// A crash makes suspects of the requests that ran on the target and had not yet made progress.
// Suspects are retried apart from each other, each on targets that responded after the crash (see
// MayRun). Otherwise a target of the same rack may have died at the same moment, and its crash would
// say nothing about the request. A suspect whose next target crashes before the suspect makes
// progress there is quarantined, unless the crashes may have another cause: several targets died at
// the same time, or another suspect of the first crash was on a second crashed target too. Such a
// suspect is held, which means that it is neither retried nor quarantined. A held suspect is released
// when another request is found to have caused the first crash.
//
// A request therefore costs at most two targets, unless its client sends further copies before the
// first crash. A suspect is cleared, which means that it may run anywhere again, as soon as it makes
// progress on another path: it only shared a target with the cause of the crash. A held request in
// flight should wait for a final verdict, which usually comes within a second; a new one is refused.
//
// When a request is quarantined, its two crashes are attributed to it, and no longer count against
// the other requests that ran on these targets.
//
// Suspects of other instances may run on the same targets. Instances report the targets of their
// suspects to each other (SuspectTargets and MarkRemoteSuspect). A crash of such a target is not
// evidence, so a suspect on it is held. Instances also exchange quarantined fingerprints
// (QuarantinedEntries and AddQuarantined) and held ones (HeldEntries and AddHeld).
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
