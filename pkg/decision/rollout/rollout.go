package rollout

import (
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/placement"
	"github.com/cuminroute/cuminroute/pkg/decision/reconcile"
)

const (
	// DefaultPropagationDelay is how long the start or the end of a drain takes to reach every instance (P5).
	// Until then a draining target may still get new requests, and a changed target gets none from some
	// instances.
	DefaultPropagationDelay = 3 * time.Second
	// DefaultDrainTimeout bounds the wait for pending steps. Most responses end within a minute.
	DefaultDrainTimeout = time.Minute
	// minIdleReports is the number of successive reports without steps after which a target counts as
	// idle. A single report may fall between two steps of a stream, and reported loads are some seconds old.
	minIdleReports = 3
	// DefaultMaxUnavailable limits the targets that change at one time to a quarter of the available ones,
	// and to a quarter of those of each model, so that the others can carry the load.
	DefaultMaxUnavailable = 0.25
)

// TargetState is the observed state of one target.
type TargetState struct {
	Target            placement.Target
	Available         bool               // Available means that the target is listed, not leaving, and responds.
	Reported          reconcile.Reported // Reported is what the target holds; the layers are empty while it loads.
	PendingSteps      int                // PendingSteps is the number of queued and running steps.
	ReportRequestedAt time.Time          // ReportRequestedAt is when the newest report was requested, zero before the first.
}

// Spec is the desired state from the configuration.
type Spec struct {
	Models   []placement.Model
	Versions map[string]string // Versions maps a model to its version.
	LoadRate float64           // LoadRate is the weight store's rate in bytes/s.
}

// Actions are the actions that are due now.
type Actions struct {
	Desired   map[string]reconcile.State // Desired are the states that may be assigned now.
	Drain     []string                   // Drain names the targets that get no new requests.
	OutOfSync []string                   // OutOfSync names the targets that are not in their desired state.
}

// Rollout tracks the progress of a rolling update. It is not safe for concurrent use.
type Rollout struct {
	propagationDelay time.Duration
	drainTimeout     time.Duration
	maxUnavailable   float64
	changes          map[string]*change
	nextLoadAt       time.Time            // nextLoadAt is when the weight store can serve the next load.
	scheduledLoads   []placement.Load     // scheduledLoads is the load order that was computed last.
	startedAt        time.Time            // startedAt is the time of the first call of Advance.
	endedAt          map[string]time.Time // endedAt maps a target to the time when its last change ended.
}

// change tracks one target from the start of its drain until it is in sync or no longer available.
type change struct {
	assignment        placement.Assignment
	version           string
	startedAt         time.Time // startedAt is when the drain started.
	reportRequestedAt time.Time // reportRequestedAt is when the newest counted report was requested.
	idleCount         int       // idleCount is the number of successive reports without steps.
	released          bool      // released means that the assignment may be sent.
}

// Option configures a Rollout.
type Option func(*Rollout)

// WithDurations sets the propagation delay and the drain timeout.
func WithDurations(propagationDelay, drainTimeout time.Duration) Option {
	return func(r *Rollout) { r.propagationDelay, r.drainTimeout = propagationDelay, drainTimeout }
}

// WithMaxUnavailable sets the fraction of the available targets, in total and of each model, that may
// change at one time.
func WithMaxUnavailable(maxUnavailable float64) Option {
	return func(r *Rollout) { r.maxUnavailable = maxUnavailable }
}

// New returns a rollout without changes.
func New(opts ...Option) *Rollout {
	r := &Rollout{
		propagationDelay: DefaultPropagationDelay, drainTimeout: DefaultDrainTimeout, maxUnavailable: DefaultMaxUnavailable,
		changes: map[string]*change{}, endedAt: map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Plan repairs the stored assignments for the available targets. A target without an assignment keeps
// what it holds, so that a fleet that becomes managed is not rearranged.
func Plan(kept []placement.Assignment, targets []TargetState, spec Spec) placement.Plan {
	var available []placement.Target
	old := placement.Plan{Assignments: slices.Clone(kept)}
	known := map[string]bool{}
	for _, a := range kept {
		known[a.Target] = true
	}
	for _, t := range targets {
		if !t.Available {
			continue
		}
		available = append(available, t.Target)
		if held := t.Reported; !known[t.Target.Name] && held.Layers.Valid() {
			old.Assignments = append(old.Assignments, placement.Assignment{Target: t.Target.Name, Model: held.Model, Layers: held.Layers})
		}
	}
	plan, _ := placement.New().Repair(old, available, spec.Models)
	slices.SortFunc(plan.Assignments, byTarget)
	return plan
}
