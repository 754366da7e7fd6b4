package configlog_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/configlog"
	"github.com/cuminroute/cuminroute/pkg/peer/objectstore"
	"github.com/cuminroute/cuminroute/pkg/peer/table"
	"github.com/cuminroute/cuminroute/pkg/standin/platform"
)

// TestConcurrentOperators guards against data races in a Log, and against lost updates when operators use the real
// clients under lost responses, refused transactions and continuous compaction.
func TestConcurrentOperators(t *testing.T) {
	s, err := platform.New()
	qt.Assert(t, err, qt.IsNil)
	defer s.Close()
	s.SetFaults(platform.Faults{Table: platform.Fault{LosePerMille: 100, RefusePerMille: 50}})
	log := configlog.New(table.New(s.URL()), configlog.WithObjectStore(objectstore.New(s.URL())))
	const operators, changesEach = 4, 10
	stop := make(chan struct{})
	var compaction, all sync.WaitGroup
	compaction.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				_ = log.Compact(ctx, 20)
			}
		}
	})
	for n := range operators {
		all.Go(func() {
			for m := range changesEach {
				applyUntilAcknowledged(t, log, fmt.Sprint(n), m)
			}
		})
	}
	all.Wait()
	close(stop)
	compaction.Wait()
	s.SetFaults(platform.Faults{})
	got, err := log.Snapshot(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.Version, qt.Equals, uint64(operators*changesEach))
	qt.Assert(t, got.Workspaces, qt.HasLen, operators)
	for _, w := range got.Workspaces {
		qt.Assert(t, w.Weight, qt.Equals, changesEach-1)
	}
}

// applyUntilAcknowledged applies a change based on each new head until one is acknowledged, as an operator does.
func applyUntilAcknowledged(t *testing.T, log *configlog.Log, name string, weight int) {
	c := configlog.Change{By: name, Documents: []configlog.Document{workspace(name, weight)}}
	deadline := time.Now().Add(30 * time.Second)
	for time.Now().Before(deadline) {
		head, err := log.Head(ctx)
		if err != nil {
			continue
		}
		c.Expected, c.ID = head.Version, fmt.Sprintf("%s/%d/%d", name, weight, head.Version)
		var conflict *configlog.Conflict
		for err = configlog.ErrUnknown; err != nil && !errors.As(err, &conflict) && time.Now().Before(deadline); {
			_, err = log.Apply(context.Background(), c)
		}
		if err == nil {
			return
		}
	}
	t.Errorf("the change of %s to %d was not acknowledged", name, weight)
}
