package branch

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/yamlfile"
)

// explainer collects the values of one branch at one time.
type explainer struct {
	branch    *Branch
	positions *yamlfile.Positions
	rules     configuration.EffectiveRules
	// weekday is the weekday in the time zone of the fleet at the time of the explanation.
	weekday string
	values  []Value
}

// origin is the rule that sets a value.
type origin struct {
	source Source
	path   string
}

func (e *explainer) add(name, value string, from origin) {
	v := Value{Name: name, Value: value, Source: from.source}
	if from.path != "" {
		v.Place = e.positions.At(from.path)
	}
	e.values = append(e.values, v)
}

// originOf returns the most specific level that sets the rule, and Default if none does.
func (e *explainer) originOf(rule string, set func(configuration.Overrides) bool) origin {
	for _, l := range slices.Backward(e.branch.levels) {
		if set(l.rules) {
			return origin{source: l.source, path: l.path + "." + rule}
		}
	}
	return origin{source: Default}
}

func (e *explainer) explainRules() {
	hours, hoursOrigin := e.openingHours()
	days, daysOrigin := e.marketDays()
	e.add("OpeningHours", hours, hoursOrigin)
	e.add("MarketDays", days, daysOrigin)
	e.add("Open", strconv.FormatBool(e.rules.Open), e.openOrigin(hoursOrigin, daysOrigin))
	e.add("PhoneOrders", strconv.FormatBool(e.rules.PhoneOrders), e.phoneOrigin())
	e.add("Priority", string(e.rules.Priority), e.priorityOrigin())
	e.add("Timeout", e.rules.Timeout.String(), e.timeoutOrigin())
	e.add("NotIdempotent", joinOr(e.rules.NotIdempotent, "none"), e.notIdempotentOrigin())
}

func (e *explainer) openingHours() (string, origin) {
	from := e.originOf("OpeningHours", func(o configuration.Overrides) bool { return o.OpeningHours != nil })
	text := "always"
	for _, l := range e.branch.levels {
		if l.rules.OpeningHours != nil {
			text = l.rules.OpeningHours.Open + " to " + l.rules.OpeningHours.Close
		}
	}
	return text, from
}

func (e *explainer) marketDays() (string, origin) {
	from := e.originOf("MarketDays", func(o configuration.Overrides) bool { return o.MarketDays != nil })
	text := "every day"
	for _, l := range e.branch.levels {
		if l.rules.MarketDays != nil {
			text = joinOr(*l.rules.MarketDays, "every day")
		}
	}
	return text, from
}

// openOrigin returns the origin of the rule that decides whether the branch is open: the market days if they close
// the branch or no level sets opening hours, else the opening hours.
func (e *explainer) openOrigin(hours, days origin) origin {
	if e.closedByMarketDays() || hours.source == Default {
		return days
	}
	return hours
}

func (e *explainer) closedByMarketDays() bool {
	closed := false
	for _, l := range e.branch.levels {
		if days := l.rules.MarketDays; days != nil {
			closed = len(*days) > 0 && !slices.Contains(*days, e.weekday)
		}
	}
	return closed
}

func (e *explainer) phoneOrigin() origin {
	return e.originOf("PhoneOrders", func(o configuration.Overrides) bool { return o.PhoneOrders != nil })
}

func (e *explainer) timeoutOrigin() origin {
	return e.originOf("Timeout", func(o configuration.Overrides) bool { return o.Timeout != nil })
}

func (e *explainer) notIdempotentOrigin() origin {
	return e.originOf("NotIdempotent", func(o configuration.Overrides) bool { return o.NotIdempotent != nil })
}

// priorityOrigin returns the source OpeningHours with the path of the closing rule for a closed branch, whose
// priority is Batch whatever the priority rules say.
func (e *explainer) priorityOrigin() origin {
	from := e.originOf("Priority", func(o configuration.Overrides) bool { return o.Priority != nil })
	if e.rules.Open {
		return from
	}
	_, hours := e.openingHours()
	_, days := e.marketDays()
	closing := e.openOrigin(hours, days)
	return origin{source: OpeningHours, path: closing.path}
}

func (e *explainer) explainPipelines() {
	for i, p := range e.branch.workspace.Pipelines {
		path := fmt.Sprintf("%s.Pipelines[%d]", e.branch.workspacePath, i)
		name := "Pipeline " + p.Name
		e.add(name+" Model", p.Model, origin{Pipeline, path + ".Model"})
		priority, from := e.rules.Priority, e.priorityOrigin()
		if p.Priority != "" {
			priority, from = p.Priority, origin{Pipeline, path + ".Priority"}
		}
		e.add(name+" Priority", string(priority), from)
		e.addTimeout(name, p.Timeout, origin{Pipeline, path + ".Timeout"})
	}
}

// addTimeout adds the timeout own if it is set, else that of the rules.
func (e *explainer) addTimeout(name string, own time.Duration, ownOrigin origin) {
	if own != 0 {
		e.add(name+" Timeout", own.String(), ownOrigin)
		return
	}
	e.add(name+" Timeout", e.rules.Timeout.String(), e.timeoutOrigin())
}

func (e *explainer) explainRequests() {
	for i, s := range e.branch.configuration.HeadOffice.Services {
		if !slices.Contains(e.branch.workspace.Services, s.Name) {
			continue
		}
		for j, k := range s.Requests {
			e.explainRequest(s.Name, k, fmt.Sprintf("$.HeadOffice.Services[%d].Requests[%d]", i, j))
		}
	}
}

func (e *explainer) explainRequest(service string, k configuration.RequestKind, path string) {
	kind := service + "/" + k.Name
	allowed, allowedFrom := true, origin{RequestKind, path}
	if k.Phone {
		allowed, allowedFrom = e.rules.PhoneOrders, e.phoneOrigin()
	}
	e.add("Request "+kind+" Allowed", strconv.FormatBool(allowed), allowedFrom)
	once, onceFrom := !k.Idempotent, origin{RequestKind, path + ".Idempotent"}
	if k.Idempotent && slices.Contains(e.rules.NotIdempotent, kind) {
		once, onceFrom = true, e.notIdempotentOrigin()
	}
	e.add("Request "+kind+" AtMostOnce", strconv.FormatBool(once), onceFrom)
	e.addTimeout("Request "+kind, k.Timeout, origin{RequestKind, path + ".Timeout"})
}

// joinOr joins items, and returns empty if there are none.
func joinOr(items []string, empty string) string {
	if len(items) == 0 {
		return empty
	}
	return strings.Join(items, ", ")
}
