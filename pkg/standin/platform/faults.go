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

// Outage is a way in which a role does not serve.
type Outage string

const (
	// Refused answers 503 to every request.
	Refused Outage = "Refused"
	// Silent runs no request and answers none until the client gives up.
	Silent Outage = "Silent"
)

// Fault holds the faults of one role. The zero value serves without faults.
type Fault struct {
	Latency        time.Duration `json:"Latency,omitempty"`        // Latency is added before a request is run.
	Outage         Outage        `json:"Outage,omitempty"`         // Outage is Refused, Silent or empty.
	LoseAnswers    int           `json:"LoseAnswers,omitempty"`    // LoseAnswers is how many next requests run without an answer.
	LosePerMille   int           `json:"LosePerMille,omitempty"`   // LosePerMille of all requests run without an answer.
	RefusePerMille int           `json:"RefusePerMille,omitempty"` // RefusePerMille of all requests are refused with 503.
	PerSecond      float64       `json:"PerSecond,omitempty"`      // PerSecond limits the rate; above it the answer is 429.
	Lag            time.Duration `json:"Lag,omitempty"`            // Lag is how late the instance list shows a change.
}

// Faults holds the faults of all roles.
type Faults struct {
	Table   Fault `json:"Table"`
	Objects Fault `json:"Objects"`
	List    Fault `json:"List"`
	Weights Fault `json:"Weights"`
}

// check returns an error for an outage that is not known.
func (f *Faults) check() error {
	for _, fault := range []Fault{f.Table, f.Objects, f.List, f.Weights} {
		if fault.Outage != "" && fault.Outage != Refused && fault.Outage != Silent {
			return fmt.Errorf("the outage is %q, accepted: Refused, Silent or empty", fault.Outage)
		}
	}
	return nil
}

// injector applies the faults in force to requests.
type injector struct {
	mu       sync.Mutex
	faults   Faults
	random   *rand.Rand
	limiters [4]*rate.Limiter
}

func (i *injector) get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

func (i *injector) set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	for n := range i.limiters {
		i.limiters[n] = nil
		if limit := i.of(n).PerSecond; limit > 0 {
			i.limiters[n] = rate.NewLimiter(rate.Limit(limit), max(1, int(limit/10)))
		}
	}
}

func (i *injector) of(r int) *Fault {
	return [...]*Fault{&i.faults.Table, &i.faults.Objects, &i.faults.List, &i.faults.Weights}[r]
}

// draw decides what happens to one request of the role.
func (i *injector) draw(r int) (fault Fault, lose bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f := i.of(r)
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

func (i *injector) wrap(r int, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		fault, lose := i.draw(r)
		time.Sleep(fault.Latency)
		switch {
		case fault.Outage == Refused:
			http.Error(w, "outage", http.StatusServiceUnavailable)
		case fault.Outage == Silent:
			// The server notices that the client has gone only after the body was read.
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
