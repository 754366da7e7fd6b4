package configuration

import (
	"slices"
	"time"
)

// Values of the rules that no level sets.
const (
	// DefaultTimeout allows for a long response at 78 ms between tokens.
	DefaultTimeout = 60 * time.Second
	// DefaultPriority is the class for a person who waits for the response.
	DefaultPriority = Interactive
)

// EffectiveRules are the rules that apply to one branch at one time.
type EffectiveRules struct {
	Open          bool          `json:"Open"` // Open is true within the opening hours on a market day.
	PhoneOrders   bool          `json:"PhoneOrders"`
	Priority      Priority      `json:"Priority"` // Priority is Batch while the branch is closed.
	Timeout       time.Duration `json:"Timeout"`
	NotIdempotent []string      `json:"NotIdempotent"`
}

// EffectiveRules returns the rules that apply to a branch. If branch is empty, the rules
// are those of the workspace.
func (c *Configuration) EffectiveRules(workspace, branch string, at time.Time) EffectiveRules {
	merged := c.HeadOffice.Rules
	if w, ok := c.Workspace(workspace); ok {
		merged = merged.overriddenBy(w.Rules)
		for _, b := range w.Branches {
			if b.Name == branch {
				merged = merged.overriddenBy(b.Rules)
			}
		}
	}
	return merged.resolve(c.LocalTime(at))
}

// LocalTime returns at in the time zone of the fleet, and in UTC if the zone is unknown.
func (c *Configuration) LocalTime(at time.Time) time.Time {
	if i, ok := c.currentIndex(); ok {
		return at.In(i.zone)
	}
	return at.In(zoneOf(c.HeadOffice.TimeZone))
}

// overriddenBy returns o with the rules that other sets in place of its own.
func (o Overrides) overriddenBy(other Overrides) Overrides {
	if other.OpeningHours != nil {
		o.OpeningHours = other.OpeningHours
	}
	if other.MarketDays != nil {
		o.MarketDays = other.MarketDays
	}
	if other.PhoneOrders != nil {
		o.PhoneOrders = other.PhoneOrders
	}
	if other.Priority != nil {
		o.Priority = other.Priority
	}
	if other.Timeout != nil {
		o.Timeout = other.Timeout
	}
	if other.NotIdempotent != nil {
		o.NotIdempotent = other.NotIdempotent
	}
	return o
}

// resolve returns the rules at a local time, with defaults for the rules that no level sets.
func (o Overrides) resolve(local time.Time) EffectiveRules {
	r := EffectiveRules{Open: o.openAt(local), Priority: DefaultPriority, Timeout: DefaultTimeout}
	if o.PhoneOrders != nil {
		r.PhoneOrders = *o.PhoneOrders
	}
	if o.Priority != nil {
		r.Priority = *o.Priority
	}
	if !r.Open {
		r.Priority = Batch
	}
	if o.Timeout != nil {
		r.Timeout = *o.Timeout
	}
	if o.NotIdempotent != nil {
		r.NotIdempotent = *o.NotIdempotent
	}
	return r
}

func (o Overrides) openAt(local time.Time) bool {
	if o.MarketDays != nil && len(*o.MarketDays) > 0 && !slices.Contains(*o.MarketDays, local.Weekday().String()) {
		return false
	}
	if o.OpeningHours == nil {
		return true
	}
	now := local.Format("15:04")
	return o.OpeningHours.Open <= now && now < o.OpeningHours.Close
}
