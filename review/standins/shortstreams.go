package main

import "time"

const (
	// shortRounds is how often workers crash in this case.
	shortRounds = 3
	// calmTime is how long streams are served before and after the crashes.
	calmTime = 4 * time.Second
)

// runShortStreams lets model workers crash that send streams without a length, and checks that no stream ends as a whole one
// before its last event.
func runShortStreams(f *fleet, trouble bool) (broken bool, err error) {
	workers, err := f.startStreaming("-unframed")
	if err != nil {
		return false, err
	}
	load := newStreamLoad(f)
	time.Sleep(calmTime)
	for range shortRounds {
		if trouble {
			if err := f.crash(workers); err != nil {
				return false, err
			}
		}
		time.Sleep(downTime)
	}
	time.Sleep(calmTime)
	load.end()
	short := 0
	for _, o := range load.outcomes {
		if o.status == 200 && o.complete && o.events < streamEvents {
			short++
			f.note("short: attempt %s ended as a whole stream after %d of %d events", o.attempt, o.events, streamEvents)
		}
	}
	f.note("of %d streams, %d ended as whole ones before the last event", len(load.outcomes), short)
	return short > 0, nil
}
