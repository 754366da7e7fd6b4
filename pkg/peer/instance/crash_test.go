package instance_test

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/crashhistory"
	"github.com/cuminroute/cuminroute/pkg/peer/instance"
)

// crashRecorder is a CrashHandler that keeps what it is given.
type crashRecorder struct {
	mu       sync.Mutex
	runs     []crashhistory.Run
	progress []uint64
}

func (r *crashRecorder) AddReport(report crashhistory.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if report.Target == "t1" {
		r.runs = append(r.runs, report.Runs...)
	}
}

func (r *crashRecorder) AddProgress(contents []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress = append(r.progress, contents...)
}

func (r *crashRecorder) counts() (runs, progress int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs), len(r.progress)
}

// TestCrashMessages guards against a report of a crash that is too large for a packet and therefore reaches nobody.
func TestCrashMessages(t *testing.T) {
	const parts, runs, progressed = 32, 30, 200
	recorder := &crashRecorder{}
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	receiver, err := instance.New(context.Background(), instance.Config{Fleet: "f", Name: "a", DataCentre: "dc", Address: loopback},
		instance.WithoutConfigSync(), instance.WithCrashHandler(recorder))
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = receiver.Close() }()
	sender, err := instance.New(context.Background(), instance.Config{
		Fleet: "f", Name: "b", DataCentre: "dc", Address: loopback, Seeds: []netip.AddrPort{receiver.Address()},
	}, instance.WithoutConfigSync())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = sender.Close() }()
	eventually(t, 10*time.Second, "members", func() bool { return len(sender.Members()) == 2 })
	report := crashhistory.Report{Target: "t1"}
	for i := range uint64(runs) {
		r := crashhistory.Run{Request: 1<<61 + i, Attempt: 1<<63 + i}
		for part := range uint64(parts + 1) {
			r.Contents = append(r.Contents, 1<<62+i<<8+part)
		}
		report.Runs = append(report.Runs, r)
	}
	qt.Assert(t, sender.SendCrash(report), qt.IsNil)
	qt.Assert(t, sender.SendProgress(make([]uint64, progressed)), qt.IsNil)
	eventually(t, 10*time.Second, "all messages", func() bool {
		gotRuns, gotProgress := recorder.counts()
		return gotRuns == runs && gotProgress == progressed
	})
	slices.SortFunc(recorder.runs, func(a, b crashhistory.Run) int { return int(a.Attempt - b.Attempt) })
	qt.Assert(t, recorder.runs, qt.DeepEquals, report.Runs)
}
