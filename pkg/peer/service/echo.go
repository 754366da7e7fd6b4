package service

import (
	"errors"
	"net/http"
	"net/netip"
	"sync"
)

// requestIDHeader carries the ID of a request. A target that echoes it in its responses gets requests on kept connections: only then
// a late second copy of an earlier response can be told from the response.
const requestIDHeader = "X-Request-Id"

// maxEchoing bounds the addresses that are remembered. When it is reached, all are forgotten.
const maxEchoing = 4096

var (
	// errOtherRequest reports a response to another request.
	errOtherRequest = errors.New("the target sent a response to another request")
	// errNoEcho reports a response on a kept connection without the request's ID.
	errNoEcho = errors.New("the target no longer echoes the IDs of requests")
)

// echoingTargets holds the addresses of the targets whose last response echoed its request's ID. It is safe for concurrent use.
type echoingTargets struct {
	mu      sync.Mutex
	echoing map[netip.AddrPort]bool
}

func newEchoingTargets() *echoingTargets {
	return &echoingTargets{echoing: make(map[netip.AddrPort]bool)}
}

func (e *echoingTargets) contains(address netip.AddrPort) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.echoing[address]
}

// check records whether a response echoes the ID of its request. If it does not, the next request goes over a connection
// of its own, and a response on a kept connection is an error, since it may be that to an earlier request. On a connection
// of its own, it is the target's response, whatever it names: services may have IDs of their own.
func (e *echoingTargets) check(address netip.AddrPort, id string, response http.Header, kept bool) error {
	echoed := response.Get(requestIDHeader)
	e.mu.Lock()
	defer e.mu.Unlock()
	if echoed == id && id != "" {
		if len(e.echoing) >= maxEchoing {
			clear(e.echoing)
		}
		e.echoing[address] = true
		return nil
	}
	delete(e.echoing, address)
	switch {
	case !kept:
		return nil
	case echoed == "":
		return errNoEcho
	default:
		return errOtherRequest
	}
}
