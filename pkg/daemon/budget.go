package daemon

import (
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/retry"
)

// budget shares one retry budget between traffic goroutines.
type budget struct {
	mu    sync.Mutex
	state *retry.Budget
}

func newBudget() *budget {
	return &budget{state: retry.New()}
}

// Request notes a first attempt.
func (b *budget) Request(key string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Request(key, now)
}

// Allow reports whether the key may make a retry now.
func (b *budget) Allow(key string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Allow(key, now)
}
