package service_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/drain"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/service"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	standin "github.com/cuminroute/cuminroute/pkg/standin/service"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// TestOnceOutcome guards against a second dispatch, and against a refusal whose outcome is not true.
func TestOnceOutcome(t *testing.T) {
	tests := []struct {
		name     string
		key      string
		before   func(*claims, *standin.Server)
		status   int
		code     string
		want     outcome.Outcome
		executed int
		// again is the outcome of a repeat with the same key after the service is back.
		again         outcome.Outcome
		executedAgain int
		settle        time.Duration // settle is the time in which a slow service ends what it runs.
	}{
		{name: "no key", status: 400, code: "idempotency_key_missing", want: outcome.NotRun, again: outcome.NotRun},
		{
			name: "done", key: "k", before: func(*claims, *standin.Server) {}, want: outcome.Done, executed: 1,
			again: outcome.Done, executedAgain: 1,
		},
		{
			name: "table down", key: "k", before: func(k *claims, _ *standin.Server) { k.down = true },
			status: 503, code: "claim_unavailable", want: outcome.NotRun, again: outcome.Done, executedAgain: 1,
		},
		{
			name: "target dead", key: "k", before: func(_ *claims, s *standin.Server) { s.Kill() },
			status: 503, code: "no_target", want: outcome.NotRun, again: outcome.Done, executedAgain: 1,
		},
		{
			name: "dies before it runs", key: "k", before: func(_ *claims, s *standin.Server) { s.SetFaults(standin.Faults{CrashBefore: true}) },
			status: 502, code: "outcome_unknown", want: outcome.Unknown, again: outcome.Unknown,
		},
		{
			name: "dies after it ran", key: "k", before: func(_ *claims, s *standin.Server) { s.SetFaults(standin.Faults{CrashAfter: true}) },
			status: 502, code: "outcome_unknown", want: outcome.Unknown, executed: 1, again: outcome.Unknown, executedAgain: 1,
		},
		{
			name: "answer lost", key: "k", before: func(_ *claims, s *standin.Server) { s.SetFaults(standin.Faults{LoseAnswers: 1}) },
			status: 502, code: "outcome_unknown", want: outcome.Unknown, executed: 1, again: outcome.Unknown, executedAgain: 1,
		},
		{
			name: "slow", key: "k", before: func(_ *claims, s *standin.Server) { s.SetFaults(standin.Faults{Delay: 600 * time.Millisecond}) },
			status: 504, code: "outcome_unknown", want: outcome.Unknown, again: outcome.Unknown, executedAgain: 1,
			settle: 500 * time.Millisecond,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			k, s := newClaims(), startService(c)
			client := newClient(k, []target.Target{at(s.Addr(), "s0")})
			if test.before != nil {
				test.before(k, s)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := client.Do(ctx, order(test.key, "5 kits"))
			checkEnd(c, err, test.status, test.code, test.want)
			c.Assert(s.Executed()["k"], qt.Equals, test.executed)

			k.down = false
			time.Sleep(test.settle)
			restart(c, s)
			_, err = client.Do(t.Context(), order(test.key, "5 kits"))
			c.Assert(outcomeOf(err), qt.Equals, test.again, qt.Commentf("%v", err))
			c.Assert(s.Executed()["k"], qt.Equals, test.executedAgain)
		})
	}
}

func outcomeOf(err error) outcome.Outcome {
	if err == nil {
		return outcome.Done
	}
	return refusal.OutcomeOf(err)
}

func checkEnd(c *qt.C, err error, status int, code string, want outcome.Outcome) {
	c.Helper()
	c.Assert(outcomeOf(err), qt.Equals, want, qt.Commentf("%v", err))
	if err != nil {
		c.Assert(refusal.FromError(err).Status, qt.Equals, status)
		c.Assert(refusal.FromError(err).Code, qt.Equals, code)
	}
}

// TestReplay guards against a repeat that gets another answer than the first, and a key that is used
// for two requests.
func TestReplay(t *testing.T) {
	c := qt.New(t)
	k, s := newClaims(), startService(c)
	client := newClient(k, []target.Target{at(s.Addr(), "s0")})
	first, err := client.Do(t.Context(), order("k", "5 kits"))
	c.Assert(err, qt.IsNil)
	var answer standin.Response
	c.Assert(json.Unmarshal(first.Body, &answer), qt.IsNil)
	c.Assert(answer.Path, qt.Equals, "/kits")
	c.Assert(answer.Content, qt.Equals, "5 kits")
	second, err := client.Do(t.Context(), order("k", "5 kits"))
	c.Assert(err, qt.IsNil)
	c.Assert(second.Replayed, qt.IsTrue)
	second.Replayed = false
	c.Assert(second, qt.DeepEquals, first)
	_, err = client.Do(t.Context(), order("k", "6 kits"))
	checkEnd(c, err, 422, "idempotency_key_reused", outcome.NotRun)
}

