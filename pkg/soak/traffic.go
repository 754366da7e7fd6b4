package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/sleep"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/engine"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
)

const (
	// inFlight bounds the requests that run at the same time.
	inFlight = 500
	// askTimeout leaves time for several resumptions and is shorter than the time to settle.
	askTimeout = 8 * time.Second
)

// request is one drawn request.
type request struct {
	kind      string
	id        string
	workspace int
	words     int
	tokens    int
	resend    bool
	entry     int // entry chooses among the ready instances.
}

// sendRequests sends requests at random times and waits for the answers.
func (r *run) sendRequests() {
	random := rand.New(rand.NewPCG(r.options.Seed, 3))
	slots := make(chan struct{}, inFlight)
	var sending sync.WaitGroup
	end := time.Now().Add(r.options.Duration + min(settle/2, r.options.Duration))
	for n := 0; time.Now().Before(end); n++ {
		if sleep.For(r.ctx, time.Duration(random.ExpFloat64()/r.options.RequestRate*float64(time.Second))) != nil {
			break
		}
		q := draw(random, r.options.Seed, n)
		slots <- struct{}{}
		sending.Go(func() {
			r.serve(q)
			<-slots
		})
	}
	sending.Wait()
}

func draw(random *rand.Rand, seed uint64, n int) request {
	q := request{
		kind: "Ask", id: fmt.Sprintf("q-%d-%d", seed, n), workspace: fleet.DrawWorkspace(random),
		words: 2 + random.IntN(30), tokens: 1 + random.IntN(20), resend: random.IntN(4) == 0, entry: random.IntN(1 << 20),
	}
	switch at := random.IntN(10); {
	case at < 3:
		q.kind = "Order"
	case at < 4:
		q.kind = "Lookup"
	}
	return q
}

// serve sends a request and, where it is drawn so, sends it again at another instance: at once
// for an order, and after the answer for a refused question.
func (r *run) serve(q request) {
	var again sync.WaitGroup
	if q.resend && q.kind == "Order" {
		r.countResend()
		again.Go(func() { r.send(q, q.entry+1) })
	}
	first := r.send(q, q.entry)
	again.Wait()
	if q.resend && q.kind == "Order" && first.Outcome != outcome.Done {
		r.countResend()
		r.send(q, q.entry+2)
	}
}

func (r *run) countResend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Faults[Resend]++
}

func (r *run) send(q request, entry int) caller.Response {
	ready := r.fleet.Ready()
	if len(ready) == 0 {
		return caller.Response{}
	}
	m := ready[entry%len(ready)]
	rec := record{kind: q.kind, id: q.id, entry: m.Name}
	key := fleet.ClientKey(q.workspace)
	switch q.kind {
	case "Order":
		rec.answer = r.client.CallService(r.ctx, caller.ServiceRequest{Address: m.ClientAddress(), Key: key, Method: http.MethodPost, Path: fleet.Service + "/reorder", ID: q.id, Content: "kit"})
	case "Lookup":
		rec.answer = r.client.CallService(r.ctx, caller.ServiceRequest{Address: m.ClientAddress(), Key: key, Method: http.MethodGet, Path: fleet.Service + "/stock/" + q.id})
	default:
		prompt := q.prompt()
		if q.kind == "Ask" {
			rec.want = strings.Join(engine.ExpectedOutput(fleet.Model, fleet.Layers, fleet.EnginePrompt(prompt), q.tokens), "")
		}
		rec.answer = r.client.Chat(r.ctx, caller.ChatRequest{Address: m.ClientAddress(), Key: key, Pipeline: fleet.Pipeline, Prompt: prompt, Tokens: q.tokens, Timeout: askTimeout})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.facts.records = append(r.facts.records, rec)
	return rec.answer
}

// prompt returns the words of a question, of which one is its ID.
func (q request) prompt() string {
	prompt := "how to darn " + q.id + strings.Repeat(" sock", q.words)
	if q.kind == "Crash" {
		prompt += " " + engine.CrashMarker
	}
	return prompt
}
