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

// audience is the callers of one fleet.
type audience struct {
	running *running
	client  *caller.Client
	mu      sync.Mutex
	report  Report
}

// ask sends questions to the entry instances in turn, as a balancer that follows readiness does.
func (a *audience) ask(ctx context.Context) {
	s := a.running.scene
	model := a.running.configuration.HeadOffice.Models[0]
	var asking sync.WaitGroup
	for n := range questionsPerFleet {
		question := fmt.Sprintf("%s (%d)", s.questions[n%len(s.questions)], n)
		want := strings.Join(engine.ExpectedOutput(model.Name, model.Layers, fleet.EnginePrompt(question), answerTokens), "")
		asking.Go(func() {
			answer := a.client.Chat(ctx, caller.ChatRequest{
				Address: a.running.balance(n), Key: s.keyPrefix + s.workspace, Pipeline: s.pipelines[n%len(s.pipelines)],
				Prompt: question, Tokens: answerTokens,
			})
			a.judge(answer, answer.Text == want)
		})
		time.Sleep(arrivalPause)
	}
	asking.Wait()
}

// order sends each order twice, through two entry instances at once, and a stock lookup beside it.
func (a *audience) order(ctx context.Context) {
	s := a.running.scene
	var ordering sync.WaitGroup
	for n := range ordersPerFleet {
		id := fmt.Sprintf("order-%d", n)
		for resend := range 2 {
			ordering.Go(func() {
				answer := a.sendOrder(ctx, id, a.running.balance(n+resend))
				a.judge(answer, rightAnswer(answer.Text, id))
			})
		}
		ordering.Go(func() {
			answer := a.client.CallService(ctx, caller.ServiceRequest{
				Address: a.running.balance(n), Key: s.keyPrefix + s.workspace + "-" + s.branch,
				Method: http.MethodGet, Path: s.stockPath,
			})
			a.judge(answer, rightAnswer(answer.Text, ""))
		})
		time.Sleep(arrivalPause)
	}
	ordering.Wait()
}

// sendOrder sends an order, and again after a moment while its first sending is still running.
func (a *audience) sendOrder(ctx context.Context, id string, to netip.AddrPort) caller.Response {
	const tries, pause = 20, 100 * time.Millisecond
	s := a.running.scene
	var answer caller.Response
	for range tries {
		answer = a.client.CallService(ctx, caller.ServiceRequest{
			Address: to, Key: s.keyPrefix + s.workspace + "-" + s.branch, Method: http.MethodPost, Path: s.orderPath, ID: id, Content: id,
		})
		if answer.Outcome != outcome.Unknown || answer.Truncated {
			return answer
		}
		time.Sleep(pause)
	}
	return answer
}

func rightAnswer(text, key string) bool {
	var answer service.Response
	return json.Unmarshal([]byte(text), &answer) == nil && answer.Key == key
}

func (a *audience) judge(answer caller.Response, right bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.report.judge(answer, right)
}

// count adds the orders that were executed more than once.
func (a *audience) count() {
	executed := make(map[string]int)
	for _, s := range a.running.services {
		for key, n := range s.Executed() {
			executed[key] += n
		}
	}
	for _, n := range executed {
		if n > 1 {
			a.report.Doubled++
		}
	}
}

// balance returns the callers' address of a ready entry instance.
func (r *running) balance(n int) netip.AddrPort {
	for i := range r.entries {
		if e := r.entries[(n+i)%len(r.entries)]; e.Ready() {
			return e.ClientAddress()
		}
	}
	return r.entries[0].ClientAddress()
}
