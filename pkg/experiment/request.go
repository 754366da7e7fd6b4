package experiment

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/emulator"
	"github.com/cuminroute/cuminroute/pkg/layer"
)

// end is how a request ended.
type end string

const (
	complete end = "Complete"
	refused  end = "Refused"
	broken   end = "Broken"
)

// request is a request on its way.
type request struct {
	play     *play
	arrival  arrival
	instance *instance
	stream   *emulator.Stream
	release  func()
	written  int           // written counts the answer's tokens that came from earlier streams.
	first    time.Duration // first is the time to the first event.
	last     time.Duration // last is when the last event came.
	longest  time.Duration // longest is the longest pause between events.
	end      end
}

// open sends the request along a path, and waits for room as long as its first event can still come in time.
func (r *request) open() {
	err := r.send()
	if err == nil {
		return
	}
	now := r.play.emulator.Now()
	goal := time.Duration(queueShare * float64(r.play.settings.Requests.FirstEvent))
	if errorx.IsOfType(err, path.Uncovered) || now-r.arrival.at > goal {
		r.finish(refused)
		return
	}
	r.play.emulator.Schedule(now+tryPause, r.open)
}

// send opens a stream for what is left of the answer. Targets that have no room are left out of the next choice.
func (r *request) send() error {
	w := emulator.TokenCounts{Prompt: r.arrival.work.Prompt + r.written, Output: r.arrival.work.Output - r.written}
	avoided := make(map[string]bool)
	for {
		p, err := r.play.choose(r.instance, path.Request{
			To: r.play.engine.Layers, PromptTokens: w.Prompt, OutputTokens: r.play.engine.TypicalOutputTokens, Excluded: func(name string) bool { return avoided[name] },
		})
		if err != nil {
			return err
		}
		r.stream, err = r.play.emulator.Open(p, w, emulator.Callbacks{Event: r.event, End: func(time.Duration) { r.finish(complete) }})
		if err == nil {
			r.reserve(p, w)
			return nil
		}
		culprit, known := emulator.FailedTarget(err)
		if !known || avoided[culprit] || len(avoided) >= maxRefusals {
			return err
		}
		avoided[culprit] = true
		r.instance.meter.RecordRefusal(culprit, epoch.Add(r.play.emulator.Now()))
	}
}

// maxRefusals bounds the targets without room that one choice is made around.
const maxRefusals = 4

func (r *request) reserve(p path.Path, w emulator.TokenCounts) {
	if r.release != nil {
		r.release()
	}
	r.release = r.instance.meter.Reserve(p, w.Prompt+r.play.engine.TypicalOutputTokens)
}

// event takes in an event.
func (r *request) event(at time.Duration) {
	if r.first == 0 {
		r.first = at - r.arrival.at
	} else {
		r.longest = max(r.longest, at-r.last)
	}
	r.last = at
}

// mend leads a stream around the lost targets, or sends what is left of it along another path.
func (r *request) mend(lost []string, tries int) {
	if r.end != "" || r.stream == nil || r.stream.Ended() || !passesAny(r.stream.Path(), lost) {
		return
	}
	if r.repath(lost) == nil {
		return
	}
	written := r.stream.Tokens() - r.arrival.work.Prompt
	old := r.stream
	r.written = written
	if err := r.send(); err == nil {
		old.Close()
		return
	}
	r.stream = old
	if tries >= maxTries {
		old.Close()
		r.finish(broken)
		return
	}
	r.play.emulator.Schedule(r.play.emulator.Now()+tryPause, func() { r.mend(lost, tries+1) })
}

func passesAny(p path.Path, names []string) bool {
	for _, name := range names {
		if p.Contains(name) {
			return true
		}
	}
	return false
}

// repath replaces the lost parts of the path.
func (r *request) repath(lost []string) error {
	old := r.stream.Path()
	var changed path.Path
	for i := 0; i < len(old); {
		if !passesAny(old[i:i+1], lost) {
			changed = append(changed, old[i])
			i++
			continue
		}
		gap := layer.Range{First: old[i].Layers.First}
		for ; i < len(old) && passesAny(old[i:i+1], lost); i++ {
			gap.End = old[i].Layers.End
		}
		parts, err := r.play.choose(r.instance, path.Request{
			From: gap.First, To: gap.End, PromptTokens: r.stream.Tokens(), OutputTokens: r.play.engine.TypicalOutputTokens, Excluded: old.Contains,
		})
		if err != nil {
			return err
		}
		changed = append(changed, parts...)
	}
	if err := r.stream.ChangePath(changed); err != nil {
		return err
	}
	r.reserve(changed, r.arrival.work)
	return nil
}

func (r *request) finish(how end) {
	r.end = how
	if r.release != nil {
		r.release()
		r.release = nil
	}
	r.play.forget(r)
}
