package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/engine"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
	"github.com/cuminroute/cuminroute/pkg/standin/service"
)

// loadGenerator sends the requests of the clients of one fleet and records their outcomes.
type loadGenerator struct {
	fleet  *runningFleet
	client *caller.Client
	mu     sync.Mutex
	report Report
}

// sendQuestions sends questions to the ready instances in turn, like a load balancer that checks readiness.
func (g *loadGenerator) sendQuestions(ctx context.Context) {
	s := g.fleet.scenario
	model := g.fleet.configuration.HeadOffice.Models[0]
	var clients sync.WaitGroup
	for n := range questionsPerFleet {
		question := fmt.Sprintf("%s (%d)", s.questions[n%len(s.questions)], n)
		want := strings.Join(engine.ExpectedOutput(model.Name, model.Layers, fleet.EnginePrompt(question), outputTokens), "")
		clients.Go(func() {
			response := g.client.Chat(ctx, caller.ChatRequest{
				Address: g.fleet.readyAddress(n), Key: s.keyPrefix + s.workspace, Pipeline: s.pipelines[n%len(s.pipelines)],
				Prompt: question, Tokens: outputTokens,
			})
			g.record(response, response.Text == want)
		})
		time.Sleep(arrivalInterval)
	}
	clients.Wait()
}

// sendOrders sends each order twice, concurrently through two instances, together with a stock lookup.
func (g *loadGenerator) sendOrders(ctx context.Context) {
	s := g.fleet.scenario
	var clients sync.WaitGroup
	for n := range ordersPerFleet {
		id := fmt.Sprintf("order-%d", n)
		for resend := range 2 {
			clients.Go(func() {
				response := g.sendOrder(ctx, id, g.fleet.readyAddress(n+resend))
				g.record(response, correctResponse(response.Text, id))
			})
		}
		clients.Go(func() {
			response := g.client.CallService(ctx, caller.ServiceRequest{
				Address: g.fleet.readyAddress(n), Key: s.keyPrefix + s.workspace + "-" + s.branch,
				Method: http.MethodGet, Path: s.stockPath,
			})
			g.record(response, correctResponse(response.Text, ""))
		})
		time.Sleep(arrivalInterval)
	}
	clients.Wait()
}

// sendOrder sends an order. The response has the outcome Unknown while another request with the same ID still
// runs; sendOrder then sends the order again after a delay.
func (g *loadGenerator) sendOrder(ctx context.Context, id string, to netip.AddrPort) caller.Response {
	const maxAttempts, retryInterval = 20, 100 * time.Millisecond
	s := g.fleet.scenario
	var response caller.Response
	for range maxAttempts {
		response = g.client.CallService(ctx, caller.ServiceRequest{
			Address: to, Key: s.keyPrefix + s.workspace + "-" + s.branch, Method: http.MethodPost, Path: s.orderPath, ID: id, Content: id,
		})
		if response.Outcome != outcome.Unknown || response.Truncated {
			return response
		}
		time.Sleep(retryInterval)
	}
	return response
}

func correctResponse(text, key string) bool {
	var response service.Response
	return json.Unmarshal([]byte(text), &response) == nil && response.Key == key
}

func (g *loadGenerator) record(response caller.Response, correct bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.record(response, correct)
}

// countDoubled adds to the report the number of orders that were executed more than once.
func (g *loadGenerator) countDoubled() {
	executed := make(map[string]int)
	for _, s := range g.fleet.services {
		for key, n := range s.Executed() {
			executed[key] += n
		}
	}
	for _, n := range executed {
		if n > 1 {
			g.report.Doubled++
		}
	}
}

// readyAddress returns the client address of a ready instance, starting the search at instance n. If none is
// ready, it returns that of the first instance.
func (r *runningFleet) readyAddress(n int) netip.AddrPort {
	for i := range r.instances {
		if instance := r.instances[(n+i)%len(r.instances)]; instance.Ready() {
			return instance.ClientAddress()
		}
	}
	return r.instances[0].ClientAddress()
}
