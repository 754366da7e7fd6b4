// Package catalogue holds the routing configuration: routes, the services behind them, the
// workspaces whose keys clients present, and the limits on what a client may send.
//
// A Catalogue is immutable. A new version replaces the whole Catalogue, so that a request uses
// the same version from its first lookup to its last.
//
// Usage:
//
//	c, err := catalogue.New(version, limits, routes, services, workspaces)
//	route, ok := c.MatchRoute("orders.example", "/kits/7")
//	workspace, ok := c.WorkspaceForKey(key)
package catalogue

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cuminroute/cuminroute/pkg/finding"
)

// RouteKind says whether requests of a route may run more than once and whether they are streamed.
type RouteKind string

const (
	// Idempotent requests may run any number of times.
	Idempotent RouteKind = "Idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = "Once"
	// Streaming requests receive a stream of events and run at most once, unless the route is resumable.
	Streaming RouteKind = "Stream"
)

// Route maps requests of a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is the longest that a client waits for the complete response.
	Timeout time.Duration
	// LatencyGoal is the time that clients expect to the response, or to the first event of a stream.
	LatencyGoal time.Duration
	// EventGapGoal is the longest time that clients expect between two events of a stream.
	EventGapGoal     time.Duration
	Priority         int // Priority 0 is the most urgent.
	WeightedServices []WeightedService
	// MaxAttempts limits how many targets one request may be sent to.
	MaxAttempts int
	Public      bool // Public routes require no API key.
	Resumable   bool // Resumable streams may continue at another target after their last event.
}

// Retryable reports whether a request of the route may be sent again even if it may already have run.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// WeightedService is a service and its weight among the services of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// PickService picks the service for a request by weight, or the first service if all weights are 0. The hash must be the
// same for all attempts of the request.
func (r *Route) PickService(hash uint64) string {
	total := 0
	for _, s := range r.WeightedServices {
		total += s.Weight
	}
	if total == 0 {
		return r.WeightedServices[0].Service
	}
	rest := int(hash % uint64(total))
	for _, s := range r.WeightedServices {
		if rest < s.Weight {
			return s.Service
		}
		rest -= s.Weight
	}
	return r.WeightedServices[0].Service
}

// Service is a set of targets that serve the same requests. Engine is nil for a service that runs no model.
type Service struct {
	Name           string
	MaxConnections int // MaxConnections limits the connections to one target from all clients.
	Engine         *Engine
	// Ranks lists the ranks that requests for the service can have, the most urgent first. New sets it.
	Ranks []Rank
}

// Rank orders requests for a service: by their priority, and those of the same priority by that of their route, where their workspace's
// priority overrides it.
type Rank struct {
	Priority int
	Route    int // Route is the priority of the route.
}

// Compare orders ranks, the most urgent first.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Priority, other.Priority), cmp.Compare(r.Route, other.Route))
}

// RankIndex returns the index of a rank in Ranks.
func (s *Service) RankIndex(r Rank) int {
	index, _ := slices.BinarySearchFunc(s.Ranks, r, Rank.Compare)
	return index
}

// Workspace is one tenant of the system, which authenticates with API keys.
type Workspace struct {
	Name        string
	Priority    int // Priority overrides the route's priority if HasPriority is set.
	HasPriority bool
	Keys        []string
}

// Limits restrict what a client may send and how long its connection may wait.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalogue is one version of the routing configuration.
type Catalogue struct {
	Version         uint64
	Limits          Limits
	routesByHost    map[string][]*Route
	services        map[string]*Service
	workspacesByKey map[string]*Workspace
}

// New validates a routing configuration and returns it as a Catalogue. The error contains all findings.
func New(version uint64, limits Limits, routes []Route, services []Service, workspaces []Workspace) (*Catalogue, error) {
	c := &Catalogue{
		Version: version, Limits: limits, routesByHost: make(map[string][]*Route),
		services: make(map[string]*Service, len(services)), workspacesByKey: make(map[string]*Workspace),
	}
	var findings finding.List
	for i := range services {
		c.services[services[i].Name] = &services[i]
	}
	for i := range routes {
		c.validateRoute(&routes[i], &findings)
		c.routesByHost[routes[i].Host] = append(c.routesByHost[routes[i].Host], &routes[i])
	}
	for _, list := range c.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range workspaces {
		for _, key := range workspaces[i].Keys {
			c.workspacesByKey[key] = &workspaces[i]
		}
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	c.setRanks(routes, workspaces)
	return c, nil
}

// setRanks sets the ranks of all services.
func (c *Catalogue) setRanks(routes []Route, workspaces []Workspace) {
	overriding := make(map[int]bool)
	for _, w := range workspaces {
		if w.HasPriority {
			overriding[w.Priority] = true
		}
	}
	routePriorities := make(map[*Service]map[int]bool, len(c.services))
	for _, r := range routes {
		for _, s := range r.WeightedServices {
			service := c.services[s.Service]
			if routePriorities[service] == nil {
				routePriorities[service] = make(map[int]bool)
			}
			routePriorities[service][r.Priority] = true
		}
	}
	for service, priorities := range routePriorities {
		for p := range priorities {
			service.Ranks = append(service.Ranks, Rank{Priority: p, Route: p})
			for w := range overriding {
				service.Ranks = append(service.Ranks, Rank{Priority: w, Route: p})
			}
		}
		slices.SortFunc(service.Ranks, Rank.Compare)
		service.Ranks = slices.Compact(service.Ranks)
	}
}

func (c *Catalogue) validateRoute(r *Route, findings *finding.List) {
	path := "Routes." + r.Name
	if len(r.WeightedServices) == 0 {
		findings.Add(finding.Finding{Path: path + ".Shares", Rule: "the route must name at least one service"})
	}
	for _, s := range r.WeightedServices {
		if c.services[s.Service] == nil {
			findings.Add(finding.Finding{Path: path + ".Shares", Value: s.Service, Rule: "the service is not defined"})
		}
	}
	if r.Timeout <= 0 {
		findings.Add(finding.Finding{Path: path + ".Timeout", Value: r.Timeout.String(), Rule: "the timeout must be above zero"})
	}
}

// MatchRoute returns, of the host's routes whose prefix path has, the one with the longest prefix.
func (c *Catalogue) MatchRoute(host, path string) (*Route, bool) {
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service with the name, or nil if there is none.
func (c *Catalogue) Service(name string) *Service {
	return c.services[name]
}

// Services returns all services, sorted by name.
func (c *Catalogue) Services() []*Service {
	all := make([]*Service, 0, len(c.services))
	for _, s := range c.services {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// WorkspaceForKey returns the workspace that the API key belongs to.
func (c *Catalogue) WorkspaceForKey(key string) (*Workspace, bool) {
	w, ok := c.workspacesByKey[key]
	return w, ok
}
