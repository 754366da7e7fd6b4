package quarantine

import "time"

const (
	// Duration is how long a request stays quarantined.
	Duration = 10 * time.Minute
	// suspectTTL is how long a crash counts against a request.
	suspectTTL = Duration
	// crashWindow is the time within which crashes count as simultaneous, and for which a verdict waits
	// for reports of further crashes. Broken connections are noticed within milliseconds.
	crashWindow = 250 * time.Millisecond
	// minSimultaneousCrashes is the number of other crashes at the same time that make a crash part of
	// a larger failure, such as that of a rack.
	minSimultaneousCrashes = 2
	// unstableWindow and minUnstableEvents define when targets keep crashing for other reasons: two
	// other unexplained events within half a minute. A second crash may then be a coincidence.
	unstableWindow    = 30 * time.Second
	minUnstableEvents = 2
	// coSuspectTimeout bounds the wait for the other suspects of a crash to make progress elsewhere.
	coSuspectTimeout = 30 * time.Second
	// maxCrashes bounds the crashes counted against a request, even if it made progress on each target.
	maxCrashes = 4

	// holdTTL is how long other instances hold what this one holds, unless the hold is renewed.
	holdTTL = 10 * time.Second

	// maxSuspects and maxEntries bound the memory (about 200 bytes each); the oldest are dropped.
	maxSuspects = 4096
	maxEntries  = 4096
	// maxEndedTargets and maxEndedRuns bound the kept runs that ended without progress: the number of
	// targets, and of runs on each.
	maxEndedTargets = 1024
	maxEndedRuns    = 63
	// pruneInterval spreads the cost of the search for expired entries.
	pruneInterval = time.Second
	// maxRecentCrashes bounds the crashes kept to recognise simultaneous ones.
	maxRecentCrashes = 64
)
