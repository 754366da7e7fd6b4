// Package configlint finds entries of a valid configuration that have no effect or contradict each other, before the configuration is
// sent.
//
// Usage:
//
//	for _, warning := range configlint.Warnings(configuration) { ... }
package configlint

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/finding"
)

// linter collects the warnings about one configuration.
type linter struct {
	c        *configuration.Configuration
	warnings finding.List
}

// Warnings returns the entries that can never match a request, or whose limits contradict others, with their place. The configuration
// must be valid.
func Warnings(c *configuration.Configuration) []finding.Finding {
	l := &linter{c: c}
	l.services()
	l.models()
	for i, w := range c.Workspaces {
		l.workspace(fmt.Sprintf("$.Workspaces[%d]", i), w)
	}
	return l.warnings.All()
}

func (l *linter) add(path, value, rule, accepted string) {
	l.warnings.Add(finding.Finding{Path: path, Value: value, Rule: rule, Accepted: accepted})
}

// services warns of services that no workspace has, and of request kinds that an earlier one hides.
func (l *linter) services() {
	for i, s := range l.c.HeadOffice.Services {
		path := fmt.Sprintf("$.HeadOffice.Services[%d]", i)
		if !slices.ContainsFunc(l.c.Workspaces, func(w configuration.Workspace) bool { return slices.Contains(w.Services, s.Name) }) {
			l.add(path+".Name", s.Name, "No workspace has the service, so no request can match it", "a service that a workspace lists")
		}
		for k, later := range s.Requests {
			for _, earlier := range s.Requests[:k] {
				if earlier.Method == later.Method && covers(earlier.Path, later.Path) {
					l.add(fmt.Sprintf("%s.Requests[%d].Path", path, k), later.Path,
						fmt.Sprintf("The earlier kind %s matches all of these requests, so this one never does", earlier.Name), "a place before that kind")
					break
				}
			}
		}
	}
}

// covers reports whether every path that matches the pattern narrow matches wide as well.
func covers(wide, narrow string) bool {
	wide, narrow = strings.TrimPrefix(wide, "/"), strings.TrimPrefix(narrow, "/")
	if prefix, found := strings.CutSuffix(wide, "*"); found {
		return strings.HasPrefix(strings.TrimSuffix(narrow, "*"), prefix)
	}
	return wide == narrow
}

// models warns of models that no pipeline uses.
func (l *linter) models() {
	for i, m := range l.c.HeadOffice.Models {
		used := slices.ContainsFunc(l.c.Workspaces, func(w configuration.Workspace) bool {
			return slices.ContainsFunc(w.Pipelines, func(p configuration.Pipeline) bool { return p.Model == m.Name })
		})
		if !used {
			l.add(fmt.Sprintf("$.HeadOffice.Models[%d].Name", i), m.Name, "No pipeline uses the model, so no request can match it", "a model that a pipeline names")
		}
	}
}

// workspace warns of entries of a workspace that no request can match.
func (l *linter) workspace(path string, w configuration.Workspace) {
	if len(w.Keys) == 0 && !slices.ContainsFunc(w.Branches, func(b configuration.Branch) bool { return len(b.Keys) > 0 }) {
		l.add(path+".Keys", "", "Neither the workspace nor a branch has a key, so no request can match the workspace", "one key or more")
	}
	if len(w.Pipelines) == 0 && len(w.Services) == 0 {
		l.add(path+".Pipelines", "", "The workspace has neither pipelines nor services, so its requests are all refused", "one pipeline or service")
	}
	l.phoneKinds(path, w)
	l.rules(path+".Rules", w, w.Rules)
	for i, b := range w.Branches {
		l.rules(fmt.Sprintf("%s.Branches[%d].Rules", path, i), w, b.Rules)
	}
}

// rules warns of the rules of a workspace or a branch that never apply.
func (l *linter) rules(path string, w configuration.Workspace, rules configuration.Overrides) {
	l.notIdempotent(path+".NotIdempotent", w, rules)
	if rules.Timeout != nil && len(w.Pipelines)+len(w.Services) > 0 && l.allSetTimeouts(w) {
		l.add(path+".Timeout", rules.Timeout.String(), "All pipelines and kinds of request of the workspace set their own timeout, which goes before this one",
			"no timeout here, or none there")
	}
}

// allSetTimeouts reports whether all pipelines of a workspace and all kinds of its services set a timeout.
func (l *linter) allSetTimeouts(w configuration.Workspace) bool {
	if slices.ContainsFunc(w.Pipelines, func(p configuration.Pipeline) bool { return p.Timeout == 0 }) {
		return false
	}
	return !slices.ContainsFunc(l.c.HeadOffice.Services, func(s configuration.Service) bool {
		return slices.Contains(w.Services, s.Name) &&
			slices.ContainsFunc(s.Requests, func(k configuration.RequestKind) bool { return k.Timeout == 0 })
	})
}

// phoneKinds warns of kinds for branches with phone orders in a workspace that has no such branch.
func (l *linter) phoneKinds(path string, w configuration.Workspace) {
	if l.takesPhoneOrders(w) {
		return
	}
	for i, name := range w.Services {
		for _, s := range l.c.HeadOffice.Services {
			onlyPhone := s.Name == name && len(s.Requests) > 0 &&
				!slices.ContainsFunc(s.Requests, func(k configuration.RequestKind) bool { return !k.Phone })
			if onlyPhone {
				l.add(fmt.Sprintf("%s.Services[%d]", path, i), name,
					"All kinds of the service are for branches with phone orders, and no branch of the workspace takes them", "PhoneOrders: true for a branch")
			}
		}
	}
}

// takesPhoneOrders reports whether the workspace or one of its branches takes phone orders.
func (l *linter) takesPhoneOrders(w configuration.Workspace) bool {
	inherited := isTrue(l.c.HeadOffice.Rules.PhoneOrders, false)
	inherited = isTrue(w.Rules.PhoneOrders, inherited)
	return inherited || slices.ContainsFunc(w.Branches, func(b configuration.Branch) bool { return isTrue(b.Rules.PhoneOrders, inherited) })
}

// isTrue returns the value of a rule, or what is inherited if the rule is not set.
func isTrue(rule *bool, inherited bool) bool {
	if rule == nil {
		return inherited
	}
	return *rule
}

// notIdempotent warns of kinds that run at most once anyway, or of services that the workspace does not have.
func (l *linter) notIdempotent(path string, w configuration.Workspace, rules configuration.Overrides) {
	if rules.NotIdempotent == nil {
		return
	}
	for i, name := range *rules.NotIdempotent {
		service, kind, _ := strings.Cut(name, "/")
		place := fmt.Sprintf("%s[%d]", path, i)
		if !slices.Contains(w.Services, service) {
			l.add(place, name, "The workspace does not have the service, so the entry never matches", "a kind of a service of the workspace")
		} else if !l.isIdempotent(service, kind) {
			l.add(place, name, "The kind runs at most once for all workspaces, so the entry has no effect", "a kind that is idempotent elsewhere")
		}
	}
}

func (l *linter) isIdempotent(service, kind string) bool {
	for _, s := range l.c.HeadOffice.Services {
		for _, k := range s.Requests {
			if s.Name == service && k.Name == kind {
				return k.Idempotent
			}
		}
	}
	return false
}
