package logqueue_test

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/logqueue"
)

// stuck is an output that does not take any line until it is released.
type stuck struct {
	release chan struct{}
	lines   atomic.Int32
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	s.lines.Add(1)
	return len(b), nil
}

// TestStuckOutput guards against a log whose output blocks the requests, and against lines that are lost uncounted.
func TestStuckOutput(t *testing.T) {
	output := &stuck{release: make(chan struct{})}
	var dropped atomic.Int64
	q := logqueue.New(output, logqueue.WithCapacity(4), logqueue.WithDropCounter(func(n int64) { dropped.Add(n) }))
	started := time.Now()
	for range 100 {
		_, err := q.Write([]byte("line\n"))
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, time.Since(started) < time.Second, qt.IsTrue)
	close(output.release)
	q.Flush(10 * time.Second)
	qt.Assert(t, output.lines.Load()+int32(dropped.Load()), qt.Equals, int32(100))
	qt.Assert(t, output.lines.Load() >= 4, qt.IsTrue)
}
