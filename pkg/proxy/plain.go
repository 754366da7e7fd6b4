package proxy

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// bufferedAnswer bounds the answers that are read whole before they are passed on, so that a broken one can be
	// asked for again. Longer ones are passed on as they come.
	bufferedAnswer = 1 << 20
	// onceReuse bounds the idle time of a connection used for a request that may not be repeated: a connection that
	// has gone silent would leave its outcome unknown.
	onceReuse = 1500 * time.Millisecond
	// reuse bounds the idle time of a connection used for others.
	reuse = 6 * time.Second
	// elsewhere is added to the estimated time at a target in another data centre.
	elsewhere = 3 * time.Millisecond
)

// plain serves a request to a plain service.
func (r *activeRequest) plain(ctx context.Context, w http.ResponseWriter) error {
	for {
		t, ok := r.choose()
		if !ok {
			return r.refused("no_target", "no target takes requests", nil)
		}
		if err := r.confirmed(); err != nil {
			return err
		}
		done, err := r.plainAttempt(ctx, w, t)
		if done || err != nil {
			return err
		}
	}
}

// choose returns the target with the least estimated time to an answer. Targets that are avoided are used only if
// there is no other.
func (r *activeRequest) choose() (target.Target, bool) {
	now := time.Now()
	var best *target.Target
	bestCost := 0.0
	for _, avoided := range []bool{false, true} {
		for _, t := range r.view.Targets[r.service.Name].Targets() {
			if !t.AcceptsRequests() || r.avoided[t.Name] || r.server.meter.Ejected(t.Name, now) != avoided {
				continue
			}
			cost := r.plainCost(t)
			if best == nil || cost < bestCost {
				best, bestCost = t, cost
			}
		}
		if best != nil {
			return *best, true
		}
	}
	return target.Target{}, false
}

func (r *activeRequest) plainCost(t *target.Target) float64 {
	latency, failing := r.server.meter.Health(t.Name)
	load := r.server.meter.Load(t.Name)
	slots := float64(max(t.Slots, 1))
	cost := max(latency, time.Millisecond).Seconds() * (1 + float64(load.Streams)/slots)
	if t.DataCentre != r.server.dataCentre {
		cost += elsewhere.Seconds()
	}
	return cost * (0.9 + 0.2*r.server.float()) / max(1-failing, 0.05)
}

// plainAttempt sends the request to a target. It reports whether the answer was written; without an error, the
// request may be sent to another target.
func (r *activeRequest) plainAttempt(ctx context.Context, w http.ResponseWriter, t target.Target) (done bool, err error) {
	s := r.server
	p := path.Path{{Target: t}}
	release := s.meter.Reserve(p, 1)
	defer release()
	s.ledger.RequestStarted(r.ID, r.fingerprint, t.Name)
	defer s.ledger.RequestFinished(r.ID, t.Name)
	r.targets = append(r.targets, t.Name)
	a := r.attempt(p)
	a.MaxIdle = onceReuse
	if r.route.Retryable() {
		a.MaxIdle = reuse
	}
	sent := time.Now()
	answer, err := s.upstream.Open(ctx, a)
	if err != nil {
		s.watch.suspect(t, err)
		return false, r.failed(err, p)
	}
	s.ledger.RequestProgressed(r.ID)
	body, whole, err := readAnswer(answer)
	if err != nil {
		answer.Abort()
		return false, r.failed(&AttemptError{Sent: true, Cause: err}, p)
	}
	if answer.Status >= http.StatusInternalServerError {
		s.meter.RecordError(t.Name)
		r.attempts++
		if whole && r.mayRepeat() {
			answer.Release()
			r.exclude(t.Name)
			return false, nil
		}
	} else {
		s.meter.RecordSuccess(t.Name, time.Since(sent))
		s.ledger.RequestCompleted(r.fingerprint)
	}
	return true, writeAnswer(w, answer, body, whole)
}

// readAnswer reads the body up to the bound and reports whether that was all of it.
func readAnswer(a *Response) (body []byte, whole bool, err error) {
	if a.ContentLength > bufferedAnswer {
		return nil, false, nil
	}
	body, err = io.ReadAll(io.LimitReader(a.Body, bufferedAnswer))
	if err != nil {
		return nil, false, err
	}
	return body, len(body) < bufferedAnswer, nil
}

// writeAnswer passes an answer on. The rest of a long one is copied as it comes.
func writeAnswer(w http.ResponseWriter, a *Response, body []byte, whole bool) error {
	copyHeader(w.Header(), a.Header)
	if whole {
		a.Release()
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(a.Status)
		_, _ = w.Write(body) // A caller that has left ends its connection.
		return nil
	}
	if a.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	w.WriteHeader(a.Status)
	if _, err := w.Write(body); err != nil {
		a.Abort()
		return http.ErrAbortHandler
	}
	if _, err := io.Copy(w, a.Body); err != nil {
		a.Abort()
		return http.ErrAbortHandler
	}
	a.Release()
	return nil
}

// copyHeader replaces the header with the answer's own fields. A field without a value keeps the server from adding
// it.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = slices.Clone(values)
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
}
