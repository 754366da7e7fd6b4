package main

import (
	"net/http"
	"time"
)

const (
	// crashRounds is how often model workers crash.
	crashRounds = 10
	// plainWorkers is the number of workers of the orders, plainWork how long they work on a request, and ordersPerSecond and
	// lookupsPerSecond are what the site's clients send them.
	plainWorkers     = 5
	plainWork        = 15 * time.Millisecond
	ordersPerSecond  = 5.41
	lookupsPerSecond = 3
	// plainTimeout is the timeout of the routes of orders and lookups, and plainDeadline X-Deadline-Ms of these requests.
	plainTimeout  = 800 * time.Millisecond
	plainDeadline = 1500 * time.Millisecond
	// lateBy is how long after the route's timeout a request may still be without an answer.
	lateBy = 500 * time.Millisecond
	// losingWorkers of the workers of the orders lose lostShare of their answers for lossTime, lossRounds times.
	losingWorkers = 3
	lostShare     = 0.3
	lossTime      = 6 * time.Second
	lossRounds    = 4
	lossPause     = time.Second
)

// runWorkerCrashes lets model workers crash while clients get streams, and then lets workers of the orders lose answers. It
// checks that requests have an answer half a second after their route's timeout.
func runWorkerCrashes(f *fleet, trouble bool) (broken bool, err error) {
	if err := f.configure(7, plainTimeout); err != nil {
		return false, err
	}
	var plain []*placedWorker
	for n := range plainWorkers {
		w, err := f.placeWorker(plainService, []string{"za", "zb", "zc"}[n%3], "-work", plainWork.String())
		if err != nil {
			return false, err
		}
		plain = append(plain, w)
	}
	engines, err := f.startStreaming()
	if err != nil {
		return false, err
	}
	l := &load{fleet: f}
	l.addStreams()
	l.add(ordersPerSecond, func() clientRequest { return newOrder(plainDeadline) })
	l.add(lookupsPerSecond, newLookup)
	time.Sleep(4 * time.Second)
	for range crashRounds {
		if !trouble {
			time.Sleep(downTime)
		} else if err := f.crash(engines); err != nil {
			return false, err
		}
		time.Sleep(downTime)
	}
	f.note("the last crash is over")
	back := time.Now()
	time.Sleep(contactTime + time.Second)
	if !trouble {
		time.Sleep(lossRounds * (lossTime + lossPause))
	} else if err := f.loseAnswers(plain[:losingWorkers]); err != nil {
		return false, err
	}
	l.end()
	return l.judgeTimeouts(back.Add(time.Second)), nil
}

// loseAnswers lets workers lose some answers, several times.
func (f *fleet) loseAnswers(workers []*placedWorker) error {
	for range lossRounds {
		for _, share := range []float64{lostShare, 0} {
			for _, w := range workers {
				if err := w.disrupt(share, 0); err != nil {
					return err
				}
			}
			f.note("%d workers lose %v of their answers", len(workers), share)
			if share > 0 {
				time.Sleep(lossTime)
			}
		}
		time.Sleep(lossPause)
	}
	return nil
}

func newLookup() clientRequest {
	return clientRequest{attempt: newAttempt(), method: http.MethodGet, path: lookupPrefix + "wool", deadline: plainDeadline}
}

// judgeTimeouts reports whether of the requests without an answer at their route's timeout more than half had none half a
// second later, and writes what each instance did with the streams that were sent after the given time.
func (l *load) judgeTimeouts(after time.Time) (broken bool) {
	unanswered, late := 0, 0
	for _, o := range l.outcomes {
		timeout := plainTimeout
		if o.streamed {
			timeout = streamTimeout
		}
		if o.took() < timeout {
			continue
		}
		unanswered++
		if o.took() >= timeout+lateBy {
			late++
			l.fleet.note("late: attempt %s via %s has no answer %v after the route's timeout", o.attempt, o.via, lateBy)
		}
	}
	l.fleet.note("of %d requests, %d had no answer at their route's timeout, and %d of these none %v later", len(l.outcomes), unanswered, late, lateBy)
	for _, i := range l.fleet.instances {
		sent, served, silent := 0, 0, 0
		for _, o := range l.outcomes {
			if o.via != i.name || !o.streamed || o.sentAt.Before(after) {
				continue
			}
			sent++
			if o.complete && o.status == 200 {
				served++
			}
			if o.status == 0 {
				silent++
			}
		}
		l.fleet.note("%s, ready %v: of %d streams asked for from %s on, %d served whole, %d without a byte in %v", i.name, i.isReady(), sent,
			after.Format("15:04:05"), served, silent, streamPatience)
	}
	return late >= minLate && 2*late > unanswered
}

// minLate is the smallest number of late requests that counts. The rule names none; the other rule on timeouts names eight.
const minLate = 8
