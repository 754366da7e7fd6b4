package proxy

import (
	"sync"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// Pool is the set of targets of one service. The set is immutable: an update creates a new pool, and existing snapshots
// keep the old one. A nil pool has no targets.
type Pool struct {
	targets []*target.Target

	mu     sync.Mutex
	engine *catalogue.Engine // engine is the engine that the finder was built for.
	finder *path.Finder
}

// NewPool returns a pool of the targets, which must not be modified afterwards.
func NewPool(targets ...*target.Target) *Pool {
	return &Pool{targets: targets}
}

// Targets returns the targets. The slice must not be modified.
func (p *Pool) Targets() []*target.Target {
	if p == nil {
		return nil
	}
	return p.targets
}

// PathFinder returns the path finder for the targets, which all requests share. It builds the finder on the first call
// and when the engine has changed.
func (p *Pool) PathFinder(engine *catalogue.Engine) *path.Finder {
	if p == nil {
		return path.New(engine, nil)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.finder == nil || p.engine != engine {
		p.engine, p.finder = engine, path.New(engine, p.targets)
	}
	return p.finder
}
