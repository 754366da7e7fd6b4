package quarantine

import "time"

const (
	// Duration is how long a request stays quarantined.
	Duration = 10 * time.Minute
	// suspectTTL is how long a crash counts against a request.
	suspectTTL = Duration
	// crashWindow is the time within which crashes count as simultaneous. A suspect is not quarantined
	// before this time has passed since the second crash, in case further crashes are reported. Broken
	// connections are noticed within milliseconds.
	crashWindow = 250 * time.Millisecond
	// minSimultaneousCrashes is the number of other crashes at the same time that make a crash part of
	// a larger failure, such as that of a rack.
	minSimultaneousCrashes = 2
	// unstableWindow and minUnstableEvents define when targets keep crashing for other reasons: two
	// other crash events without a likely cause within half a minute. A second crash may then be a
	// coincidence.
	unstableWindow    = 30 * time.Second
	minUnstableEvents = 2
	// coSuspectTimeout is how long after the second crash a suspect is held because another suspect of
	// one of its crashes may still make progress on other targets.
	coSuspectTimeout = 30 * time.Second
	// maxCrashes bounds the crashes counted against a request, even if it made progress on each target.
	maxCrashes = 4

	// holdTTL is how long other instances hold content that this one holds, unless they receive it again.
	holdTTL = 10 * time.Second

	// maxSuspects and maxEntries bound the memory (about 200 bytes each); the oldest are dropped.
	maxSuspects = 4096
	maxEntries  = 4096
	// maxEndedTargets bounds the targets whose ended runs are kept. maxEndedRuns bounds the runs kept
	// for each of them when another one is added. See Detector.ended.
	maxEndedTargets = 1024
	maxEndedRuns    = 63
	// pruneInterval spreads the cost of the search for expired entries.
	pruneInterval = time.Second
	// maxRecentCrashes bounds the crashes kept to find simultaneous and repeated ones.
	maxRecentCrashes = 64
)
