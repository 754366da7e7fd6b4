// Package crashhistory finds content that crashes targets from the crashes that all instances report.
//
// A client sends a request again to any instance, so that each instance sees only some of the crashes that the request
// causes. Package quarantine judges the crashes that one instance has seen, and leaves the verdict open where another
// cause is possible. A History counts the crashes of the whole fleet and bounds what such content can do: it is a cause
// after minCrashes crashes under different requests, whatever else crashes at the time.
//
// Each instance reports the requests that ran on a crashed target and had made no progress. Reports of several instances
// on the same target are one crash. Content that makes progress anywhere does not crash targets: it is cleared, and an
// instance that saw the progress says so to the others. Crashes whose cause has been found no longer count against the
// other content that ran there. A crash counts once other instances have had settleTime to report or to clear.
//
// The cause may be a part of the content that many requests share, such as a document in their prompts. A run therefore
// lists the fingerprints of its parts and of the whole, and each is counted. Requests without the bad part share its other
// parts and clear them by their progress. Of several possible causes the one with the most crashes is chosen, then the most
// specific one.
//
// All instances get the same reports and come to the same causes. A lost report delays the verdict by one crash. In a large
// fleet nearly all instances make progress with popular parts, so that an instance leaves out of its report what it has
// cleared itself, and only instances that reported a crash pass its cause on.
//
// A History reads no clock and is safe for concurrent use. Its memory is bounded.
//
// Usage:
//
//	innocent := history.Add(report, now)          // a crash reported by this or another instance
//	send(report.Without(innocent))                // if it is of this instance; otherwise, send innocent
//	cleared := history.Progressed(contents, now)  // the other instances should be told
//	history.Clear(contents, now)                  // another instance saw progress
//	for _, cause := range history.Causes(now) { ... }
package crashhistory
