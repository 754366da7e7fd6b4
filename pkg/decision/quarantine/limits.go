package quarantine

import "time"

const (
	// Duration is how long a request stays quarantined.
	Duration = 10 * time.Minute
	// suspectLife is how long a crash counts against a request.
	suspectLife = Duration
	// settle is the time within which crashes count as simultaneous, and for which a verdict waits
	// for reports of further crashes. Broken connections show within milliseconds.
	settle = 250 * time.Millisecond
	// severalDeaths is the number of other deaths at the same time that make a crash part of a
	// larger loss, such as that of a rack.
	severalDeaths = 2
	// unrest and severalEvents state when targets keep dying for other reasons: two other
	// unexplained events within half a minute. A second crash may then be a coincidence.
	unrest        = 30 * time.Second
	severalEvents = 2
	// companionWait bounds the wait for the other suspects of a crash to make progress elsewhere.
	companionWait = 30 * time.Second
	// maxCrashes bounds the targets that a request may lose even if it answered steps on each of them.
	maxCrashes = 4

	// holdLife is how long another instance holds what this one holds, unless it is told again.
	holdLife = 10 * time.Second

	// maxSuspects and maxEntries bound the memory (about 200 bytes each); the oldest are dropped.
	maxSuspects = 4096
	maxEntries  = 4096
	// maxLeft and maxLeftRuns bound the runs kept that ended without progress: targets, and runs on each.
	maxLeft     = 1024
	maxLeftRuns = 63
	// pruneEvery spreads the cost of looking for expired entries.
	pruneEvery = time.Second
	// maxRecent bounds the crashes kept to recognise simultaneous ones.
	maxRecent = 64
)
