package logqueue_test

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/logqueue"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	lines   atomic.Int32
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.lines.Add(1)
	return len(b), nil
}

// TestBlockedOutput guards against a blocked log output that blocks the callers of Write, and against lines that are
// dropped without being counted.
func TestBlockedOutput(t *testing.T) {
	output := &blockedWriter{release: make(chan struct{})}
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
