package claim_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/claim"
	"github.com/cuminroute/cuminroute/pkg/peer/table"
	"github.com/cuminroute/cuminroute/pkg/standin/platform"
)

type fixture struct {
	server *platform.Server
	table  *table.Client
}

func start(t *testing.T) fixture {
	s, err := platform.New()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(s.Close)
	return fixture{server: s, table: table.New(s.URL(), table.WithTimeout(300*time.Millisecond))}
}

func (f fixture) newClaimer(t *testing.T, opts ...claim.Option) *claim.Claimer {
	c := claim.New(f.table, "entry-1", append([]claim.Option{claim.WithSweep(0, 2)}, opts...)...)
	t.Cleanup(c.Close)
	return c
}

func key(name string) claim.Key {
	return claim.Key{Workspace: "w", Key: name, Content: [32]byte{1}}
}

// TestDuplicateRequests guards against a duplicate that runs, gets no response, or gets the response to a request with
// different content.
func TestDuplicateRequests(t *testing.T) {
	ctx := context.Background()
	c := start(t).newClaimer(t, claim.WithBodyLimit(4))
	first, err := c.Claim(ctx, key("k"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, first.State, qt.Equals, claim.Won)
	expect := func(k claim.Key, want claim.State) claim.Claim {
		t.Helper()
		got, err := c.Claim(ctx, k)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got.State, qt.Equals, want)
		return got
	}
	held := expect(key("k"), claim.Held)
	qt.Assert(t, held.Holder, qt.Equals, "entry-1")
	qt.Assert(t, held.At.IsZero(), qt.IsFalse)
	other := key("k")
	other.Content[0]++
	expect(other, claim.Mismatch)
	again, err := c.ClaimAs(ctx, key("k"), first.ID, "entry-1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again.State, qt.Equals, claim.Won)

	qt.Assert(t, c.Finish(ctx, first, claim.Response{Status: 201, Body: []byte("long body")}), qt.IsNil)
	qt.Assert(t, c.Finish(ctx, first, claim.Response{Status: 500}), qt.IsNil)
	got := expect(key("k"), claim.Finished)
	qt.Assert(t, got.Response, qt.DeepEquals, claim.Response{Status: 201, Omitted: true})
	qt.Assert(t, c.Abandon(ctx, first), qt.ErrorIs, claim.ErrNotHeld)

	second := expect(key("abandoned"), claim.Won)
	qt.Assert(t, c.Abandon(ctx, second), qt.IsNil)
	qt.Assert(t, c.Finish(ctx, second, claim.Response{}), qt.ErrorIs, claim.ErrNotHeld)
	expect(key("abandoned"), claim.Won)
}

// TestTableFaults guards against a claim that is reported as failed although it took effect, a failed or canceled claim
// that stays in the table, and a claim that fails slowly while the table refuses connections.
func TestTableFaults(t *testing.T) {
	ctx := context.Background()
	f := start(t)
	c := f.newClaimer(t)
	f.server.SetFaults(platform.Faults{Table: platform.Fault{LoseAnswers: 2}})
	got, err := c.Claim(ctx, key("lost response"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.State, qt.Equals, claim.Won)

	f.server.SetFaults(platform.Faults{Table: platform.Fault{Outage: platform.Refused}})
	started := time.Now()
	_, err = c.Claim(ctx, key("outage"))
	qt.Assert(t, err, qt.ErrorIs, claim.ErrUnavailable)
	qt.Assert(t, time.Since(started) < 200*time.Millisecond, qt.IsTrue)
	stored := make(chan error)
	go func() { stored <- c.Finish(ctx, got, claim.Response{Status: 200}) }()
	time.Sleep(50 * time.Millisecond)
	f.server.SetFaults(platform.Faults{})
	qt.Assert(t, <-stored, qt.IsNil)
	got, err = c.Claim(ctx, key("outage"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.State, qt.Equals, claim.Won)

	f.server.SetFaults(platform.Faults{Table: platform.Fault{Latency: 100 * time.Millisecond}})
	expiring, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err = c.Claim(expiring, key("canceled"))
	qt.Assert(t, err, qt.ErrorIs, claim.ErrUnavailable)
	f.server.SetFaults(platform.Faults{})
	for range 100 {
		if got, err = c.Claim(ctx, key("canceled")); got.State == claim.Won {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("the canceled claim was not abandoned: %v %v", got, err)
}

// TestConflictsInBatch guards against a conflicting row that fails the other operations of its batch, and against a
// separate transaction for each operation after a conflict.
func TestConflictsInBatch(t *testing.T) {
	f := start(t)
	first, second := f.newClaimer(t), f.newClaimer(t, claim.WithBatchInterval(50*time.Millisecond))
	var all sync.WaitGroup
	claimAll := func(c *claim.Claimer, from, to int, want func(n int) claim.State) {
		for n := from; n < to; n++ {
			all.Go(func() {
				got, err := c.Claim(context.Background(), key(fmt.Sprint(n)))
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, got.State, qt.Equals, want(n))
			})
		}
		all.Wait()
	}
	claimAll(first, 0, 10, func(int) claim.State { return claim.Won })
	before := f.server.Counts().TableWrites
	claimAll(second, 5, 100, func(n int) claim.State {
		if n < 10 {
			return claim.Held
		}
		return claim.Won
	})
	writes := f.server.Counts().TableWrites - before
	qt.Assert(t, writes < 20, qt.IsTrue, qt.Commentf("%d writes for 95 claims", writes))
}

// TestExpiry guards against keys that expire too early or never.
func TestExpiry(t *testing.T) {
	ctx := context.Background()
	f := start(t)
	var mu sync.Mutex
	now := time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)
	clock := func() time.Time { mu.Lock(); defer mu.Unlock(); return now }
	advance := func(d time.Duration) { mu.Lock(); defer mu.Unlock(); now = now.Add(d) }
	c := f.newClaimer(t, claim.WithClock(clock))
	for _, name := range []string{"a", "b", "c"} {
		_, err := c.Claim(ctx, key(name))
		qt.Assert(t, err, qt.IsNil)
	}
	expect := func(want claim.State) {
		t.Helper()
		got, err := c.Claim(ctx, key("a"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got.State, qt.Equals, want)
	}
	advance(claim.DefaultRetention)
	expect(claim.Held)
	advance(time.Hour)
	expect(claim.Won)
	deleted := 0
	for range 5 {
		n, err := c.Sweep(ctx)
		qt.Assert(t, err, qt.IsNil)
		deleted += n
	}
	qt.Assert(t, deleted, qt.Equals, 2)
	expect(claim.Held)
}

// TestRateLimit guards against claims that fail because the table limits its rate, although larger batches would stay
// within the limit.
func TestRateLimit(t *testing.T) {
	t.Parallel()
	f := start(t)
	c := f.newClaimer(t)
	f.server.SetFaults(platform.Faults{Table: platform.Fault{PerSecond: 10}})
	var all sync.WaitGroup
	for n := range 200 {
		time.Sleep(5 * time.Millisecond)
		all.Go(func() {
			got, err := c.Claim(context.Background(), key(fmt.Sprint(n)))
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, got.State, qt.Equals, claim.Won)
		})
	}
	all.Wait()
}

// TestUnresponsiveTable guards against claims that wait for a table that is known not to answer, and against claims
// that still fail immediately after it answers again.
func TestUnresponsiveTable(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	f := start(t)
	c := f.newClaimer(t)
	f.server.SetFaults(platform.Faults{Table: platform.Fault{Outage: platform.Silent}})
	_, err := c.Claim(ctx, key("first"))
	qt.Assert(t, err, qt.ErrorIs, claim.ErrUnavailable)
	started := time.Now()
	_, err = c.Claim(ctx, key("second"))
	qt.Assert(t, err, qt.ErrorIs, claim.ErrUnavailable)
	qt.Assert(t, time.Since(started) < 200*time.Millisecond, qt.IsTrue)
	f.server.SetFaults(platform.Faults{})
	for deadline := time.Now().Add(3 * time.Second); err != nil && time.Now().Before(deadline); {
		_, err = c.Claim(ctx, key("third"))
		time.Sleep(10 * time.Millisecond)
	}
	qt.Assert(t, err, qt.IsNil)
}
