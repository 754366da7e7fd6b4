// Package logqueue writes log lines asynchronously, so that a slow log output never blocks a request.
//
// A bounded queue buffers lines while the output is slow or blocked, such as a full pipe. When the queue is full,
// further lines are dropped and counted.
//
// Usage:
//
//	q := logqueue.New(os.Stdout, logqueue.WithDropCounter(counter.Inc))
//	logger.Writer = &log.IOWriter{Writer: q}
package logqueue

import (
	"io"
	"slices"
	"sync/atomic"
	"time"
)

// defaultCapacity is the default capacity of the queue in lines.
const defaultCapacity = 1024

// Queue is an io.Writer that queues lines and never blocks. It is safe for concurrent use.
type Queue struct {
	lines   chan []byte
	onDrop  func(n int64) // onDrop is called with the number of lines that were just dropped or could not be written.
	pending atomic.Int64  // pending counts the lines that are neither written nor dropped yet.
}

// Option configures a Queue.
type Option func(*Queue)

// WithCapacity sets the capacity of the queue in lines.
func WithCapacity(n int) Option {
	return func(q *Queue) { q.lines = make(chan []byte, n) }
}

// WithDropCounter sets the function that is called with the number of lines that were just dropped or could not be
// written.
func WithDropCounter(add func(n int64)) Option {
	return func(q *Queue) { q.onDrop = add }
}

// New returns a queue and starts a goroutine that writes the queue's lines to the output until the process ends.
func New(output io.Writer, options ...Option) *Queue {
	q := &Queue{lines: make(chan []byte, defaultCapacity), onDrop: func(int64) {}}
	for _, o := range options {
		o(q)
	}
	go func() {
		for line := range q.lines {
			if _, err := output.Write(line); err != nil {
				q.onDrop(1)
			}
			q.pending.Add(-1)
		}
	}()
	return q
}

// flushInterval is the polling interval of Flush.
const flushInterval = time.Millisecond

// Flush waits until all lines are written or the timeout expires. It is meant for the end of the process.
func (q *Queue) Flush(timeout time.Duration) {
	for end := time.Now().Add(timeout); q.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(flushInterval)
	}
}

// Write queues one line, or drops the line if the queue is full. It never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	q.pending.Add(1)
	select {
	case q.lines <- slices.Clone(line):
	default:
		q.pending.Add(-1)
		q.onDrop(1)
	}
	return len(line), nil
}
