//go:build review2

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// run is the beginning of a request's run at a worker.
type run struct {
	worker, id string
	at         time.Time
}

// record writes what was sent, answered and run to record.txt.
type record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
	runs  []run
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{start: time.Now(), file: f}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) ran(worker, id string) {
	r.add("worker %s: runs %s", worker, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run{worker: worker, id: id, at: time.Now()})
}

// runsOf returns the runs that the function picks.
func (r *record) runsOf(pick func(run) bool) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var picked []run
	for _, x := range r.runs {
		if pick(x) {
			picked = append(picked, x)
		}
	}
	return picked
}
