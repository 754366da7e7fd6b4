// Package proof tests the promises P1 to P7 end to end, on complete instances that run against stand-ins.
//
// Each instance reaches the platform over its own Link, so that a single instance can be partitioned or lose a response
// while the others are served. docs/PROOFS.md lists the tests of this package.
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

	"github.com/cuminroute/cuminroute/pkg/daemon"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/operator"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/engine"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
	"github.com/cuminroute/cuminroute/pkg/standin/inprocess"
	"github.com/cuminroute/cuminroute/pkg/standin/partition"
)

const (
	// readyTimeout is the time within which a new fleet must become ready.
	readyTimeout = 20 * time.Second
	// defaultSlowdown results in about 50 ms per token on two stages, which leaves most of the CPU time idle.
	defaultSlowdown = 32
)

// Options configures a Harness.
type Options struct {
	Seed           uint64
	Instances      int
	EnginesPerHalf int // EnginesPerHalf is the number of engines for each half of the layers; 3 if it isn't set.
	// Links are the links of some instances, by name, to the engines and services. The others have links that cannot be cut.
	Links    map[string]*partition.Links
	Slowdown int // Slowdown multiplies the step time of the engines; defaultSlowdown if it isn't set.
}

// Harness is a small fleet with fault injection on the links between its instances and the platform.
type Harness struct {
	*fleet.Fleet
	Client *caller.Client

	targetLinks map[string]*partition.Links // targetLinks are the links of instances to the engines and services.

	mu    sync.Mutex
	links map[string]*Link // links are the links of instances to the platform.
	log   logBuffer
}

// New starts a fleet and waits until its instances are ready.
func New(ctx context.Context, o Options) (*Harness, error) {
	h := &Harness{Client: caller.New(), targetLinks: o.Links, links: map[string]*Link{}}
	var err error
	h.Fleet, err = fleet.New(ctx, fleet.Options{Seed: o.Seed, Instances: o.Instances, Recording: true, EngineSpecs: engineSpecs(o), Start: h.start})
	if err != nil {
		h.closeLinks()
		return nil, err
	}
	if err := h.WaitReady(ctx, o.Instances, readyTimeout); err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

// engineSpecs returns engines that each hold the first or the second half of the layers.
func engineSpecs(o Options) []fleet.EngineSpec {
	enginesPerHalf, slowdown := o.EnginesPerHalf, o.Slowdown
	if enginesPerHalf == 0 {
		enginesPerHalf = 3
	}
	if slowdown == 0 {
		slowdown = defaultSlowdown
	}
	var specs []fleet.EngineSpec
	for n := range 2 * enginesPerHalf {
		first := n % 2 * fleet.Layers / 2
		specs = append(specs, fleet.EngineSpec{
			Name: fmt.Sprintf("w%02d", n), DataCentre: fleet.DataCentre(n), Accelerator: engine.Accelerators[0].SlowedBy(slowdown),
			Layers: layer.Range{First: first, End: first + fleet.Layers/2},
		})
	}
	return specs
}

// start starts an instance that reaches the platform over its own link.
func (h *Harness) start(ctx context.Context, s fleet.InstanceSpec) (fleet.Instance, error) {
	link, err := newLink(s.Platform)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	h.links[s.Name] = link
	h.mu.Unlock()
	s.Platform = link.URL()
	return inprocess.StartWith(func(fleet.InstanceSpec) []daemon.Option {
		options := []daemon.Option{daemon.WithLogOutput(&h.log)}
		if links := h.targetLinks[s.Name]; links != nil {
			options = append(options, daemon.WithTargetDial(links.DialContext))
		}
		return options
	})(ctx, s)
}

// Link returns the link between an instance and the platform.
func (h *Harness) Link(name string) *Link {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.links[name]
}

// KillInstance simulates a machine failure: the instance is killed, and none of its requests reaches the platform any
// more.
func (h *Harness) KillInstance(instance *fleet.NamedInstance) {
	h.Link(instance.Name).SetPartitioned(true)
	h.Remove(instance)
	instance.Kill()
}

// Close kills the fleet and closes the client and the links.
func (h *Harness) Close() {
	h.Client.Close()
	h.Fleet.Close()
	h.closeLinks()
}

func (h *Harness) closeLinks() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.links {
		l.close()
	}
}

// Operator returns an operator client for an instance.
func (h *Harness) Operator(instance *fleet.NamedInstance) *operator.Client {
	return operator.NewClient("http://"+instance.OperatorAddress().String(), fleet.OperatorKey)
}

