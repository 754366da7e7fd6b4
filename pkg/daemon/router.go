package daemon

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/route"
	"github.com/cuminroute/cuminroute/pkg/stream"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// router adapts a route.Picker to the stream package. Random sources are pooled, since the picker needs
// one for each call and concurrent request goroutines must not share one.
type router struct {
	picker        *route.Picker
	crashTracker  crashTracker
	onLeaving     func(name string)
	targets       func() []target.Target
	randomSources sync.Pool
}

func newRouter(picker *route.Picker, tracker crashTracker, targets func() []target.Target, onLeaving func(name string)) *router {
	return &router{
		picker: picker, crashTracker: tracker, onLeaving: onLeaving, targets: targets,
		randomSources: sync.Pool{New: func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }},
	}
}

// PickRoute implements stream.Router. A request that is suspected of a crash runs exclusively: it excludes the
// targets on which the crash tracker does not let it run, so that a second crash shows whether this request is
// the cause.
func (r *router) PickRoute(p stream.RouteRequest) ([]target.Target, error) {
	source := r.randomSources.Get().(*rand.Rand)
	defer r.randomSources.Put(source)
	excluded := p.Excluded
	if p.Exclusive {
		excluded = append(r.crashTracker.ExcludedTargets(p.Request, p.Fingerprint, r.targets(), p.Now), excluded...)
	}
	chosen, err := r.picker.Pick(source, route.Request{
		Model: p.Model, Layers: p.Layers, PrefixHash: p.PrefixHash, PromptBytes: p.PromptBytes,
		Excluded: excluded, Exclusive: p.Exclusive, Now: p.Now,
	})
	if err != nil {
		return nil, err
	}
	return chosen.Stages, nil
}

// ReleaseExclusive implements stream.Router.
func (r *router) ReleaseExclusive(stages []target.Target) {
	r.picker.ReleaseExclusive(route.Route{Stages: stages})
}

// RequestSent implements stream.Router.
func (r *router) RequestSent(name string, cost float64, now time.Time) {
	r.picker.RequestSent(name, cost, now)
}

// RequestFinished implements stream.Router.
func (r *router) RequestFinished(name string, cost float64, took time.Duration, now time.Time) {
	r.picker.RequestFinished(name, cost, took, now)
}

// RequestAbandoned implements stream.Router.
func (r *router) RequestAbandoned(name string, cost float64, now time.Time) {
	r.picker.RequestAbandoned(name, cost, now)
}

// TargetFailed implements stream.Router.
func (r *router) TargetFailed(name string, now time.Time) {
	r.picker.TargetFailed(name, now)
}

// MarkLeaving implements stream.Router.
func (r *router) MarkLeaving(name string) {
	r.picker.MarkLeaving(name, time.Now())
	r.onLeaving(name)
}
