package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/decision/retry"
	"github.com/cuminroute/cuminroute/pkg/decision/targetstats"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/proxy"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// fixedSnapshot returns a fixed snapshot.
type fixedSnapshot struct {
	snapshot *proxy.Snapshot
	stale    bool
}

func (s *fixedSnapshot) Snapshot() *proxy.Snapshot { return s.snapshot }
func (s *fixedSnapshot) Fresh() bool               { return !s.stale }

func (s *fixedSnapshot) ConfigurationAge() time.Duration { return time.Second }

// upstream is a fake upstream. It records attempts and path changes, and answers them with functions of the test.
type upstream struct {
	open       func(ctx context.Context, n int, a proxy.Attempt) (*proxy.Response, error) // n counts the attempts from 1.
	changePath func(id string, p path.Path) error
	probe      func(ctx context.Context, t target.Target) error
	dead       map[string]bool // dead holds the names of targets that do not respond to probes.

	mu          sync.Mutex
	attempts    []proxy.Attempt
	pathChanges []path.Path
}

func (u *upstream) Open(ctx context.Context, a proxy.Attempt) (*proxy.Response, error) {
	u.mu.Lock()
	u.attempts = append(u.attempts, a)
	n := len(u.attempts)
	u.mu.Unlock()
	return u.open(ctx, n, a)
}

func (u *upstream) ChangePath(_ context.Context, id string, p path.Path) error {
	u.mu.Lock()
	u.pathChanges = append(u.pathChanges, p)
	u.mu.Unlock()
	if u.changePath == nil {
		return errors.New("no such request")
	}
	return u.changePath(id, p)
}

func (u *upstream) Probe(ctx context.Context, t target.Target) error {
	if u.probe != nil {
		return u.probe(ctx, t)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.dead[t.Name] {
		return syscall.ECONNREFUSED
	}
	return nil
}

func (u *upstream) kill(name string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dead[name] = true
}

func (u *upstream) reviveAll() {
	u.mu.Lock()
	defer u.mu.Unlock()
	clear(u.dead)
}

func (u *upstream) sent() []proxy.Attempt {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]proxy.Attempt(nil), u.attempts...)
}

// response returns a complete response.
func response(status int, body string) *proxy.Response {
	return &proxy.Response{
		Status: status, Header: http.Header{"X-Seal": {"s"}}, Body: strings.NewReader(body), ContentLength: int64(len(body)),
		Release: func() {}, Abort: func() {},
	}
}

// streamingResponse returns a response whose body is read from r.
func streamingResponse(r io.Reader) *proxy.Response {
	return &proxy.Response{
		Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: r, ContentLength: -1,
		Release: func() {}, Abort: func() {},
	}
}

// events returns the events numbered first to last.
func events(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: word\n\n", i)
	}
	return b.String()
}

// harness is a server with a fake upstream, two HTTP targets and a four-layer model with two targets for each half.
type harness struct {
	server    *proxy.Server
	upstream  *upstream
	snapshots *fixedSnapshot
	stats     *targetstats.Tracker
}

// fataler is implemented by testing.T and rapid.T.
type fataler interface {
	Fatalf(format string, arguments ...any)
}

const host = "shop.example"

