package rollout

import (
	"slices"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/placement"
	"github.com/cuminroute/cuminroute/pkg/decision/reconcile"
)

const (
	// DefaultPropagationDelay is how long the start or the end of a drain takes to reach every instance (P5).
	// New work may still arrive before, and a target that has changed gets none from some instances.
	DefaultPropagationDelay = 3 * time.Second
	// DefaultDrainTimeout bounds the wait for running steps. Most answers end within a minute.
	DefaultDrainTimeout = time.Minute
	// idleReports is the number of successive reports without steps that show a target to be idle:
	// between two steps of a stream, a report may show none, and loads in reports are some seconds old.
	idleReports = 3
	// DefaultMaxUnavailable bounds the targets that change at one time to a fourth of those available, and to a
	// fourth of those of each model, so that its others can bear the load.
	DefaultMaxUnavailable = 0.25
)

// TargetState is what is known of one engine.
type TargetState struct {
	Target            placement.Target
	Available         bool               // Available means that it is listed, not leaving, and answers.
	Reported          reconcile.Reported // Reported is what it holds; its layers are empty while it loads.
	PendingSteps      int                // Steps is the number of queued and running steps.
	ReportRequestedAt time.Time          // Asked is when the newest report was asked for, zero before the first.
}

// Spec is what the configuration wants.
type Spec struct {
	Models   []placement.Model
	Versions map[string]string // Versions maps a model to its version.
	LoadRate float64           // LoadRate is the weight store's rate in bytes/s.
}

// Actions is what to do now.
type Actions struct {
	Desired   map[string]reconcile.State // Desired are the states that may be ordered now.
	Drain     []string                   // Drain names the targets that get no new work.
	OutOfSync []string                   // Waiting names the targets that are not in their desired state.
}

// Rollout is the progress of the changes. It is not safe for concurrent use.
type Rollout struct {
	notice     time.Duration
	drainLimit time.Duration
	share      float64
	changes    map[string]*change
	nextLoad   time.Time            // nextLoad is when the weight store is free again.
	order      []placement.Load     // order is the order of loading that was computed last.
	started    time.Time            // started is when the first step was.
	ended      map[string]time.Time // ended is when the last change of a target ended.
}

// change is the change of one target.
type change struct {
	want     placement.Assignment
	version  string
	began    time.Time
	asked    time.Time // asked is that of the newest report that was counted.
	idle     int       // idle counts successive reports without steps.
	released bool
}

// Option changes a Rollout when it is made.
type Option func(*Rollout)

// WithDurations replaces the notice and the drain limit.
func WithDurations(notice, drainLimit time.Duration) Option {
	return func(r *Rollout) { r.notice, r.drainLimit = notice, drainLimit }
}

// WithMaxUnavailable replaces the part of the available targets, in all and of each model, that may change at
// one time.
func WithMaxUnavailable(share float64) Option {
	return func(r *Rollout) { r.share = share }
}

// New returns a rollout without changes.
func New(opts ...Option) *Rollout {
	r := &Rollout{notice: DefaultPropagationDelay, drainLimit: DefaultDrainTimeout, share: DefaultMaxUnavailable, changes: map[string]*change{}, ended: map[string]time.Time{}}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Plan repairs the assignments that were kept for the targets that are available. A target without
// an assignment is taken to keep what it holds, so that a fleet that becomes managed is not
// reshuffled.
func Plan(kept []placement.Assignment, targets []TargetState, goal Spec) placement.Plan {
	var workers []placement.Target
	old := placement.Plan{Assignments: slices.Clone(kept)}
	known := map[string]bool{}
	for _, a := range kept {
		known[a.Target] = true
	}
	for _, t := range targets {
		if !t.Available {
			continue
		}
		workers = append(workers, t.Target)
		if held := t.Reported; !known[t.Target.Name] && held.Layers.Valid() {
			old.Assignments = append(old.Assignments, placement.Assignment{Target: t.Target.Name, Model: held.Model, Layers: held.Layers})
		}
	}
	plan, _ := placement.New().Repair(old, workers, goal.Models)
	slices.SortFunc(plan.Assignments, byWorker)
	return plan
}
