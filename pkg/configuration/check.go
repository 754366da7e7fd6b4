package configuration

import (
	"fmt"
	"time"

	"github.com/cuminroute/cuminroute/pkg/finding"
)

// Limits of accepted values.
const (
	// MaxLayers is well above the deepest published model (126 layers) and catches a parameter
	// count written as a layer count.
	MaxLayers = 1000
	// MaxWeight keeps the share of the smallest workspace above zero with 3,800 workspaces.
	MaxWeight = 10_000
	// MaxTimeout is the longest time for which a client is expected to keep its connection open.
	MaxTimeout = time.Hour
)

// Check validates c and returns every finding with the path of its value, in the order of the file.
func Check(c *Configuration) []finding.Finding {
	ch := &checker{c: c, kinds: kindsOf(c), keyHolders: map[string]string{}}
	ch.headOffice()
	seen := map[string]bool{}
	for i, w := range c.Workspaces {
		path := fmt.Sprintf("$.Workspaces[%d]", i)
		ch.name(path+".Name", w.Name)
		ch.unique(path+".Name", w.Name, "workspace", seen)
		ch.workspace(path, w)
	}
	return ch.findings
}

// checker collects findings about one configuration. Its methods add a finding for each invalid value, and take
// the path of the value that they check.
type checker struct {
	c          *Configuration
	kinds      map[string]bool   // kinds is the set of request kinds as service/kind.
	keyHolders map[string]string // keyHolders maps a key hash to the first holder of the key.
	findings   []finding.Finding
}

func kindsOf(c *Configuration) map[string]bool {
	kinds := map[string]bool{}
	for _, s := range c.HeadOffice.Services {
		for _, k := range s.Requests {
			kinds[s.Name+"/"+k.Name] = true
		}
	}
	return kinds
}

func (ch *checker) add(path, value, rule, accepted string) {
	ch.findings = append(ch.findings, finding.Finding{Path: path, Value: value, Rule: rule, Accepted: accepted})
}

func (ch *checker) headOffice() {
	h := ch.c.HeadOffice
	if h.Fleet == "" {
		ch.add("$.HeadOffice.Fleet", "", "The fleet needs a name", "a text")
	}
	ch.timeZone(h.TimeZone)
	if len(h.Operators) == 0 {
		ch.add("$.HeadOffice.Operators", "", "Without an operator nobody could change the configuration", "one operator or more")
	}
	ch.keys("$.HeadOffice.Operators", "operator ", h.Operators)
	ch.overrides("$.HeadOffice.Rules", h.Rules)
	ch.models(h.Models)
	ch.services(h.Services)
	ch.placement(h)
}

func (ch *checker) timeZone(name string) {
	// "Local" depends on the time zone of the host, which may differ between instances.
	_, err := time.LoadLocation(name)
	if name == "" || name == "Local" || err != nil {
		ch.add("$.HeadOffice.TimeZone", name, "The time zone is not known", "an IANA name such as Europe/Ljubljana")
	}
}

func (ch *checker) models(models []Model) {
	seen := map[string]bool{}
	for i, m := range models {
		path := fmt.Sprintf("$.HeadOffice.Models[%d]", i)
		ch.name(path+".Name", m.Name)
		ch.unique(path+".Name", m.Name, "model", seen)
		if m.Version == "" {
			ch.add(path+".Version", "", "A model needs a version", "a text such as \"1\"")
		}
		ch.between(path+".Layers", m.Layers, 1, MaxLayers, "Layers is out of range")
		ch.modelPlacement(path, m)
	}
}

func (ch *checker) workspace(path string, w Workspace) {
	ch.between(path+".Weight", w.Weight, 1, MaxWeight, "Weight is out of range")
	ch.keys(path+".Keys", "workspace "+w.Name+", key ", w.Keys)
	ch.workspaceServices(path+".Services", w.Services)
	ch.overrides(path+".Rules", w.Rules)
	seen := map[string]bool{}
	for i, b := range w.Branches {
		branchPath := fmt.Sprintf("%s.Branches[%d]", path, i)
		ch.name(branchPath+".Name", b.Name)
		ch.unique(branchPath+".Name", b.Name, "branch", seen)
		ch.keys(branchPath+".Keys", "workspace "+w.Name+", branch "+b.Name+", key ", b.Keys)
		ch.overrides(branchPath+".Rules", b.Rules)
	}
	ch.pipelines(path, w.Pipelines)
}

func (ch *checker) workspaceServices(path string, services []string) {
	seen := map[string]bool{}
	var known []string
	for _, s := range ch.c.HeadOffice.Services {
		known = append(known, s.Name)
	}
	for i, name := range services {
		servicePath := fmt.Sprintf("%s[%d]", path, i)
		ch.oneOf(servicePath, name, known, "The service is not one of the head office")
		ch.unique(servicePath, name, "service", seen)
	}
}

func (ch *checker) pipelines(path string, pipelines []Pipeline) {
	seen := map[string]bool{}
	var models []string
	for _, m := range ch.c.HeadOffice.Models {
		models = append(models, m.Name)
	}
	for i, p := range pipelines {
		pipelinePath := fmt.Sprintf("%s.Pipelines[%d]", path, i)
		ch.name(pipelinePath+".Name", p.Name)
		ch.unique(pipelinePath+".Name", p.Name, "pipeline", seen)
		ch.oneOf(pipelinePath+".Model", p.Model, models, "The model is not one of the head office")
		if p.Priority != "" {
			ch.priority(pipelinePath+".Priority", p.Priority)
		}
		if p.Timeout != 0 {
			ch.timeout(pipelinePath+".Timeout", p.Timeout)
		}
	}
}
