package proxy

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminroute/cuminroute/pkg/target"
)

const (
	// probeTimeout bounds the question to a suspect. Machines accept connections within a millisecond or two.
	probeTimeout = 40 * time.Millisecond
	// slowFactor is how many times the bound of a question may pass, by this process's own clock, until it notices.
	slowFactor = 1.4
	// probeTries is how often a suspect is asked that neither accepts nor refuses: this process itself may have stood
	// still.
	probeTries = 2
	// sureProbeTimeout bounds the only question to a suspect where sureStreams streams or more have fallen silent with it
	// and others have not: then neither this process nor its links stand still.
	sureProbeTimeout = 15 * time.Millisecond
	sureStreams      = 3
	// followTimeout bounds the later questions to a target that was found dead.
	followTimeout = 250 * time.Millisecond
	// probeLife is how long the answer to a question counts.
	probeLife = 100 * time.Millisecond
	// deadFor is how long a target found dead is avoided, if nothing else is heard of it. The instance that found it
	// asks it again each followInterval, for followTime, and tells the others as long as it does not answer.
	deadFor        = 2 * time.Second
	followInterval = 700 * time.Millisecond
	followTime     = 8 * time.Second
	// repathTimeout bounds the order to change a path.
	repathTimeout = 250 * time.Millisecond
	// maxRepaths bounds the tries to find another path for one loss.
	maxRepaths = 3
	// vacateTime is how long streams leave a target that gives up its layers or leaves.
	vacateTime = 10 * time.Second
	// hearsayAge is how recent an event through a target must be to disprove what another instance says.
	hearsayAge = 70 * time.Millisecond
	// lookAgainAfter is when a stream is looked into again whose targets all answer.
	lookAgainAfter = 150 * time.Millisecond
)

// watch finds the target at fault when streams fall silent, and moves the streams off it.
//
// The suspects of a silent stream are the targets of its path through which no other stream has had an event since.
// A suspect whose machine does not accept a connection is dead: every stream of this instance that passes through it
// changes its path, and the other instances are told.
type watch struct {
	server *Server
	tell   func(t target.Target)

	mu       sync.Mutex
	sessions map[*session]struct{}
	probes   map[string]*probe
	vacated  map[string]time.Time // vacated holds until when targets are left by streams that can.
}

// probe is a question to a target under way or answered.
type probe struct {
	at   time.Time
	done chan struct{}
	err  error
}

func newWatch(s *Server) *watch {
	return &watch{server: s, tell: func(target.Target) {}, sessions: make(map[*session]struct{}), probes: make(map[string]*probe), vacated: make(map[string]time.Time)}
}

func (w *watch) add(s *session) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sessions[s] = struct{}{}
}

func (w *watch) remove(s *session) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.sessions, s)
}

// running returns the streams, for use without the lock.
func (w *watch) running() []*session {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Keys(w.sessions))
}

// silent looks into a stream without an event for longer than usual.
func (w *watch) silent(s *session) {
	found := w.suspects(s)
	if silence := time.Since(s.lastEvent()); found.streams <= 1 && silence < loneSilence {
		s.lookAgain(loneSilence - silence)
		return
	}
	var dead atomic.Bool
	var group sync.WaitGroup
	for _, t := range found.targets {
		group.Go(func() {
			if w.dead(t, found.sure()) {
				dead.Store(true)
				w.lost(t, "Silence")
			}
		})
	}
	group.Wait()
	if !dead.Load() {
		s.lookAgain(lookAgainAfter)
	}
}

// suspect asks a target whose connection broke in the middle of an exchange whether it has crashed.
func (w *watch) suspect(t target.Target, err error) {
	var f *AttemptError
	if errors.As(err, &f) && f.Sent && !f.Refused && w.dead(t, false) {
		w.lost(t, "Broken")
	}
}

// suspicion is what the streams tell of a silent one.
type suspicion struct {
	targets []target.Target
	streams int  // streams is the number of silent streams that have the targets in common, 1 if the stream is alone.
	others  bool // others means that streams through other targets have had events since.
}

// sure reports whether the fault must lie with the targets or their links.
func (s suspicion) sure() bool { return s.others && s.streams >= sureStreams }

