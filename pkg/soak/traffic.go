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
	// maxInFlight limits the number of concurrent requests.
	maxInFlight = 500
	// chatTimeout leaves time for several resumes and is shorter than settleTime.
	chatTimeout = 8 * time.Second
)

// request is a randomly drawn request.
type request struct {
	kind          string
	id            string
	workspace     int
	words         int
	tokens        int
	resend        bool
	instanceIndex int // instanceIndex, modulo their number, chooses one of the ready instances.
}

// sendRequests sends requests at random times and waits for the responses.
func (r *run) sendRequests() {
	random := rand.New(rand.NewPCG(r.options.Seed, 3))
	slots := make(chan struct{}, maxInFlight)
	var sending sync.WaitGroup
	end := time.Now().Add(r.options.Duration + min(settleTime/2, r.options.Duration))
	for n := 0; time.Now().Before(end); n++ {
		if sleep.For(r.ctx, time.Duration(random.ExpFloat64()/r.options.RequestRate*float64(time.Second))) != nil {
			break
		}
		q := drawRequest(random, r.options.Seed, n)
		slots <- struct{}{}
		sending.Go(func() {
			r.sendWithResends(q)
			<-slots
		})
	}
	sending.Wait()
}

func drawRequest(random *rand.Rand, seed uint64, n int) request {
	q := request{
		kind: "Ask", id: fmt.Sprintf("q-%d-%d", seed, n), workspace: fleet.DrawWorkspace(random),
		words: 2 + random.IntN(30), tokens: 1 + random.IntN(20), resend: random.IntN(4) == 0, instanceIndex: random.IntN(1 << 20),
	}
	switch at := random.IntN(10); {
	case at < 3:
		q.kind = "Order"
	case at < 4:
		q.kind = "Lookup"
	}
	return q
}

// sendWithResends sends a request. An order that is drawn for resending is also sent to a second instance at the same
// time, and to a third one if the first response isn't Done.
func (r *run) sendWithResends(q request) {
	var resends sync.WaitGroup
	if q.resend && q.kind == "Order" {
		r.countResend()
		resends.Go(func() { r.send(q, q.instanceIndex+1) })
	}
	first := r.send(q, q.instanceIndex)
	resends.Wait()
	if q.resend && q.kind == "Order" && first.Outcome != outcome.Done {
		r.countResend()
		r.send(q, q.instanceIndex+2)
	}
}

func (r *run) countResend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Faults[Resend]++
}

func (r *run) send(q request, instanceIndex int) caller.Response {
	ready := r.fleet.Ready()
	if len(ready) == 0 {
		return caller.Response{}
	}
	instance := ready[instanceIndex%len(ready)]
	rec := record{kind: q.kind, id: q.id, instance: instance.Name}
	key := fleet.ClientKey(q.workspace)
	switch q.kind {
	case "Order":
		rec.response = r.client.CallService(r.ctx, caller.ServiceRequest{Address: instance.ClientAddress(), Key: key, Method: http.MethodPost, Path: fleet.Service + "/reorder", ID: q.id, Content: "kit"})
	case "Lookup":
		rec.response = r.client.CallService(r.ctx, caller.ServiceRequest{Address: instance.ClientAddress(), Key: key, Method: http.MethodGet, Path: fleet.Service + "/stock/" + q.id})
	default:
		prompt := q.prompt()
		if q.kind == "Ask" {
			rec.expected = strings.Join(engine.ExpectedOutput(fleet.Model, fleet.Layers, fleet.EnginePrompt(prompt), q.tokens), "")
		}
		rec.response = r.client.Chat(r.ctx, caller.ChatRequest{Address: instance.ClientAddress(), Key: key, Pipeline: fleet.Pipeline, Prompt: prompt, Tokens: q.tokens, Timeout: chatTimeout})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observations.records = append(r.observations.records, rec)
	return rec.response
}

// prompt returns the prompt of a chat request. It contains the ID as a word.
func (q request) prompt() string {
	prompt := "how to darn " + q.id + strings.Repeat(" sock", q.words)
	if q.kind == "Crash" {
		prompt += " " + engine.CrashMarker
	}
	return prompt
}
