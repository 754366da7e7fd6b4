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

// router picks the first target of each layer range that is not excluded.
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

// admissionController records admission requests. If err is set, it refuses them with err.
type admissionController struct {
	mu       sync.Mutex
	err      error
	requests []caller.AdmissionRequest
	running  int
}

func (a *admissionController) Acquire(_ context.Context, req caller.AdmissionRequest) (func(), error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests = append(a.requests, req)
	if a.err != nil {
		return nil, a.err
	}
	a.running++
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.running--
	}, nil
}

// services records the last request and responds with its path.
type services struct{ last service.Request }

func (s *services) Do(_ context.Context, r service.Request) (service.Response, error) {
	s.last = r
	return service.Response{Status: 201, ContentType: "text/plain", Body: []byte(r.Path), Replayed: r.IdempotencyKey == "old"}, nil
}

// testServer is a server with two layer ranges of stand-in engines, two engines for each range.
type testServer struct {
	url       string
	engines   []*engine.Server
	admission *admissionController
	services  *services
	drain     *drain.Counter
	runner    *stream.Runner
}

func startServer(t testing.TB, options ...caller.Option) *testServer {
	c := qt.New(t)
	s := &testServer{admission: &admissionController{}, services: &services{}, drain: &drain.Counter{}}
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
	active := testConfiguration()
	options = append([]caller.Option{caller.WithAdmissionController(s.admission), caller.WithDrain(s.drain), caller.WithLogger(quiet)}, options...)
	s.listen(c, caller.New(func() *configuration.Configuration { return active }, s.runner, s.services, options...))
	return s
}

func (s *testServer) listen(c *qt.C, handler *caller.Server) {
	server := listener.New(khttp.Address("127.0.0.1:0"))
	server.HandlePrefix("/", handler)
	endpoint, err := server.Endpoint()
	c.Assert(err, qt.IsNil)
	s.url = "http://" + endpoint.Host
	go func() { _ = server.Start(context.Background()) }()
	c.Cleanup(func() { _ = server.Close() })
}

func (s *testServer) openai() openai.Client {
	return openai.NewClient(option.WithBaseURL(s.url+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}
