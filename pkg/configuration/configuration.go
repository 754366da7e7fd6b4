// Package configuration defines the configuration of a fleet, which is one deployment: the head office's
// rules, the models, the services, and the workspaces with their branches and pipelines.
//
// A Configuration is immutable once it is active. Request goroutines read it through a snapshot and
// never change it.
//
// Usage:
//
//	client, ok := c.Authenticate(key)
//	pipeline, ok := c.Pipeline(client.Workspace, "stitch-guide")
//	rules := c.EffectiveRules(client.Workspace, client.Branch, time.Now())
package configuration

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"time"
)

// Priority is the priority class of a request. Classes are served in the order in which they are declared.
type Priority string

const (
	// Schedule is for requests that other work depends on, such as burn schedules.
	Schedule Priority = "Schedule"
	// Interactive is for requests of a person who waits for the response.
	Interactive Priority = "Interactive"
	// Batch is for requests that tolerate delay.
	Batch Priority = "Batch"
)

// Level returns the priority level, 0 for the class that is served first. An unknown priority has the
// level of Batch.
func (p Priority) Level() int {
	switch p {
	case Schedule:
		return 0
	case Interactive:
		return 1
	default:
		return 2
	}
}

// Configuration is one version of the configuration.
type Configuration struct {
	Version    uint64      `json:"Version" yaml:"Version,omitempty"`
	HeadOffice HeadOffice  `json:"HeadOffice" yaml:"HeadOffice"`
	Workspaces []Workspace `json:"Workspaces" yaml:"Workspaces"`

	index *index
}

// HeadOffice holds the settings that apply to every workspace.
type HeadOffice struct {
	Fleet     string    `json:"Fleet" yaml:"Fleet"`
	TimeZone  string    `json:"TimeZone" yaml:"TimeZone"` // TimeZone is an IANA name such as Europe/Ljubljana.
	Operators []Key     `json:"Operators" yaml:"Operators"`
	Rules     Overrides `json:"Rules" yaml:"Rules"`
	Models    []Model   `json:"Models" yaml:"Models"`
	Services  []Service `json:"Services" yaml:"Services"`

	Placement    Placement     `json:"Placement,omitzero" yaml:"Placement,omitempty"`
	Accelerators []Accelerator `json:"Accelerators,omitempty" yaml:"Accelerators,omitempty"` // Accelerators are the kinds of accelerators that engines report.
}

// Key is the SHA-256 hash of the API key of a client or an operator.
type Key struct {
	Name string `json:"Name" yaml:"Name"`
	Hash string `json:"Hash" yaml:"Hash"` // Hash is "sha256:" and 64 hexadecimal digits.
}

// Model is a model that pipelines may use.
type Model struct {
	Name    string `json:"Name" yaml:"Name"`
	Version string `json:"Version" yaml:"Version"`
	Layers  int    `json:"Layers" yaml:"Layers"`

	LayerBytes      int `json:"LayerBytes,omitempty" yaml:"LayerBytes,omitempty"`           // LayerBytes is the memory of one layer; 0 means DefaultLayerBytes.
	LayerCost       int `json:"LayerCost,omitempty" yaml:"LayerCost,omitempty"`             // LayerCost is the cost in layer-steps of one layer for one token; 0 means 1.
	ActivationBytes int `json:"ActivationBytes,omitempty" yaml:"ActivationBytes,omitempty"` // ActivationBytes is the size of the activations that one token sends from stage to stage; 0 means DefaultActivationBytes.
	Share           int `json:"Share,omitempty" yaml:"Share,omitempty"`                     // Share is the model's fraction of all tokens, relative to other models; 0 means 1.
}

// Service is an HTTP service, as opposed to the engines, which run the models.
type Service struct {
	Name     string        `json:"Name" yaml:"Name"`
	Requests []RequestKind `json:"Requests" yaml:"Requests"`
}

// RequestKind is a kind of service request.
type RequestKind struct {
	Name       string        `json:"Name" yaml:"Name"`
	Method     string        `json:"Method" yaml:"Method"`
	Path       string        `json:"Path" yaml:"Path"` // Path is the path below the service; "*" as the last segment matches any suffix.
	Idempotent bool          `json:"Idempotent" yaml:"Idempotent"`
	Phone      bool          `json:"Phone,omitempty" yaml:"Phone,omitempty"` // Phone marks a kind that only branches with phone orders may request.
	Timeout    time.Duration `json:"Timeout,omitempty" yaml:"Timeout,omitempty"`
}

// Workspace is one tenant.
type Workspace struct {
	Name      string     `json:"Name" yaml:"Name"`
	Weight    int        `json:"Weight" yaml:"Weight"` // Weight is the relative share of capacity under contention, 1 or more.
	Keys      []Key      `json:"Keys" yaml:"Keys"`
	Rules     Overrides  `json:"Rules" yaml:"Rules,omitempty"`
	Branches  []Branch   `json:"Branches" yaml:"Branches"`
	Pipelines []Pipeline `json:"Pipelines" yaml:"Pipelines"`
	Services  []string   `json:"Services" yaml:"Services"`
}

// Branch is a shop or a kiln crew that may override the rules of its workspace and head office.
type Branch struct {
	Name  string    `json:"Name" yaml:"Name"`
	Keys  []Key     `json:"Keys" yaml:"Keys,omitempty"`
	Rules Overrides `json:"Rules" yaml:"Rules,omitempty"`
}

