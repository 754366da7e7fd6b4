package main

import "time"

const (
	// garbleRounds is how often workers garble answers, garbleTime for how long, and garblePause the time between.
	garbleRounds = 8
	garbleTime   = 5 * time.Second
	garblePause  = 3 * time.Second
	// untilCrash is when workers crash, from the start of each round.
	untilCrash = garbleTime - downTime
	// garblingWorkers of the model workers send unframedShare of their streams without a length.
	garblingWorkers = 6
	unframedShare   = 0.05
	calmTime        = 3 * time.Second
)

// runShortStreams lets model workers crash that send some streams without a length, and checks that no stream ends as a whole
// one before its last event.
func runShortStreams(f *fleet, trouble bool) (broken bool, err error) {
	f.cores = 1 // As on the site. On several, the fault of the first case hides this one.
	if err := f.configure(7, time.Second); err != nil {
		return false, err
	}
	workers, err := f.startStreaming()
	if err != nil {
		return false, err
	}
	l := &load{fleet: f}
	l.addStreams()
	time.Sleep(calmTime)
	for range garbleRounds {
		if err := f.garbleRound(workers[:garblingWorkers], trouble); err != nil {
			return false, err
		}
	}
	l.end()
	short := 0
	for _, o := range l.outcomes {
		if o.status == 200 && o.complete && o.events < streamEvents {
			short++
			f.note("short: attempt %s ended as a whole stream after %d of %d events", o.attempt, o.events, streamEvents)
		}
	}
	f.note("of %d streams, %d ended as whole ones before the last event", len(l.outcomes), short)
	return short > 0, nil
}

// garbleRound lets workers send some streams without a length for a while, and two of them crash meanwhile.
func (f *fleet) garbleRound(workers []*placedWorker, trouble bool) error {
	if !trouble {
		time.Sleep(garbleTime + garblePause)
		return nil
	}
	for _, w := range workers {
		if err := w.disrupt(0, unframedShare); err != nil {
			return err
		}
	}
	time.Sleep(untilCrash)
	if err := f.crash(workers); err != nil { // Takes downTime, the rest of garbleTime. The two start again sound.
		return err
	}
	for _, w := range workers {
		_ = w.disrupt(0, 0) // The two that have just started again may not listen yet.
	}
	time.Sleep(garblePause)
	return nil
}
