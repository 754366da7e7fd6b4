package daemon

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/route"
	"github.com/cuminroute/cuminroute/pkg/stream"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// router lets streams choose routes by a picker. Random sources are pooled, since the picker
// takes one and traffic goroutines must not share it.
type router struct {
	picker  *route.Picker
	ledger  ledger
	leaving func(name string)
	targets func() []target.Target
	sources sync.Pool
}

func newRouter(picker *route.Picker, l ledger, targets func() []target.Target, leaving func(name string)) *router {
	return &router{
		picker: picker, ledger: l, leaving: leaving, targets: targets,
		sources: sync.Pool{New: func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }},
	}
}

// PickRoute implements stream.Router. A suspect of a crash avoids the targets that the ledger does not
// permit, so that a second crash tells whether it is guilty.
func (r *router) PickRoute(p stream.RouteRequest) ([]target.Target, error) {
	source := r.sources.Get().(*rand.Rand)
	defer r.sources.Put(source)
	avoid := p.Excluded
	if p.Exclusive {
		avoid = append(r.ledger.ExcludedTargets(p.Request, p.Fingerprint, r.targets(), p.Now), avoid...)
	}
	chosen, err := r.picker.Pick(source, route.Request{
		Model: p.Model, Layers: p.Layers, PrefixHash: p.PrefixHash, PromptBytes: p.PromptBytes,
		Excluded: avoid, Exclusive: p.Exclusive, Now: p.Now,
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
	r.leaving(name)
}