// Pipeline maps the model name in client requests to a model.
type Pipeline struct {
	Name     string        `json:"Name" yaml:"Name"` // Name is what clients send as the model name.
	Model    string        `json:"Model" yaml:"Model"`
	Priority Priority      `json:"Priority,omitempty" yaml:"Priority,omitempty"` // Priority is empty to use that of the branch.
	Timeout  time.Duration `json:"Timeout,omitempty" yaml:"Timeout,omitempty"`   // Timeout is zero to use that of the branch.
}

// Overrides are the rules that one level of the hierarchy sets: the head office, a workspace or a branch. A nil
// field inherits the value of the level above.
type Overrides struct {
	OpeningHours  *Hours         `json:"OpeningHours,omitempty" yaml:"OpeningHours,omitempty"`
	MarketDays    *[]string      `json:"MarketDays,omitempty" yaml:"MarketDays,omitempty"` // MarketDays are weekday names; an empty list means every day.
	PhoneOrders   *bool          `json:"PhoneOrders,omitempty" yaml:"PhoneOrders,omitempty"`
	Priority      *Priority      `json:"Priority,omitempty" yaml:"Priority,omitempty"`
	Timeout       *time.Duration `json:"Timeout,omitempty" yaml:"Timeout,omitempty"`
	NotIdempotent *[]string      `json:"NotIdempotent,omitempty" yaml:"NotIdempotent,omitempty"` // NotIdempotent names request kinds, as service/kind, that run at most once for this level.
}

// Hours are opening hours in the fleet's time zone.
type Hours struct {
	Open  string `json:"Open" yaml:"Open"`   // Open is a time of day such as 08:00.
	Close string `json:"Close" yaml:"Close"` // Close is a time of day after Open.
}

// Caller is the client that an API key authenticates.
type Caller struct {
	Workspace string `json:"Workspace"`
	Branch    string `json:"Branch"` // Branch is empty for a key of the whole workspace.
}

// HashKey returns the hash of key in the form that the configuration holds.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// Authenticate returns the client that key belongs to.
func (c *Configuration) Authenticate(key string) (Caller, bool) {
	hash := HashKey(key)
	if i, ok := c.currentIndex(); ok {
		client, found := i.clients[hash]
		return client, found
	}
	for _, w := range c.Workspaces {
		if holdsKey(w.Keys, hash) {
			return Caller{Workspace: w.Name}, true
		}
		for _, b := range w.Branches {
			if holdsKey(b.Keys, hash) {
				return Caller{Workspace: w.Name, Branch: b.Name}, true
			}
		}
	}
	return Caller{}, false
}

// AuthenticateOperator returns the name of the operator that key belongs to.
func (c *Configuration) AuthenticateOperator(key string) (string, bool) {
	hash := HashKey(key)
	if i, ok := c.currentIndex(); ok {
		name, found := i.operators[hash]
		return name, found
	}
	for _, k := range c.HeadOffice.Operators {
		if holdsKey([]Key{k}, hash) {
			return k.Name, true
		}
	}
	return "", false
}

func holdsKey(keys []Key, hash string) bool {
	for _, k := range keys {
		if subtle.ConstantTimeCompare([]byte(k.Hash), []byte(hash)) == 1 {
			return true
		}
	}
	return false
}

// Workspace returns the first workspace with the given name.
func (c *Configuration) Workspace(name string) (Workspace, bool) {
	if i, ok := c.currentIndex(); ok {
		n, found := i.workspaces[name]
		if !found {
			return Workspace{}, false
		}
		return c.Workspaces[n], true
	}
	for _, w := range c.Workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return Workspace{}, false
}

// Model returns the first model with the given name.
func (c *Configuration) Model(name string) (Model, bool) {
	for _, m := range c.HeadOffice.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Pipeline returns the first pipeline with the given name in the workspace.
func (c *Configuration) Pipeline(workspace, name string) (Pipeline, bool) {
	w, ok := c.Workspace(workspace)
	if !ok {
		return Pipeline{}, false
	}
	for _, p := range w.Pipelines {
		if p.Name == name {
			return p, true
		}
	}
	return Pipeline{}, false
}

// RequestKind returns the kind of a service request, and false if the workspace does not have the
// service or the service has no matching kind.
func (c *Configuration) RequestKind(workspace, service, method, path string) (RequestKind, bool) {
	w, ok := c.Workspace(workspace)
	if !ok {
		return RequestKind{}, false
	}
	for _, name := range w.Services {
		if name == service {
			return c.matchKind(service, method, path)
		}
	}
	return RequestKind{}, false
}

// matchKind returns the first kind of the service that matches.
func (c *Configuration) matchKind(service, method, path string) (RequestKind, bool) {
	for _, s := range c.HeadOffice.Services {
		if s.Name != service {
			continue
		}
		for _, k := range s.Requests {
			if k.Method == method && matchesPath(k.Path, path) {
				return k, true
			}
		}
	}
	return RequestKind{}, false
}

// matchesPath ignores the leading slash, so that RequestKind accepts paths with and without one.
func matchesPath(pattern, path string) bool {
	pattern, path = strings.TrimPrefix(pattern, "/"), strings.TrimPrefix(path, "/")
	if prefix, found := strings.CutSuffix(pattern, "*"); found {
		return strings.HasPrefix(path, prefix)
	}
	return pattern == path
}
