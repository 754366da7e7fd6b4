package configuration

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// namePattern accepts names that are usable as a path segment, a document name and a metric label.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// hashPattern accepts lower case only: hashes are compared byte by byte with the result of HashKey.
var hashPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)

var (
	openPattern  = regexp.MustCompile(`^([01][0-9]|2[0-3]):[0-5][0-9]$`)
	closePattern = regexp.MustCompile(`^(([01][0-9]|2[0-3]):[0-5][0-9]|24:00)$`)
)

var priorities = []string{string(Schedule), string(Interactive), string(Batch)}

var weekdays = []string{"Monday", "Tuesday", "Wednesday", "Thursday", "Friday", "Saturday", "Sunday"}

func (ch *checker) name(path, name string) {
	if !namePattern.MatchString(name) {
		ch.add(path, name, "The name is not usable", "1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit")
	}
}

// unique adds a finding if name is in seen, and adds name to seen.
func (ch *checker) unique(path, name, kind string, seen map[string]bool) {
	if seen[name] {
		ch.add(path, name, "The "+kind+" is named twice", "a name that no other "+kind+" has")
	}
	seen[name] = true
}

func (ch *checker) between(path string, value, low, high int, rule string) {
	if value < low || value > high {
		ch.add(path, strconv.Itoa(value), rule, fmt.Sprintf("%d to %d", low, high))
	}
}

func (ch *checker) oneOf(path, value string, accepted []string, rule string) {
	if !slices.Contains(accepted, value) {
		ch.add(path, value, rule, listed(accepted))
	}
}

// maxListed limits the names in one finding, since a fleet may have many.
const maxListed = 20

func listed(names []string) string {
	if len(names) == 0 {
		return "none is defined"
	}
	if len(names) > maxListed {
		return strings.Join(names[:maxListed], ", ") + ", …"
	}
	return strings.Join(names, ", ")
}

func (ch *checker) priority(path string, p Priority) {
	ch.oneOf(path, string(p), priorities, "The priority is not known")
}

func (ch *checker) timeout(path string, timeout time.Duration) {
	if timeout <= 0 || timeout > MaxTimeout {
		ch.add(path, timeout.String(), "The timeout is out of range", "a duration above 0s, at most "+MaxTimeout.String())
	}
}

// keys checks names and hashes. A hash may appear only once in the configuration: a key of two holders
// would authenticate the holder that is found first. A finding names the holder of a key by holderPrefix and the
// name of the key.
func (ch *checker) keys(path, holderPrefix string, keys []Key) {
	seen := map[string]bool{}
	for i, k := range keys {
		keyPath := fmt.Sprintf("%s[%d]", path, i)
		ch.name(keyPath+".Name", k.Name)
		ch.unique(keyPath+".Name", k.Name, "key", seen)
		if !hashPattern.MatchString(k.Hash) {
			ch.add(keyPath+".Hash", k.Hash, "The key hash is malformed", "sha256: and 64 lower-case hexadecimal digits")
			continue
		}
		if first, found := ch.keyHolders[k.Hash]; found {
			ch.add(keyPath+".Hash", k.Hash, "The key is already in use by "+first, "a key of its own")
			continue
		}
		ch.keyHolders[k.Hash] = holderPrefix + k.Name
	}
}

// overrides checks the rules that one level of the hierarchy sets.
func (ch *checker) overrides(path string, o Overrides) {
	if o.OpeningHours != nil {
		ch.hours(path+".OpeningHours", *o.OpeningHours)
	}
	if o.MarketDays != nil {
		ch.days(path+".MarketDays", *o.MarketDays)
	}
	if o.Priority != nil {
		ch.priority(path+".Priority", *o.Priority)
	}
	if o.Timeout != nil {
		ch.timeout(path+".Timeout", *o.Timeout)
	}
	if o.NotIdempotent != nil {
		ch.notIdempotent(path+".NotIdempotent", *o.NotIdempotent)
	}
}

func (ch *checker) hours(path string, h Hours) {
	open := openPattern.MatchString(h.Open)
	if !open {
		ch.add(path+".Open", h.Open, "The time of day is malformed", "00:00 to 23:59, with both digits of the hour")
	}
	closes := closePattern.MatchString(h.Close)
	if !closes {
		ch.add(path+".Close", h.Close, "The time of day is malformed", "00:01 to 24:00, with both digits of the hour")
	}
	if open && closes && h.Close <= h.Open {
		ch.add(path+".Close", h.Close, "Close is not after Open", "a time of day after "+h.Open)
	}
}

func (ch *checker) days(path string, days []string) {
	seen := map[string]bool{}
	for i, day := range days {
		dayPath := fmt.Sprintf("%s[%d]", path, i)
		ch.oneOf(dayPath, day, weekdays, "The weekday is not known")
		ch.unique(dayPath, day, "weekday", seen)
	}
}

func (ch *checker) notIdempotent(path string, kinds []string) {
	var known []string
	for _, s := range ch.c.HeadOffice.Services {
		for _, k := range s.Requests {
			known = append(known, s.Name+"/"+k.Name)
		}
	}
	seen := map[string]bool{}
	for i, kind := range kinds {
		kindPath := fmt.Sprintf("%s[%d]", path, i)
		if !ch.kinds[kind] {
			ch.add(kindPath, kind, "The request kind is not known", listed(known))
		}
		ch.unique(kindPath, kind, "request kind", seen)
	}
}
