package proxy

import (
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/decision/targetstats"
)

// TestNoLockIsTakenWhileAnotherIsHeld guards against two threads that each hold the lock the other one waits for: the lock of a
// stream and that of the failure detector, which all streams need to start and to end.
func TestNoLockIsTakenWhileAnotherIsHeld(t *testing.T) {
	server := New(nil, nil, targetstats.New(), WithLogger(&log.Logger{Level: log.PanicLevel}))
	detector := server.detector
	route := &catalogue.Route{MaxAttempts: 2}
	newStream := func() *activeStream {
		return newActiveStream(&activeRequest{Request: &Request{}, server: server, route: route}, httptest.NewRecorder())
	}
	s := newStream()
	s.recordPossibleRun("m1", time.Now(), nil)
	for _, test := range []struct {
		name string
		// lock takes a lock and returns the function that releases it.
		lock func() (unlock func())
		// needsLock needs the lock, and free does not.
		needsLock, free func()
	}{
		{
			"a search for events waits for a stream", func() func() { s.mu.Lock(); return s.mu.Unlock },
			func() { detector.aliveSince("m1", time.Time{}) }, func() { newStream().end() },
		},
		{
			"a search for a path waits for the detector", func() func() { detector.mu.Lock(); return detector.mu.Unlock },
			func() { s.targetLimitReached() }, func() { s.lastEvent() },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			unlock := test.lock()
			waiting, finished := make(chan struct{}), make(chan struct{})
			go func() { close(waiting); test.needsLock(); close(finished) }()
			<-waiting
			time.Sleep(100 * time.Millisecond) // The function reaches the lock.
			done := make(chan struct{})
			go func() { test.free(); close(done) }()
			select {
			case <-done:
			case <-time.After(2 * time.Second):
				t.Error("a lock is held by the waiting function")
			}
			unlock()
			<-finished
			<-done
		})
	}
	s.end()
	qt.Assert(t, detector.activeStreams(), qt.HasLen, 0)
}
