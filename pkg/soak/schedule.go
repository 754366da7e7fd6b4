package soak

import (
	"math/rand/v2"
	"time"
)

// FaultKind is the kind of an injected fault.
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
	ClientCrowd       FaultKind = "ClientCrowd"
	Resend            FaultKind = "Resend" // Resend is drawn with the requests and isn't scheduled.
)

// faultWeights holds the relative frequency of each scheduled kind.
var faultWeights = []struct {
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
	{ClientCrowd, 1},
}

const (
	// meanFaultInterval is the mean time between two faults. Faults last up to maxFaultDuration, so they overlap.
	meanFaultInterval = 700 * time.Millisecond
	maxFaultDuration  = 5 * time.Second
	// leavingDuration is longer than the leavingLimit of 3 s, so that a run can detect a violation of it.
	leavingDuration = 6 * time.Second
)

// fault is an entry of the schedule. The selector, modulo their number at the time, chooses one of the candidates that
// the fault can affect.
type fault struct {
	kind     FaultKind
	at       time.Duration
	duration time.Duration
	selector int
}

// schedule draws the faults of a run. The same seed yields the same faults.
func schedule(r *rand.Rand, duration time.Duration) []fault {
	var faults []fault
	at := time.Duration(0)
	for {
		at += time.Duration(r.ExpFloat64() * float64(meanFaultInterval))
		if at >= duration {
			return faults
		}
		f := fault{kind: drawKind(r), at: at, selector: r.IntN(1 << 30)}
		f.duration = maxFaultDuration/5 + time.Duration(r.Int64N(int64(maxFaultDuration*4/5)))
		if f.kind == TargetLeaves {
			f.duration = leavingDuration
		}
		faults = append(faults, f)
	}
}

func drawKind(r *rand.Rand) FaultKind {
	total := 0
	for _, w := range faultWeights {
		total += w.weight
	}
	at := r.IntN(total)
	for _, w := range faultWeights {
		if at < w.weight {
			return w.kind
		}
		at -= w.weight
	}
	return StageKill
}
