package crashhistory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/crashhistory"
)

// fullHistory returns a history with as many crashes as it keeps, of 16 runs with 4 contents each.
func fullHistory() (*crashhistory.History, time.Time) {
	h := crashhistory.New()
	now := epoch
	for crash := range uint64(128) {
		now = now.Add(time.Second)
		report := crashhistory.Report{Target: fmt.Sprint("t", crash)}
		for run := range uint64(16) {
			id := crash<<16 + run<<8
			report.Runs = append(report.Runs, crashhistory.Run{Attempt: id, Contents: []uint64{id + 1, id + 2, id + 3, id + 4}})
		}
		h.Add(report, now)
	}
	return h, now
}

// BenchmarkProgress measures the first event of a request.
func BenchmarkProgress(b *testing.B) {
	h, now := fullHistory()
	for b.Loop() {
		h.Progressed([]uint64{1 << 40, 1<<40 + 1, 1<<40 + 2, 1<<40 + 3}, now)
	}
}

// BenchmarkCauses measures the search for causes after a further crash.
func BenchmarkCauses(b *testing.B) {
	h, now := fullHistory()
	for b.Loop() {
		now = now.Add(time.Second)
		h.Add(crashhistory.Report{Target: "t"}, now)
		h.Causes(now)
	}
}
