// Package proof shows the promises P1 to P7 on whole entry instances with stand-ins around them.
//
// Each entry instance reaches the platform over a Link of its own, so that one instance can be cut
// off, or lose an answer, while the others are served. The proofs are the tests of this package;
// docs/PROOFS.md lists them.
//
// Usage:
//
//	h, err := proof.New(ctx, proof.Options{Seed: 1, Instances: 3})
//	defer h.Close()
//	h.Link("entry-0").SetPartitioned(true)
//	response := h.Chat(ctx, h.Ready()[0], "how to darn", 8)
package proof

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/operator"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/engine"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
	"github.com/cuminroute/cuminroute/pkg/standin/inprocess"
)

const (
	// readyLimit is the time that a new fleet has to become ready.
	readyLimit = 20 * time.Second
	// defaultSlowdown gives a token a time of about 50 ms on two stages, which leaves most of the processors idle.
	defaultSlowdown = 32
)

// Options size a world.
type Options struct {
	Seed           uint64
	Instances      int
	EnginesPerHalf int // Halves is the number of engines for each half of the layers, 3 where it is not set.
	Slowdown       int // Slowdown multiplies the time of a step.
}

// Harness is a small fleet that can be broken at the links between its instances and the platform.
type Harness struct {
	*fleet.Fleet
	Client *caller.Client

	mu    sync.Mutex
	links map[string]*Link
	log   logBuffer
}

// New starts a world and waits until its instances are ready.
func New(ctx context.Context, o Options) (*Harness, error) {
	w := &Harness{Client: caller.New(), links: map[string]*Link{}}
	var err error
	w.Fleet, err = fleet.New(ctx, fleet.Options{Seed: o.Seed, Instances: o.Instances, Recording: true, EngineSpecs: workers(o), Start: w.start})
	if err != nil {
		w.closeLinks()
		return nil, err
	}
	if err := w.WaitReady(ctx, o.Instances, readyLimit); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// workers returns engines that each hold the first or the second half of the layers.
func workers(o Options) []fleet.EngineSpec {
	halves, slowdown := o.EnginesPerHalf, o.Slowdown
	if halves == 0 {
		halves = 3
	}
	if slowdown == 0 {
		slowdown = defaultSlowdown
	}
	var list []fleet.EngineSpec
	for n := range 2 * halves {
		first := n % 2 * fleet.Layers / 2
		list = append(list, fleet.EngineSpec{
			Name: fmt.Sprintf("w%02d", n), DataCentre: fleet.DataCentre(n), Accelerator: engine.Accelerators[0].SlowedBy(slowdown),
			Layers: layer.Range{First: first, End: first + fleet.Layers/2},
		})
	}
	return list
}

// start starts an entry instance behind a link of its own.
func (w *Harness) start(ctx context.Context, s fleet.InstanceSpec) (fleet.Instance, error) {
	link, err := newLink(s.Platform)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.links[s.Name] = link
	w.mu.Unlock()
	s.Platform = link.URL()
	return inprocess.StartLogging(&w.log)(ctx, s)
}

// Link returns the path between an entry instance and the platform.
func (w *Harness) Link(name string) *Link {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.links[name]
}

// KillInstance ends an instance as the loss of its machine does: nothing of it reaches the platform any more.
func (w *Harness) KillInstance(m *fleet.NamedInstance) {
	w.Link(m.Name).SetPartitioned(true)
	w.Remove(m)
	m.Kill()
}

// Close kills everything.
func (w *Harness) Close() {
	w.Client.Close()
	w.Fleet.Close()
	w.closeLinks()
}

func (w *Harness) closeLinks() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.links {
		l.close()
	}
}

// Operator returns an operator's client of one instance.
func (w *Harness) Operator(m *fleet.NamedInstance) *operator.Client {
	return operator.NewClient("http://"+m.OperatorAddress().String(), fleet.OperatorKey)
}

// SetTimeout sets the time that an answer may take, and waits until it is in force. The fleet's 20 s are short for a
// long answer on a busy machine.
func (w *Harness) SetTimeout(ctx context.Context, timeout time.Duration) error {
	current, err := w.Operator(w.Instances()[0]).Current(ctx)
	if err != nil {
		return err
	}
	c := current.Configuration
	c.HeadOffice.Rules.Timeout = &timeout
	head, err := w.Operator(w.Instances()[0]).Apply(ctx, api.Change{Expected: current.Head.Version, ID: "timeout", Configuration: &c})
	if err != nil {
		return err
	}
	return WaitVersion(w.Instances(), head.Version, readyLimit)
}

