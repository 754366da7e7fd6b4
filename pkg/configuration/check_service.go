package configuration

import (
	"fmt"
	"regexp"
	"strings"
)

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

// pathPattern accepts path segments of unreserved characters, and the wildcard "*" alone as the last segment.
var pathPattern = regexp.MustCompile(`^(/[A-Za-z0-9._~-]+)*(/|/\*|/[A-Za-z0-9._~-]+)$`)

func (ch *checker) services(services []Service) {
	seen := map[string]bool{}
	for i, s := range services {
		path := fmt.Sprintf("$.HeadOffice.Services[%d]", i)
		ch.name(path+".Name", s.Name)
		ch.unique(path+".Name", s.Name, "service", seen)
		if len(s.Requests) == 0 {
			ch.add(path+".Requests", "", "A service needs a request kind", "one request kind or more")
		}
		ch.requests(path, s.Requests)
	}
}

func (ch *checker) requests(path string, kinds []RequestKind) {
	seen := map[string]bool{}
	for i, k := range kinds {
		kindPath := fmt.Sprintf("%s.Requests[%d]", path, i)
		ch.name(kindPath+".Name", k.Name)
		ch.unique(kindPath+".Name", k.Name, "request kind", seen)
		ch.oneOf(kindPath+".Method", k.Method, methods, "The method is not accepted")
		ch.path(kindPath+".Path", k.Path)
		if k.Timeout != 0 {
			ch.timeout(kindPath+".Timeout", k.Timeout)
		}
		ch.reachable(kindPath+".Path", k, kinds[:i])
	}
}

func (ch *checker) path(path, value string) {
	if !pathPattern.MatchString(value) || strings.Contains(value+"/", "/../") || strings.Contains(value+"/", "/./") {
		ch.add(path, value, "The path is malformed", "a path such as /reorders or /items/*")
	}
}

// reachable adds a finding for a kind whose requests all match an earlier kind. The first match decides whether a
// request may be retried, so requests of a shadowed kind that is not idempotent could run twice.
func (ch *checker) reachable(path string, k RequestKind, earlier []RequestKind) {
	for _, e := range earlier {
		if e.Method == k.Method && covers(e.Path, k.Path) {
			ch.add(path, k.Path, fmt.Sprintf("The earlier kind %s matches every request of this kind", e.Name),
				"a path that no earlier kind covers, or this kind listed before "+e.Name)
			return
		}
	}
}

// covers reports whether pattern matches every path that the pattern other matches.
func covers(pattern, other string) bool {
	if prefix, found := strings.CutSuffix(pattern, "*"); found {
		return strings.HasPrefix(other, prefix)
	}
	return pattern == other
}
