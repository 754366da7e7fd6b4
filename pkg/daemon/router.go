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

// Place implements stream.Router. A suspect of a crash avoids the targets that the ledger does not
// permit, so that a second crash tells whether it is guilty.
func (r *router) Place(p stream.Placement) ([]target.Target, error) {
	source := r.sources.Get().(*rand.Rand)
	defer r.sources.Put(source)
	avoid := p.Avoid
	if p.Apart {
		avoid = append(r.ledger.ExcludedTargets(p.Request, p.Fingerprint, r.targets(), p.Now), avoid...)
	}
	chosen, err := r.picker.Pick(source, route.Request{
		Model: p.Model, Layers: p.Layers, PrefixHash: p.PrefixHash, PromptBytes: p.PromptBytes,
		Avoid: avoid, Apart: p.Apart, Now: p.Now,
	})
	if err != nil {
		return nil, err
	}
	return chosen.Stages, nil
}

// Release implements stream.Router.
func (r *router) Release(stages []target.Target) {
	r.picker.Release(route.Route{Stages: stages})
}

// Sent implements stream.Router.
func (r *router) Sent(name string, cost float64, now time.Time) {
	r.picker.Sent(name, cost, now)
}

// Finished implements stream.Router.
func (r *router) Finished(name string, cost float64, took time.Duration, now time.Time) {
	r.picker.Finished(name, cost, took, now)
}

// Abandoned implements stream.Router.
func (r *router) Abandoned(name string, cost float64, now time.Time) {
	r.picker.Abandoned(name, cost, now)
}

// Failed implements stream.Router.
func (r *router) Failed(name string, now time.Time) {
	r.picker.Failed(name, now)
}

// Leaving implements stream.Router.
func (r *router) Leaving(name string) {
	r.picker.Leaving(name, time.Now())
	r.leaving(name)
}