// suspects returns the targets of the stream's path that no other stream shows alive since its last event; only those
// that other silent streams have in common, if there are any.
func (w *watch) suspects(s *session) suspicion {
	p, since := s.currentPath(), s.lastEvent()
	now := time.Now()
	alive := make(map[string]bool)
	silent := make(map[string]int)
	found := suspicion{streams: 1}
	for _, o := range w.running() {
		if o == s {
			continue
		}
		last := o.lastEvent()
		for _, part := range o.currentPath() {
			switch {
			case last.After(since.Add(minSilence / 3)):
				alive[part.Target.Name] = true
				found.others = true
			case now.Sub(last) > minSilence*2/3:
				silent[part.Target.Name]++
			}
		}
	}
	var common []target.Target
	most := 1
	for _, part := range p {
		name := part.Target.Name
		if alive[name] {
			continue
		}
		found.targets = append(found.targets, part.Target)
		if n := silent[name]; n > most {
			most, common = n, nil
		}
		if silent[name] == most {
			common = append(common, part.Target)
		}
	}
	if len(common) > 0 {
		found.targets, found.streams = common, most+1
	}
	return found
}

// dead asks the target's machine whether it accepts connections. Questions at the same time share an answer.
func (w *watch) dead(t target.Target, sure bool) bool {
	w.mu.Lock()
	maps.DeleteFunc(w.probes, func(_ string, p *probe) bool { return time.Since(p.at) > probeLife })
	p := w.probes[t.Name]
	if p == nil {
		p = &probe{at: time.Now(), done: make(chan struct{})}
		w.probes[t.Name] = p
		go w.ask(t, p, sure)
	}
	w.mu.Unlock()
	<-p.done
	return p.err != nil
}

func (w *watch) ask(t target.Target, p *probe, sure bool) {
	defer close(p.done)
	tries, wait := probeTries, probeTimeout
	if sure {
		tries, wait = 1, sureProbeTimeout
	}
	for range tries {
		var late, slow bool
		late, slow, p.err = w.question(t, wait)
		if slow {
			// This process stands still at times: the silence says nothing of the target.
			p.err = nil
		}
		if p.err == nil || !late || w.aliveSince(t.Name, p.at) {
			break
		}
	}
	if w.aliveSince(t.Name, p.at) {
		p.err = nil
	}
}

// question asks a target once. Late reports that its time ran out, slow that this process noticed that too late.
func (w *watch) question(t target.Target, wait time.Duration) (late, slow bool, err error) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	err = w.server.upstream.Probe(ctx, t)
	return ctx.Err() != nil, time.Since(started) > time.Duration(slowFactor*float64(wait)), err
}

// aliveSince reports whether a stream through the target has had an event since then.
func (w *watch) aliveSince(name string, since time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for s := range w.sessions {
		if s.lastEvent().After(since) && s.currentPath().Contains(name) {
			return true
		}
	}
	return false
}

// lost moves all streams off a dead target and tells the other instances.
func (w *watch) lost(t target.Target, reason string) {
	now := time.Now()
	known := w.server.meter.IsDead(t.Name, now)
	w.server.meter.MarkDead(t.Name, now.Add(deadFor))
	w.server.ledger.TargetCrashed(t.Name, now)
	if known {
		w.moveAll(t)
		return
	}
	w.server.logger.Info().Str("Target", t.Name).Str("Address", t.Address.String()).Str("Reason", reason).Msg("target lost")
	w.tell(t)
	w.moveAll(t)
	go w.follow(t)
}

// follow asks a dead target until it answers or is forgotten.
func (w *watch) follow(t target.Target) {
	for end := time.Now().Add(followTime); time.Now().Before(end); {
		time.Sleep(followInterval)
		ctx, cancel := context.WithTimeout(context.Background(), followTimeout)
		err := w.server.upstream.Probe(ctx, t)
		cancel()
		if err == nil {
			w.server.meter.MarkAlive(t.Name)
			w.server.logger.Info().Str("Target", t.Name).Msg("target answers again")
			return
		}
		w.server.meter.MarkDead(t.Name, time.Now().Add(deadFor))
		w.tell(t)
	}
}

var errNoRepath = errors.New("the first target of the path is lost or left")

// errCrossing keeps a stream from a path that changes data centres more often: all its tokens would go through the
// pipes between them, together with those of all other streams that the loss interrupts. To read them again elsewhere
// is faster.
var errCrossing = errors.New("the changed path crosses more data centres")
