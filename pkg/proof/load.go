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

// LoadGenerator sends chat requests from a fixed number of clients until it is stopped. Each request goes to a random
// ready instance, as with a load balancer.
type LoadGenerator struct {
	harness *Harness
	name    string
	tokens  int
	stop    context.CancelFunc
	clients sync.WaitGroup

	mu          sync.Mutex
	outcomes    map[outcome.Outcome]int
	errorCounts map[string]int
	findings    []string
}

// StartLoad starts clients that each wait for a response of the given number of tokens before they send the next
// request.
func (h *Harness) StartLoad(ctx context.Context, name string, seed uint64, clients, tokens int) *LoadGenerator {
	running, stop := context.WithCancel(ctx)
	g := &LoadGenerator{harness: h, name: name, tokens: tokens, stop: stop, outcomes: map[outcome.Outcome]int{}, errorCounts: map[string]int{}}
	for n := range clients {
		random := rand.New(rand.NewPCG(seed, uint64(n)))
		g.clients.Go(func() {
			for sent := 0; running.Err() == nil; sent++ {
				g.sendRequest(ctx, random, fmt.Sprintf("%s-%d-%d", name, n, sent))
			}
		})
	}
	return g
}

func (g *LoadGenerator) sendRequest(ctx context.Context, random *rand.Rand, id string) {
	ready := g.harness.Ready()
	if len(ready) == 0 {
		return
	}
	instance := ready[random.IntN(len(ready))]
	prompt := "how to darn " + id
	g.recordResponse(instance, prompt, id, g.harness.Chat(ctx, instance, prompt, g.tokens))
}

func (g *LoadGenerator) recordResponse(instance *fleet.NamedInstance, prompt, id string, response caller.Response) {
	err := CheckResponse(response, prompt, g.tokens)
	if err == nil && response.Outcome == outcome.NotRun && g.harness.HasExecuted(id) {
		err = fmt.Errorf("%q was executed although it was refused as NotRun", id)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outcomes[response.Outcome]++
	if response.Err != nil {
		g.errorCounts[response.Code+": "+response.Err.Error()]++
	}
	if err != nil {
		g.findings = append(g.findings, instance.Name+": "+err.Error())
	}
}

// Completed returns the number of complete responses so far.
func (g *LoadGenerator) Completed() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.outcomes[outcome.Done]
}

// Stop waits until every client has finished its last request, and returns the count of each outcome and the findings.
func (g *LoadGenerator) Stop() (map[outcome.Outcome]int, []string) {
	g.stop()
	g.clients.Wait()
	return g.outcomes, g.findings
}

// ErrorCounts returns how often each error was returned. It must be called after Stop.
func (g *LoadGenerator) ErrorCounts() map[string]int { return g.errorCounts }
