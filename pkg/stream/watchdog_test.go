package stream

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestWatchdog guards against a busy target that counts as frozen, a frozen target that is detected late, and a wait
// without a limit for a lost step. The test runs on a fake clock.
func TestWatchdog(t *testing.T) {
	const ms = time.Millisecond
	const deadline, limit = 200 * ms, 2000 * ms
	tests := []struct {
		name    string
		answers time.Duration // answers is the time between responses to other streams, zero for none.
		until   time.Duration // until is when the target freezes, zero for never.
		probe   time.Duration // probe is the time until a response to a probe, zero for never.
		low     time.Duration
		high    time.Duration
	}{
		{name: "silent", low: deadline, high: deadline + confirmTicks*confirmTick},
		{name: "answers others", answers: 90 * ms, low: limit, high: limit},
		{name: "answers others late", answers: 190 * ms, low: limit, high: limit},
		{name: "answers probes", probe: 60 * ms, low: limit, high: limit},
		{name: "answers probes too late", probe: 170 * ms, low: deadline, high: deadline + confirmTicks*confirmTick},
		{name: "freezes later", answers: 50 * ms, until: 625 * ms, low: 650*ms + deadline, high: 650*ms + deadline + confirmTicks*confirmTick},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				times := &targetTimes{}
				began := time.Now()
				frozen := make(chan struct{})
				probe := func() {
					if test.probe > 0 && times.beginProbe() {
						time.AfterFunc(test.probe, func() { times.recordResponse(); times.endProbe() })
					}
				}
				w := newWatchdog(times, deadline, limit, probe, func() { close(frozen) })
				defer w.stop()
				var others sync.WaitGroup
				others.Go(func() {
					for test.answers > 0 && (test.until == 0 || time.Since(began) < test.until) && time.Since(began) < limit {
						time.Sleep(test.answers)
						times.recordResponse()
					}
				})
				<-frozen
				took := time.Since(began)
				others.Wait()
				qt.Assert(t, took >= test.low && took <= test.high, qt.IsTrue, qt.Commentf("%s", took))
			})
		})
	}
}