// SetTimeout sets the request timeout and waits until it is active. The fleet's default of 20 s is too short for a long
// response on a busy machine.
func (h *Harness) SetTimeout(ctx context.Context, timeout time.Duration) error {
	current, err := h.Operator(h.Instances()[0]).Current(ctx)
	if err != nil {
		return err
	}
	c := current.Configuration
	c.HeadOffice.Rules.Timeout = &timeout
	head, err := h.Operator(h.Instances()[0]).Apply(ctx, api.Change{Expected: current.Head.Version, ID: "timeout", Configuration: &c})
	if err != nil {
		return err
	}
	return WaitVersion(h.Instances(), head.Version, readyTimeout)
}

// ApplyWeights sets the weights of the first two workspaces in one change based on the latest version.
func (h *Harness) ApplyWeights(ctx context.Context, instance *fleet.NamedInstance, id string, weight int) (api.Head, error) {
	current, err := h.Operator(instance).Current(ctx)
	if err != nil {
		return api.Head{}, err
	}
	return h.Operator(instance).Apply(ctx, WeightsChange(current, id, weight))
}

// WeightsChange returns a change that sets the weights of the first two workspaces to the same value, so that a mixture
// of two changes is detectable.
func WeightsChange(current api.Current, id string, weight int) api.Change {
	c := current.Configuration
	c.Workspaces = append(c.Workspaces[:0:0], c.Workspaces...)
	c.Workspaces[0].Weight, c.Workspaces[1].Weight = weight, weight
	return api.Change{Expected: current.Head.Version, ID: id, Configuration: &c}
}

// WaitVersion waits until at least the given version is active on every instance.
func WaitVersion(instances []*fleet.NamedInstance, version uint64, timeout time.Duration) error {
	const interval = 20 * time.Millisecond
	for end := time.Now().Add(timeout); ; time.Sleep(interval) {
		behind := ""
		for _, instance := range instances {
			if instance.Version() < version {
				behind += fmt.Sprintf(" %s has %d", instance.Name, instance.Version())
			}
		}
		if behind == "" {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("version %d is not active after %v:%s", version, timeout, behind)
		}
	}
}

// Chat sends a chat request for n output tokens to an instance, with the key of the first workspace.
func (h *Harness) Chat(ctx context.Context, instance *fleet.NamedInstance, prompt string, n int) caller.Response {
	return h.Client.Chat(ctx, caller.ChatRequest{
		Address: instance.ClientAddress(), Key: fleet.ClientKey(0), Pipeline: fleet.Pipeline, Prompt: prompt, Tokens: n,
	})
}

// PlaceOrder sends an order with an idempotency key to an instance.
func (h *Harness) PlaceOrder(ctx context.Context, instance *fleet.NamedInstance, id string) caller.Response {
	return h.Client.CallService(ctx, caller.ServiceRequest{
		Address: instance.ClientAddress(), Key: fleet.ClientKey(0), Method: http.MethodPost, Path: fleet.Service + "/reorder", ID: id, Content: "kit",
	})
}

// LookUpStock sends a stock lookup to an instance.
func (h *Harness) LookUpStock(ctx context.Context, instance *fleet.NamedInstance, item string) caller.Response {
	return h.Client.CallService(ctx, caller.ServiceRequest{
		Address: instance.ClientAddress(), Key: fleet.ClientKey(0), Method: http.MethodGet, Path: fleet.Service + "/stock/" + item,
	})
}

// ExpectedOutput returns the only correct output for a prompt.
func ExpectedOutput(prompt string, n int) string {
	return strings.Join(engine.ExpectedOutput(fleet.Model, fleet.Layers, fleet.EnginePrompt(prompt), n), "")
}

// CheckResponse returns an error unless the response is what the router promises: the complete expected text, or a
// refusal that states that nothing was executed and when to retry.
func CheckResponse(response caller.Response, prompt string, n int) error {
	switch {
	case response.Truncated:
		return fmt.Errorf("response to %q was truncated, status %d: %w", prompt, response.Status, response.Err)
	case response.Outcome == outcome.Done && response.Text != ExpectedOutput(prompt, n):
		return fmt.Errorf("wrong response to %q: %q", prompt, response.Text)
	case response.Outcome == outcome.NotRun && response.RetryAfter < time.Second:
		return fmt.Errorf("%q was refused without a Retry-After of at least 1 s: %w", prompt, response.Err)
	case response.Outcome != outcome.Done && response.Outcome != outcome.NotRun:
		return fmt.Errorf("%q ended with outcome %s: %w", prompt, response.Outcome, response.Err)
	}
	return nil
}

// HasExecuted reports whether an engine executed a step for a prompt that contains the word.
func (h *Harness) HasExecuted(word string) bool {
	for _, server := range h.Engines {
		for _, execution := range server.Executions() {
			if strings.Contains(execution.Prompt, word) {
				return true
			}
		}
	}
	return false
}