func newHarness(t fataler, options ...proxy.Option) *harness {
	routes := []catalogue.Route{
		{Name: "look", Prefix: "/look/", Kind: catalogue.Idempotent, MaxAttempts: 2, WeightedServices: []catalogue.WeightedService{{Service: "desk"}}},
		{Name: "book", Prefix: "/book/", Kind: catalogue.NonIdempotent, MaxAttempts: 1, WeightedServices: []catalogue.WeightedService{{Service: "desk"}}},
		{Name: "plan", Prefix: "/plan/", Kind: catalogue.Streaming, Resumable: true, MaxAttempts: 2, WeightedServices: []catalogue.WeightedService{{Service: "model"}}},
		{Name: "chat", Prefix: "/chat/", Kind: catalogue.Streaming, MaxAttempts: 2, WeightedServices: []catalogue.WeightedService{{Service: "model"}}},
		{Name: "urgent", Prefix: "/urgent/", Kind: catalogue.Streaming, MaxAttempts: 2, Priority: 0, EventGapGoal: time.Second, WeightedServices: []catalogue.WeightedService{{Service: "model"}}},
		{Name: "later", Prefix: "/later/", Kind: catalogue.Streaming, MaxAttempts: 2, Priority: 2, EventGapGoal: time.Second, WeightedServices: []catalogue.WeightedService{{Service: "model"}}},
		{Name: "open", Prefix: "/open/", Kind: catalogue.NonIdempotent, MaxAttempts: 1, Public: true, WeightedServices: []catalogue.WeightedService{{Service: "desk"}}},
	}
	for i := range routes {
		routes[i].Host, routes[i].Timeout, routes[i].LatencyGoal = host, 3*time.Second, 200*time.Millisecond
	}
	engine := &catalogue.Engine{
		Layers: 4, LayerBytes: 1, KVBytesPerToken: 4, BaseStepTime: time.Millisecond, PrefillRate: 1e6, TypicalOutputTokens: 10,
		Accelerators: map[string]catalogue.Accelerator{"k": {MemoryBytes: 1 << 20, StepFactor: 1, PrefillFactor: 1}},
	}
	c, err := catalogue.New(1, catalogue.Limits{}, routes, []catalogue.Service{{Name: "desk"}, {Name: "model", Engine: engine}},
		[]catalogue.Workspace{{Name: "kiln", Keys: []string{"key"}, HasPriority: true, Priority: 2}})
	if err != nil {
		t.Fatalf("invalid test configuration: %v", err)
	}
	snapshot := &proxy.Snapshot{Catalogue: c, Targets: map[string]*proxy.Pool{
		"desk":  proxy.NewPool(httpTarget("d1"), httpTarget("d2")),
		"model": proxy.NewPool(engineTarget("m1", 0, 2), engineTarget("m2", 0, 2), engineTarget("m3", 2, 4), engineTarget("m4", 2, 4)),
	}}
	h := &harness{upstream: &upstream{dead: make(map[string]bool)}, snapshots: &fixedSnapshot{snapshot: snapshot}, stats: targetstats.New()}
	quiet := &log.Logger{Level: log.PanicLevel}
	h.server = proxy.New(h.snapshots, h.upstream, h.stats, append([]proxy.Option{proxy.WithLogger(quiet)}, options...)...)
	return h
}

var ports uint16 = 1000

func httpTarget(name string) *target.Target {
	ports++
	return &target.Target{
		Name: name, State: target.Live, Service: "desk", Slots: 4,
		Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), ports),
	}
}

func engineTarget(name string, first, end int) *target.Target {
	t := httpTarget(name)
	t.Kind, t.Service, t.Accelerator, t.Layers = target.Engine, "model", "k", layer.Range{First: first, End: end}
	return t
}

// setTargets replaces the targets of a service.
func (h *harness) setTargets(service string, targets ...*target.Target) {
	h.snapshots.snapshot.Targets[service] = proxy.NewPool(targets...)
}

// models returns the targets of the model.
func (h *harness) models() []*target.Target { return h.snapshots.snapshot.Targets["model"].Targets() }

// call serves a request for a path and returns the client's response.
func (h *harness) call(path string, change ...func(*proxy.Request)) (*httptest.ResponseRecorder, error) {
	request := &proxy.Request{
		ID: "id-1", Method: http.MethodPost, URI: path, Path: path, Host: host, Key: "key", ReceivedAt: time.Now(),
		Tokens: proxy.TokenCounts{Prompt: 10, Output: 10},
	}
	for _, edit := range change {
		edit(request)
	}
	recorder := httptest.NewRecorder()
	err := h.server.Serve(context.Background(), request, recorder)
	return recorder, err
}

// status returns the HTTP status of a refusal.
func status(err error) int {
	var refused *refusal.Error
	if errors.As(err, &refused) {
		return refused.Status
	}
	return 0
}

// noRetries sets a retry budget that allows no retries.
func noRetries() proxy.Option {
	return proxy.WithRetryBudget(retry.New(retry.WithRatio(0), retry.WithMinRate(0)))
}
