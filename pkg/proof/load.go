package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
)

// LoadGenerator asks questions from a fixed number of callers until it is stopped. Every caller goes to a
// random ready instance, as a load balancer does.
type LoadGenerator struct {
	world   *Harness
	name    string
	tokens  int
	stop    context.CancelFunc
	callers sync.WaitGroup

	mu       sync.Mutex
	outcomes map[outcome.Outcome]int
	reasons  map[string]int
	findings []string
}

// StartLoad starts callers that each wait for an answer of the given length before the next question.
func (w *Harness) StartLoad(ctx context.Context, name string, seed uint64, callers, tokens int) *LoadGenerator {
	running, stop := context.WithCancel(ctx)
	l := &LoadGenerator{world: w, name: name, tokens: tokens, stop: stop, outcomes: map[outcome.Outcome]int{}, reasons: map[string]int{}}
	for n := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(n)))
		l.callers.Go(func() {
			for asked := 0; running.Err() == nil; asked++ {
				l.ask(ctx, random, fmt.Sprintf("%s-%d-%d", name, n, asked))
			}
		})
	}
	return l
}

func (l *LoadGenerator) ask(ctx context.Context, random *rand.Rand, word string) {
	ready := l.world.Ready()
	if len(ready) == 0 {
		return
	}
	m := ready[random.IntN(len(ready))]
	prompt := "how to darn " + word
	l.note(m, prompt, word, l.world.Chat(ctx, m, prompt, l.tokens))
}

func (l *LoadGenerator) note(m *fleet.NamedInstance, prompt, word string, a caller.Response) {
	err := CheckResponse(a, prompt, l.tokens)
	if err == nil && a.Outcome == outcome.NotRun && l.world.HasExecuted(word) {
		err = fmt.Errorf("%q ran and was refused as NotRun", word)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[a.Outcome]++
	if a.Err != nil {
		l.reasons[a.Code+": "+a.Err.Error()]++
	}
	if err != nil {
		l.findings = append(l.findings, m.Name+": "+err.Error())
	}
}

// Completed returns the number of whole answers so far.
func (l *LoadGenerator) Completed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outcomes[outcome.Done]
}

// Stop lets every caller finish its last question and returns the number of each outcome and what was wrong.
func (l *LoadGenerator) Stop() (map[outcome.Outcome]int, []string) {
	l.stop()
	l.callers.Wait()
	return l.outcomes, l.findings
}

// ErrorCounts returns how often each reason was given for an answer that was not whole. It is called after Stop.
func (l *LoadGenerator) ErrorCounts() map[string]int { return l.reasons }