// TestConcurrentRepeats guards against two dispatches of one key by callers that do not wait for each
// other, also where some disconnect or a target is dead.
func TestConcurrentRepeats(t *testing.T) {
	c := qt.New(t)
	k, dead, live := newClaims(), startService(c), startService(c)
	dead.Kill()
	live.SetFaults(standin.Faults{Delay: 5 * time.Millisecond})
	client := newClient(k, []target.Target{at(dead.Addr(), "s0"), at(live.Addr(), "s1")})
	var callers sync.WaitGroup
	for i := range 400 {
		callers.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			if i%3 == 0 {
				time.AfterFunc(time.Duration(i%7)*time.Millisecond, cancel)
			}
			_, err := client.Do(ctx, order(fmt.Sprint("k", i%40), "5 kits"))
			if err != nil && outcomeOf(err) != outcome.Unknown && ctx.Err() == nil {
				c.Errorf("%v", err)
			}
		})
	}
	callers.Wait()
	for key, n := range live.Executed() {
		c.Check(n, qt.Equals, 1, qt.Commentf("%s", key))
	}
}

// TestStoreLater guards against a planned stop that ends before a first answer is stored.
func TestStoreLater(t *testing.T) {
	c := qt.New(t)
	k, s := newClaims(), startService(c)
	k.failStore = 1
	counter := &drain.Counter{}
	client := newClient(k, []target.Target{at(s.Addr(), "s0")}, service.WithDrainCounter(counter))
	_, err := client.Do(t.Context(), order("k", "5 kits"))
	c.Assert(err, qt.IsNil)
	counter.Drain()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	c.Assert(counter.Wait(ctx), qt.IsNil)
	again, err := client.Do(t.Context(), order("k", "5 kits"))
	c.Assert(err, qt.IsNil)
	c.Assert(again.Replayed, qt.IsTrue)
}

// TestIdempotent guards against lookups that fail or stall with one target, and against retries without budget.
func TestIdempotent(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	nobody := netip.MustParseAddrPort(closed.Addr().String())
	_ = closed.Close()
	var failing atomic.Int32
	unavailable := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		failing.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer unavailable.Close()
	full := netip.MustParseAddrPort(unavailable.Listener.Addr().String())
	frozen := startService(qt.New(t))
	frozen.SetFaults(standin.Faults{Freeze: true})
	tests := []struct {
		name   string
		others []netip.AddrPort
		live   bool
		budget service.RetryBudget
		status int
		code   string
		want   outcome.Outcome
	}{
		{name: "one dead", others: []netip.AddrPort{nobody}, live: true, want: outcome.Done},
		{name: "two dead", others: []netip.AddrPort{nobody, nobody}, live: true, want: outcome.Done},
		{name: "one full", others: []netip.AddrPort{full}, live: true, want: outcome.Done},
		{name: "one frozen", others: []netip.AddrPort{frozen.Addr()}, live: true, want: outcome.Done},
		{name: "all dead", others: []netip.AddrPort{nobody, nobody}, status: 503, code: "no_target", want: outcome.NotRun},
		{name: "none", status: 503, code: "no_target", want: outcome.NotRun},
		{
			name: "frozen without budget", others: []netip.AddrPort{frozen.Addr(), frozen.Addr()}, budget: noBudget{},
			status: 502, code: "service_failed", want: outcome.Unknown,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var targets []target.Target
			for i, address := range test.others {
				targets = append(targets, at(address, fmt.Sprint("o", i)))
			}
			if test.live {
				targets = append(targets, at(startService(c).Addr(), "live"))
			}
			var options []service.Option
			if test.budget != nil {
				options = append(options, service.WithRetryBudget(test.budget))
			}
			client := newClient(newClaims(), targets, options...)
			requests := 1
			if test.want == outcome.Done {
				requests = 20
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			for range requests {
				answer, err := client.Do(ctx, lookup())
				checkEnd(c, err, test.status, test.code, test.want)
				if err == nil {
					c.Assert(answer.Status, qt.Equals, 200)
				}
			}
		})
	}
}

type noBudget struct{}

func (noBudget) RecordRequest(string, time.Time) {}
func (noBudget) Allow(string, time.Time) bool    { return false }
