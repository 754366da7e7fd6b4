package platform

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	roleTable = iota
	roleObjects
	roleList
	roleWeights
)

// Outage is the way in which a role is unavailable.
type Outage string

const (
	// Refused responds to every request with 503.
	Refused Outage = "Refused"
	// Silent runs no request and sends no response until the client disconnects.
	Silent Outage = "Silent"
)

// Fault holds the faults of one role. The zero value serves without faults.
type Fault struct {
	Latency        time.Duration `json:"Latency,omitempty"`        // Latency is the delay before a request runs.
	Outage         Outage        `json:"Outage,omitempty"`         // Outage is Refused, Silent or empty.
	LoseAnswers    int           `json:"LoseAnswers,omitempty"`    // LoseAnswers is how many of the next requests run without a response.
	LosePerMille   int           `json:"LosePerMille,omitempty"`   // LosePerMille of 1,000 requests run without a response.
	RefusePerMille int           `json:"RefusePerMille,omitempty"` // RefusePerMille of 1,000 requests are refused with 503.
	PerSecond      float64       `json:"PerSecond,omitempty"`      // PerSecond limits the request rate; requests above it get 429.
	Lag            time.Duration `json:"Lag,omitempty"`            // Lag is the delay until a change shows in the instance list.
}

// Faults holds the faults of all roles.
type Faults struct {
	Table   Fault `json:"Table"`
	Objects Fault `json:"Objects"`
	List    Fault `json:"List"`
	Weights Fault `json:"Weights"`
}

// validate returns an error if an outage is not a known value.
func (f *Faults) validate() error {
	for _, fault := range []Fault{f.Table, f.Objects, f.List, f.Weights} {
		if fault.Outage != "" && fault.Outage != Refused && fault.Outage != Silent {
			return fmt.Errorf("the outage is %q, accepted: Refused, Silent or empty", fault.Outage)
		}
	}
	return nil
}

// faultInjector applies the active faults to requests.
type faultInjector struct {
	mu       sync.Mutex
	faults   Faults
	random   *rand.Rand
	limiters [4]*rate.Limiter
}

func (i *faultInjector) get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

func (i *faultInjector) set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	for n := range i.limiters {
		i.limiters[n] = nil
		if limit := i.fault(n).PerSecond; limit > 0 {
			i.limiters[n] = rate.NewLimiter(rate.Limit(limit), max(1, int(limit/10)))
		}
	}
}

func (i *faultInjector) fault(r int) *Fault {
	return [...]*Fault{&i.faults.Table, &i.faults.Objects, &i.faults.List, &i.faults.Weights}[r]
}

// decide returns the faults of one request of the role and whether its response is lost.
func (i *faultInjector) decide(r int) (fault Fault, lose bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f := i.fault(r)
	fault = *f
	fault.PerSecond = 0
	if l := i.limiters[r]; l != nil && !l.Allow() {
		fault.PerSecond = f.PerSecond
	}
	if i.random.IntN(1000) < f.RefusePerMille {
		fault.Outage = Refused
	}
	lose = i.random.IntN(1000) < f.LosePerMille
	if f.LoseAnswers > 0 && fault.Outage == "" {
		f.LoseAnswers--
		lose = true
	}
	return fault, lose
}

func (i *faultInjector) wrap(r int, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		fault, lose := i.decide(r)
		time.Sleep(fault.Latency)
		switch {
		case fault.Outage == Refused:
			http.Error(w, "outage", http.StatusServiceUnavailable)
		case fault.Outage == Silent:
			// The server detects that the client has disconnected only after the body was read.
			_, _ = io.Copy(io.Discard, req.Body)
			<-req.Context().Done()
		case fault.PerSecond > 0:
			w.Header().Set("Retry-After", "1")
			http.Error(w, "over the rate limit", http.StatusTooManyRequests)
		case lose:
			next.ServeHTTP(httptest.NewRecorder(), req)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, req)
		}
	})
}
