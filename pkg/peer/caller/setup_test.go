package caller_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/phuslu/log"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/drain"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/listener"
	"github.com/cuminroute/cuminroute/pkg/peer/caller"
	client "github.com/cuminroute/cuminroute/pkg/peer/engine"
	"github.com/cuminroute/cuminroute/pkg/peer/service"
	"github.com/cuminroute/cuminroute/pkg/standin/engine"
	"github.com/cuminroute/cuminroute/pkg/stream"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	modelName   = "darning-ends"
	modelLayers = 4
	key         = "north-key"
	phoneKey    = "phone-key"
)

var quiet = &log.Logger{Level: log.PanicLevel}

func testConfiguration() *configuration.Configuration {
	yes, timeout := true, 20*time.Second
	keyOf := func(k string) []configuration.Key {
		return []configuration.Key{{Name: k, Hash: configuration.HashKey(k)}}
	}
	return &configuration.Configuration{
		Version: 1,
		HeadOffice: configuration.HeadOffice{
			TimeZone: "UTC", Rules: configuration.Overrides{Timeout: &timeout},
			Models: []configuration.Model{{Name: modelName, Version: "1", Layers: modelLayers}},
			Services: []configuration.Service{{Name: "orders", Requests: []configuration.RequestKind{
				{Name: "reorder", Method: "POST", Path: "kits"},
				{Name: "stock", Method: "GET", Path: "stock/*", Idempotent: true},
				{Name: "call", Method: "POST", Path: "calls", Idempotent: true, Phone: true},
			}}},
		},
		Workspaces: []configuration.Workspace{
			{
				Name: "north", Weight: 2, Keys: keyOf(key), Services: []string{"orders"},
				Branches:  []configuration.Branch{{Name: "phone", Keys: keyOf(phoneKey), Rules: configuration.Overrides{PhoneOrders: &yes}}},
				Pipelines: []configuration.Pipeline{{Name: "guide", Model: modelName, Priority: configuration.Interactive, Timeout: 10 * time.Second}},
			},
			{Name: "south", Weight: 1, Keys: keyOf("south-key")},
		},
	}
}

// router takes the first target of each range that is not to avoid.
type router struct{ groups [][]target.Target }

func (r router) PickRoute(p stream.RouteRequest) ([]target.Target, error) {
	var route []target.Target
	for _, group := range r.groups {
		i := slices.IndexFunc(group, func(t target.Target) bool { return !slices.Contains(p.Excluded, t.Name) })
		if i < 0 {
			return nil, errors.New("no target")
		}
		route = append(route, group[i])
	}
	return route, nil
}

func (router) ReleaseExclusive([]target.Target)                          {}
func (router) RequestSent(string, float64, time.Time)                    {}
func (router) RequestFinished(string, float64, time.Duration, time.Time) {}
func (router) RequestAbandoned(string, float64, time.Time)               {}
func (router) TargetFailed(string, time.Time)                            {}
func (router) MarkLeaving(string)                                        {}

// gate records tickets, and refuses where full is set.
type gate struct {
	mu      sync.Mutex
	full    error
	tickets []caller.AdmissionRequest
	inside  int
}

func (g *gate) Acquire(_ context.Context, t caller.AdmissionRequest) (func(), error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tickets = append(g.tickets, t)
	if g.full != nil {
		return nil, g.full
	}
	g.inside++
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.inside--
	}, nil
}

// services answers with what it was asked.
type services struct{ last service.Request }

func (s *services) Do(_ context.Context, r service.Request) (service.Response, error) {
	s.last = r
	return service.Response{Status: 201, ContentType: "text/plain", Body: []byte(r.Path), Replayed: r.IdempotencyKey == "old"}, nil
}

// setup is a caller server over two ranges of stand-in engines, two for each.
type setup struct {
	url      string
	engines  []*engine.Server
	gate     *gate
	services *services
	drain    *drain.Counter
	runner   *stream.Runner
}

func start(t testing.TB, options ...caller.Option) *setup {
	c := qt.New(t)
	s := &setup{gate: &gate{}, services: &services{}, drain: &drain.Counter{}}
	var groups [][]target.Target
	for _, held := range []layer.Range{{First: 0, End: 2}, {First: 2, End: 4}} {
		var group []target.Target
		for _, name := range []string{"a", "b"} {
			e, err := engine.New(engine.WithName(name+held.String()), engine.WithModel(modelName, modelLayers, held))
			c.Assert(err, qt.IsNil)
			c.Cleanup(e.Close)
			s.engines = append(s.engines, e)
			group = append(group, target.Target{Name: e.Name(), Address: e.Addr(), State: target.Live, Layers: held})
		}
		groups = append(groups, group)
	}
	pool := client.NewPool()
	c.Cleanup(pool.Close)
	stage := func(t target.Target) stream.Stage { return pool.Client(t.Address) }
	s.runner = stream.NewRunner(router{groups}, stage, stream.WithLogger(quiet),
		stream.WithBackoff(func(int) time.Duration { return 20 * time.Millisecond }))
	inForce := testConfiguration()
	options = append([]caller.Option{caller.WithAdmissionController(s.gate), caller.WithDrain(s.drain), caller.WithLogger(quiet)}, options...)
	s.listen(c, caller.New(func() *configuration.Configuration { return inForce }, s.runner, s.services, options...))
	return s
}

func (s *setup) listen(c *qt.C, handler *caller.Server) {
	server := listener.New(khttp.Address("127.0.0.1:0"))
	server.HandlePrefix("/", handler)
	endpoint, err := server.Endpoint()
	c.Assert(err, qt.IsNil)
	s.url = "http://" + endpoint.Host
	go func() { _ = server.Start(context.Background()) }()
	c.Cleanup(func() { _ = server.Close() })
}

func (s *setup) openai() openai.Client {
	return openai.NewClient(option.WithBaseURL(s.url+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}
