package soak

import (
	"math/rand/v2"
	"time"
)

// FaultKind names a fault.
type FaultKind string

// Kinds of faults.
const (
	StageKill         FaultKind = "StageKill"
	StageFreeze       FaultKind = "StageFreeze"
	StageLosesAnswers FaultKind = "StageLosesAnswers"
	SlowLink          FaultKind = "SlowLink"
	TargetLeaves      FaultKind = "TargetLeaves"
	EntryKill         FaultKind = "EntryKill"
	EntryStop         FaultKind = "EntryStop"
	TableOutage       FaultKind = "TableOutage"
	TableSilent       FaultKind = "TableSilent"
	TableLosesAnswers FaultKind = "TableLosesAnswers"
	ListLag           FaultKind = "ListLag"
	ListOutage        FaultKind = "ListOutage"
	ServiceCrash      FaultKind = "ServiceCrash"
	ServiceFreeze     FaultKind = "ServiceFreeze"
	ConfigurationRace FaultKind = "ConfigurationRace"
	CrashingRequest   FaultKind = "CrashingRequest"
	Resend            FaultKind = "Resend" // Resend is drawn with the traffic, not scheduled.
)

// weights are how often each scheduled kind is drawn.
var weights = []struct {
	kind   FaultKind
	weight int
}{
	{StageKill, 4},
	{StageFreeze, 4},
	{StageLosesAnswers, 3},
	{SlowLink, 3},
	{TargetLeaves, 3},
	{EntryKill, 1},
	{EntryStop, 2},
	{TableOutage, 1},
	{TableSilent, 1},
	{TableLosesAnswers, 3},
	{ListLag, 1},
	{ListOutage, 1},
	{ServiceCrash, 2},
	{ServiceFreeze, 2},
	{ConfigurationRace, 5},
	{CrashingRequest, 1},
}

const (
	// faultGap is the mean time between two faults. Faults of up to faultLength overlap.
	faultGap    = 700 * time.Millisecond
	faultLength = 5 * time.Second
	// leaveLength lets a departure outlast its limit of 3 s, so that it can be violated.
	leaveLength = 6 * time.Second
)

// fault is one entry of the schedule. Pick chooses what it hits among what there is then.
type fault struct {
	kind   FaultKind
	at     time.Duration
	length time.Duration
	pick   int
}

// schedule draws the faults of a run. The same seed draws the same faults.
func schedule(r *rand.Rand, duration time.Duration) []fault {
	var faults []fault
	at := time.Duration(0)
	for {
		at += time.Duration(r.ExpFloat64() * float64(faultGap))
		if at >= duration {
			return faults
		}
		f := fault{kind: drawKind(r), at: at, pick: r.IntN(1 << 30)}
		f.length = faultLength/5 + time.Duration(r.Int64N(int64(faultLength*4/5)))
		if f.kind == TargetLeaves {
			f.length = leaveLength
		}
		faults = append(faults, f)
	}
}

func drawKind(r *rand.Rand) FaultKind {
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	at := r.IntN(total)
	for _, w := range weights {
		if at < w.weight {
			return w.kind
		}
		at -= w.weight
	}
	return StageKill
}
