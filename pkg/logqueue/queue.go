// Package logqueue writes log lines without blocking whoever logs.
//
// Lines wait in a bounded queue while the output is slow. A line for which there is no room is dropped and counted, so
// that a full pipe never stops a request.
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

// defaultLines is the number of lines that may wait.
const defaultLines = 1024

// Queue is an io.Writer that never blocks. It is safe for concurrent use.
type Queue struct {
	lines   chan []byte
	dropped func(n int64)
	waiting atomic.Int64 // waiting counts the lines that are not written yet.
}

// Option changes a queue.
type Option func(*Queue)

// WithCapacity sets the number of lines that may wait.
func WithCapacity(n int) Option {
	return func(q *Queue) { q.lines = make(chan []byte, n) }
}

// WithDropCounter sets who counts the lines that were dropped.
func WithDropCounter(count func(n int64)) Option {
	return func(q *Queue) { q.dropped = count }
}

// New returns a queue in front of the output. It writes until the process ends.
func New(output io.Writer, options ...Option) *Queue {
	q := &Queue{lines: make(chan []byte, defaultLines), dropped: func(int64) {}}
	for _, o := range options {
		o(q)
	}
	go func() {
		for line := range q.lines {
			if _, err := output.Write(line); err != nil {
				q.dropped(1)
			}
			q.waiting.Add(-1)
		}
	}()
	return q
}

// flushInterval is how often Flush looks at the queue.
const flushInterval = time.Millisecond

// Flush waits until all lines are written, but not longer than the limit. It is for the end of the process.
func (q *Queue) Flush(limit time.Duration) {
	for end := time.Now().Add(limit); q.waiting.Load() > 0 && time.Now().Before(end); {
		time.Sleep(flushInterval)
	}
}

// Write queues one line.
func (q *Queue) Write(line []byte) (int, error) {
	q.waiting.Add(1)
	select {
	case q.lines <- slices.Clone(line):
	default:
		q.waiting.Add(-1)
		q.dropped(1)
	}
	return len(line), nil
}
