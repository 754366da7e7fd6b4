// Package logqueue writes log lines without blocking whoever logs.
//
// Lines wait in a bounded queue while the output is slow. A line for which there is no room is dropped and counted, so
// that a full pipe never stops a request.
//
// Usage:
//
//	q := logqueue.New(os.Stdout, logqueue.WithDropped(counter.Inc))
//	logger.Writer = &log.IOWriter{Writer: q}
package logqueue

import (
	"io"
	"slices"
)

// defaultLines is the number of lines that may wait.
const defaultLines = 1024

// Queue is an io.Writer that never blocks. It is safe for concurrent use.
type Queue struct {
	lines   chan []byte
	dropped func(n int64)
}

// Option changes a queue.
type Option func(*Queue)

// WithLines sets the number of lines that may wait.
func WithLines(n int) Option {
	return func(q *Queue) { q.lines = make(chan []byte, n) }
}

// WithDropped sets who counts the lines that were dropped.
func WithDropped(count func(n int64)) Option {
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
		}
	}()
	return q
}

// Write queues one line.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- slices.Clone(line):
	default:
		q.dropped(1)
	}
	return len(line), nil
}