// ApplyWeights sets the weights of the first two workspaces in one change made from the newest version.
func (w *Harness) ApplyWeights(ctx context.Context, m *fleet.NamedInstance, id string, weight int) (api.Head, error) {
	current, err := w.Operator(m).Current(ctx)
	if err != nil {
		return api.Head{}, err
	}
	return w.Operator(m).Apply(ctx, WeightsChange(current, id, weight))
}

// WeightsChange returns a change that sets the weights of the first two workspaces, so that a mixture of two changes shows.
func WeightsChange(current api.Current, id string, weight int) api.Change {
	c := current.Configuration
	c.Workspaces = append(c.Workspaces[:0:0], c.Workspaces...)
	c.Workspaces[0].Weight, c.Workspaces[1].Weight = weight, weight
	return api.Change{Expected: current.Head.Version, ID: id, Configuration: &c}
}

// WaitVersion waits until every given instance has at least the version in force.
func WaitVersion(members []*fleet.NamedInstance, version uint64, limit time.Duration) error {
	const interval = 20 * time.Millisecond
	for end := time.Now().Add(limit); ; time.Sleep(interval) {
		behind := ""
		for _, m := range members {
			if m.Version() < version {
				behind += fmt.Sprintf(" %s has %d", m.Name, m.Version())
			}
		}
		if behind == "" {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("version %d is not in force after %v:%s", version, limit, behind)
		}
	}
}

// Chat asks an instance for an answer of n tokens as the first workspace.
func (w *Harness) Chat(ctx context.Context, m *fleet.NamedInstance, prompt string, n int) caller.Response {
	return w.Client.Chat(ctx, caller.ChatRequest{
		Address: m.ClientAddress(), Key: fleet.ClientKey(0), Pipeline: fleet.Pipeline, Prompt: prompt, Tokens: n,
	})
}

// PlaceOrder sends an order with an idempotency key to an instance.
func (w *Harness) PlaceOrder(ctx context.Context, m *fleet.NamedInstance, id string) caller.Response {
	return w.Client.CallService(ctx, caller.ServiceRequest{
		Address: m.ClientAddress(), Key: fleet.ClientKey(0), Method: http.MethodPost, Path: fleet.Service + "/reorder", ID: id, Content: "kit",
	})
}

// LookUpStock looks up stock at an instance.
func (w *Harness) LookUpStock(ctx context.Context, m *fleet.NamedInstance, item string) caller.Response {
	return w.Client.CallService(ctx, caller.ServiceRequest{
		Address: m.ClientAddress(), Key: fleet.ClientKey(0), Method: http.MethodGet, Path: fleet.Service + "/stock/" + item,
	})
}

// ExpectedOutput returns the only right answer to a prompt.
func ExpectedOutput(prompt string, n int) string {
	return strings.Join(engine.ExpectedOutput(fleet.Model, fleet.Layers, fleet.EnginePrompt(prompt), n), "")
}

// CheckResponse returns an error if an answer is not what the router promises: the right whole text, or a
// refusal that states that nothing ran and when to come back.
func CheckResponse(a caller.Response, prompt string, n int) error {
	switch {
	case a.Truncated:
		return fmt.Errorf("%q was cut off, status %d: %w", prompt, a.Status, a.Err)
	case a.Outcome == outcome.Done && a.Text != ExpectedOutput(prompt, n):
		return fmt.Errorf("%q was answered %q", prompt, a.Text)
	case a.Outcome == outcome.NotRun && a.RetryAfter < time.Second:
		return fmt.Errorf("%q was refused without a time to come back: %w", prompt, a.Err)
	case a.Outcome != outcome.Done && a.Outcome != outcome.NotRun:
		return fmt.Errorf("%q ended as %s: %w", prompt, a.Outcome, a.Err)
	}
	return nil
}

// HasExecuted reports whether an engine executed a step of a prompt that contains the word.
func (w *Harness) HasExecuted(word string) bool {
	for _, e := range w.Engines {
		for _, x := range e.Executions() {
			if strings.Contains(x.Prompt, word) {
				return true
			}
		}
	}
	return false
}
