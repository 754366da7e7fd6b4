package service_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"github.com/cuminroute/cuminroute/pkg/drain"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/service"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	standin "github.com/cuminroute/cuminroute/pkg/standin/service"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// TestAtMostOnceOutcome guards against a second dispatch, and against a refusal with a wrong outcome.
func TestAtMostOnceOutcome(t *testing.T) {
	tests := []struct {
		name     string
		key      string
		before   func(*fakeClaimer, *standin.Server)
		status   int
		code     string
		want     outcome.Outcome
		executed int
		// again and executedAgain are the outcome and the number of executions after a second request with the same
		// key, which is sent after a restart of the service.
		again         outcome.Outcome
		executedAgain int
		settle        time.Duration // settle is the time until a slow service has finished the first request.
	}{
		{name: "no key", status: 400, code: "idempotency_key_missing", want: outcome.NotRun, again: outcome.NotRun},
		{
			name: "done", key: "k", before: func(*fakeClaimer, *standin.Server) {}, want: outcome.Done, executed: 1,
			again: outcome.Done, executedAgain: 1,
		},
		{
			name: "table down", key: "k", before: func(k *fakeClaimer, _ *standin.Server) { k.down = true },
			status: 503, code: "claim_unavailable", want: outcome.NotRun, again: outcome.Done, executedAgain: 1,
		},
		{
			name: "target dead", key: "k", before: func(_ *fakeClaimer, s *standin.Server) { s.Kill() },
			status: 503, code: "no_target", want: outcome.NotRun, again: outcome.Done, executedAgain: 1,
		},
		{
			name: "crash before execution", key: "k", before: func(_ *fakeClaimer, s *standin.Server) { s.SetFaults(standin.Faults{CrashBefore: true}) },
			status: 502, code: "outcome_unknown", want: outcome.Unknown, again: outcome.Unknown,
		},
		{
			name: "crash after execution", key: "k", before: func(_ *fakeClaimer, s *standin.Server) { s.SetFaults(standin.Faults{CrashAfter: true}) },
			status: 502, code: "outcome_unknown", want: outcome.Unknown, executed: 1, again: outcome.Unknown, executedAgain: 1,
		},
		{
			name: "response lost", key: "k", before: func(_ *fakeClaimer, s *standin.Server) { s.SetFaults(standin.Faults{LoseAnswers: 1}) },
			status: 502, code: "outcome_unknown", want: outcome.Unknown, executed: 1, again: outcome.Unknown, executedAgain: 1,
		},
		{
			name: "slow", key: "k", before: func(_ *fakeClaimer, s *standin.Server) { s.SetFaults(standin.Faults{Delay: 600 * time.Millisecond}) },
			status: 504, code: "outcome_unknown", want: outcome.Unknown, again: outcome.Unknown, executedAgain: 1,
			settle: 500 * time.Millisecond,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			k, s := newFakeClaimer(), startService(c)
			client := newClient(k, []target.Target{newTarget(s.Addr(), "s0")})
			if test.before != nil {
				test.before(k, s)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := client.Do(ctx, orderRequest(test.key, "5 kits"))
			checkResult(c, err, test.status, test.code, test.want)
			c.Assert(s.Executed()["k"], qt.Equals, test.executed)

			k.down = false
			time.Sleep(test.settle)
			restart(c, s)
			_, err = client.Do(t.Context(), orderRequest(test.key, "5 kits"))
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

func checkResult(c *qt.C, err error, status int, code string, want outcome.Outcome) {
	c.Helper()
	c.Assert(outcomeOf(err), qt.Equals, want, qt.Commentf("%v", err))
	if err != nil {
		c.Assert(refusal.FromError(err).Status, qt.Equals, status)
		c.Assert(refusal.FromError(err).Code, qt.Equals, code)
	}
}

// TestReplay guards against a repeated request that gets a different response than the first one, and against
// accepting a key for two different requests.
func TestReplay(t *testing.T) {
	c := qt.New(t)
	k, s := newFakeClaimer(), startService(c)
	client := newClient(k, []target.Target{newTarget(s.Addr(), "s0")})
	first, err := client.Do(t.Context(), orderRequest("k", "5 kits"))
	c.Assert(err, qt.IsNil)
	var answer standin.Response
	c.Assert(json.Unmarshal(first.Body, &answer), qt.IsNil)
	c.Assert(answer.Path, qt.Equals, "/kits")
	c.Assert(answer.Content, qt.Equals, "5 kits")
	second, err := client.Do(t.Context(), orderRequest("k", "5 kits"))
	c.Assert(err, qt.IsNil)
	c.Assert(second.Replayed, qt.IsTrue)
	second.Replayed = false
	c.Assert(second, qt.DeepEquals, first)
	_, err = client.Do(t.Context(), orderRequest("k", "6 kits"))
	checkResult(c, err, 422, "idempotency_key_reused", outcome.NotRun)
}

// TestConcurrentRepeats guards against two dispatches for one key by concurrent clients, also if some disconnect or
// a target is dead.
func TestConcurrentRepeats(t *testing.T) {
	c := qt.New(t)
	k, dead, live := newFakeClaimer(), startService(c), startService(c)
	dead.Kill()
	live.SetFaults(standin.Faults{Delay: 5 * time.Millisecond})
	client := newClient(k, []target.Target{newTarget(dead.Addr(), "s0"), newTarget(live.Addr(), "s1")})
	var clients sync.WaitGroup
	for i := range 400 {
		clients.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			if i%3 == 0 {
				time.AfterFunc(time.Duration(i%7)*time.Millisecond, cancel)
			}
			_, err := client.Do(ctx, orderRequest(fmt.Sprint("k", i%40), "5 kits"))
			if err != nil && outcomeOf(err) != outcome.Unknown && ctx.Err() == nil {
				c.Errorf("%v", err)
			}
		})
	}
	clients.Wait()
	for key, n := range live.Executed() {
		c.Check(n, qt.Equals, 1, qt.Commentf("%s", key))
	}
}

// TestStoreRetry guards against a graceful shutdown that ends before a first response is stored.
func TestStoreRetry(t *testing.T) {
	c := qt.New(t)
	k, s := newFakeClaimer(), startService(c)
	k.failStore = 1
	counter := &drain.Counter{}
	client := newClient(k, []target.Target{newTarget(s.Addr(), "s0")}, service.WithDrainCounter(counter))
	_, err := client.Do(t.Context(), orderRequest("k", "5 kits"))
	c.Assert(err, qt.IsNil)
	counter.Drain()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	c.Assert(counter.Wait(ctx), qt.IsNil)
	again, err := client.Do(t.Context(), orderRequest("k", "5 kits"))
	c.Assert(err, qt.IsNil)
	c.Assert(again.Replayed, qt.IsTrue)
}

// TestIdempotent guards against lookups that fail or stall because of one target, and against retries without a
// budget.
func TestIdempotent(t *testing.T) {
	unused := reserveAddress(t)
	var failing atomic.Int32
	unavailable := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		failing.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer unavailable.Close()
	overloaded := netip.MustParseAddrPort(unavailable.Listener.Addr().String())
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
		{name: "one dead", others: []netip.AddrPort{unused}, live: true, want: outcome.Done},
		{name: "two dead", others: []netip.AddrPort{unused, unused}, live: true, want: outcome.Done},
		{name: "one overloaded", others: []netip.AddrPort{overloaded}, live: true, want: outcome.Done},
		{name: "one frozen", others: []netip.AddrPort{frozen.Addr()}, live: true, want: outcome.Done},
		{name: "all dead", others: []netip.AddrPort{unused, unused}, status: 503, code: "no_target", want: outcome.NotRun},
		{name: "none", status: 503, code: "no_target", want: outcome.NotRun},
		{
			name: "frozen without budget", others: []netip.AddrPort{frozen.Addr(), frozen.Addr()}, budget: noRetries{},
			status: 502, code: "service_failed", want: outcome.Unknown,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var targets []target.Target
			for i, address := range test.others {
				targets = append(targets, newTarget(address, fmt.Sprint("o", i)))
			}
			if test.live {
				targets = append(targets, newTarget(startService(c).Addr(), "live"))
			}
			var options []service.Option
			if test.budget != nil {
				options = append(options, service.WithRetryBudget(test.budget))
			}
			client := newClient(newFakeClaimer(), targets, options...)
			requests := 1
			if test.want == outcome.Done {
				requests = 20
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			for range requests {
				response, err := client.Do(ctx, lookupRequest())
				checkResult(c, err, test.status, test.code, test.want)
				if err == nil {
					c.Assert(response.Status, qt.Equals, 200)
				}
			}
		})
	}
}

type noRetries struct{}

func (noRetries) RecordRequest(string, time.Time) {}
func (noRetries) Allow(string, time.Time) bool    { return false }

// reserveAddress returns an address that refuses connections until the test ends. The port of a closed listener could be given to that
// of another test, which would accept them.
func reserveAddress(t *testing.T) netip.AddrPort {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = unix.Close(fd) })
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	qt.Assert(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: loopback.As4()}), qt.IsNil)
	name, err := unix.Getsockname(fd)
	qt.Assert(t, err, qt.IsNil)
	return netip.AddrPortFrom(loopback, uint16(name.(*unix.SockaddrInet4).Port))
}
