package admission_test

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/admission"
)

// TestController guards against capacity that is lost when a client cancels at the moment of its admission, and
// against more running requests than the capacity.
func TestController(t *testing.T) {
	controller := admission.NewController(admission.New(), func() time.Time { return epoch })
	controller.SetCapacity(epoch, 4)
	var running, most, entered atomic.Int64
	var group sync.WaitGroup
	for i := range 400 {
		group.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if i%3 == 0 {
				go func() {
					runtime.Gosched()
					cancel()
				}()
			}
			release, err := controller.Acquire(ctx, admission.Request{ID: fmt.Sprint(i), Workspace: fmt.Sprint(i % 7), Cost: 1})
			if err != nil {
				qt.Check(t, err, qt.Equals, context.Canceled)
				return
			}
			entered.Add(1)
			most.Store(max(most.Load(), running.Add(1)))
			runtime.Gosched()
			running.Add(-1)
			release()
			release()
		})
	}
	group.Wait()
	qt.Check(t, most.Load() <= 4, qt.IsTrue)
	qt.Check(t, entered.Load() >= 266, qt.IsTrue)
	qt.Check(t, controller.Queued(), qt.Equals, 0)
	for i := range 4 {
		_, err := controller.Acquire(context.Background(), admission.Request{ID: fmt.Sprint("free", i), Workspace: "w"})
		qt.Assert(t, err, qt.IsNil)
	}
}

// TestControllerRefusal guards against a waiting request whose refusal is not delivered by Tick.
func TestControllerRefusal(t *testing.T) {
	controller := admission.NewController(admission.New(), func() time.Time { return epoch })
	controller.SetCapacity(epoch, 1)
	_, err := controller.Acquire(context.Background(), admission.Request{ID: "first", Workspace: "w"})
	qt.Assert(t, err, qt.IsNil)
	failed := make(chan error)
	go func() {
		_, err := controller.Acquire(context.Background(), admission.Request{ID: "second", Workspace: "w", Deadline: epoch.Add(time.Second)})
		failed <- err
	}()
	for controller.Queued() == 0 {
		runtime.Gosched()
	}
	controller.Tick(epoch.Add(2 * time.Second))
	var refused *admission.RefusedError
	qt.Assert(t, errors.As(<-failed, &refused), qt.IsTrue)
	qt.Check(t, refused.Decision.Reason, qt.Equals, admission.ReasonExpired)
	qt.Check(t, refused.Decision.RetryAfter >= time.Second, qt.IsTrue)
}
