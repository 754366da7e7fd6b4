// Package catalogue holds what an instance may route to: routes, the services behind them, the
// workspaces whose keys callers present, and the limits on what a caller may send.
//
// A Catalogue is immutable. A new version replaces it as a whole, so that a request sees one
// version from its first lookup to its last.
//
// Usage:
//
//	c, err := catalogue.New(version, limits, routes, services, workspaces)
//	route, ok := c.Route("orders.example", "/kits/7")
//	workspace, ok := c.Workspace(key)
package catalogue

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cuminroute/cuminroute/pkg/finding"
)

// RouteKind says whether a request of a route may run more than once.
type RouteKind string

const (
	// Idempotent requests may run any number of times.
	Idempotent RouteKind = "Idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = "Once"
	// Streaming requests are answered by a series of events and run at most once, unless the route is resumable.
	Streaming RouteKind = "Stream"
)

// Route maps requests of a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is the longest that a caller is kept waiting for a whole answer.
	Timeout time.Duration
	// LatencyGoal is the time to the answer, or to the first event of a stream, that callers expect.
	LatencyGoal time.Duration
	// EventGapGoal is the longest pause between two events of a stream that callers expect.
	EventGapGoal     time.Duration
	Priority         int // Priority is the rank of the route; 0 comes first.
	WeightedServices []WeightedService
	// MaxAttempts bounds the targets that one request may be sent to.
	MaxAttempts int
	Public      bool // Public routes need no key.
	Resumable   bool // Resumable streams may go on at another target after their last event.
}

// Retryable reports whether a request of the route may be sent again after it may have run.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// WeightedService is a service and its weight among the services of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// PickService returns the service for a request, by a number that is the same for each attempt of that request.
func (r *Route) PickService(spread uint64) string {
	total := 0
	for _, s := range r.WeightedServices {
		total += s.Weight
	}
	if total == 0 {
		return r.WeightedServices[0].Service
	}
	rest := int(spread % uint64(total))
	for _, s := range r.WeightedServices {
		if rest < s.Weight {
			return s.Service
		}
		rest -= s.Weight
	}
	return r.WeightedServices[0].Service
}

// Service is a set of targets that serve the same requests. Engine is nil for a plain service.
type Service struct {
	Name           string
	MaxConnections int // MaxConnections bounds the connections of one target from all callers.
	Engine         *Engine
}

// Workspace is a customer's share of the system.
type Workspace struct {
	Name        string
	Priority    int // Priority goes before the route's if it is set.
	HasPriority bool
	Keys        []string
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalogue is one version of the routing configuration.
type Catalogue struct {
	Version    uint64
	Limits     Limits
	hosts      map[string][]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace
}

// New checks the parts and joins them. All faults are reported together.
func New(version uint64, limits Limits, routes []Route, services []Service, workspaces []Workspace) (*Catalogue, error) {
	c := &Catalogue{
		Version: version, Limits: limits, hosts: make(map[string][]*Route),
		services: make(map[string]*Service, len(services)), workspaces: make(map[string]*Workspace),
	}
	var faults finding.List
	for i := range services {
		c.services[services[i].Name] = &services[i]
	}
	for i := range routes {
		c.checkRoute(&routes[i], &faults)
		c.hosts[routes[i].Host] = append(c.hosts[routes[i].Host], &routes[i])
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range workspaces {
		for _, key := range workspaces[i].Keys {
			c.workspaces[key] = &workspaces[i]
		}
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Catalogue) checkRoute(r *Route, faults *finding.List) {
	place := "Routes." + r.Name
	if len(r.WeightedServices) == 0 {
		faults.Add(finding.Finding{Path: place + ".Shares", Rule: "a route names at least one service"})
	}
	for _, s := range r.WeightedServices {
		if c.services[s.Service] == nil {
			faults.Add(finding.Finding{Path: place + ".Shares", Value: s.Service, Rule: "the service is not listed"})
		}
	}
	if r.Timeout <= 0 {
		faults.Add(finding.Finding{Path: place + ".Timeout", Value: r.Timeout.String(), Rule: "the timeout is above zero"})
	}
}

// MatchRoute returns the route with the longest prefix that begins the path.
func (c *Catalogue) MatchRoute(host, path string) (*Route, bool) {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by its name, or nil.
func (c *Catalogue) Service(name string) *Service {
	return c.services[name]
}

// Services returns all services, in the order of their names.
func (c *Catalogue) Services() []*Service {
	all := make([]*Service, 0, len(c.services))
	for _, s := range c.services {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// WorkspaceForKey returns the workspace that holds the key.
func (c *Catalogue) WorkspaceForKey(key string) (*Workspace, bool) {
	w, ok := c.workspaces[key]
	return w, ok
}
