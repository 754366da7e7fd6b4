package bench

import (
	"context"
	"strings"
	"time"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/engine"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
	"github.com/cuminroute/cuminroute/pkg/standin/platform"
)

const (
	// defaultRecoveryLoad is relative to the bound. It leaves room to carry what a lost target carried.
	defaultRecoveryLoad = 0.7
	// degraded is the factor by which a link gets worse.
	degraded = 100
	// goodputWindow averages the rate of tokens over several answers' arrivals.
	goodputWindow = 2 * time.Second
	// goodputBack is the part of the rate before the failure at which goodput counts as back.
	goodputBack = 0.9
	// goodputStep is the resolution of the time until goodput is back.
	goodputStep = 100 * time.Millisecond
)

// failure is one way in which something fails. It returns the names of the targets or instances it hits.
type failure struct {
	name   string
	inject func(f *fleet.Fleet) []string
}

var failures = []failure{
	{"StageKilled", func(f *fleet.Fleet) []string { f.Engines[0].Kill(); return []string{f.EngineSpecs[0].Name} }},
	{"StageFrozen", func(f *fleet.Fleet) []string { f.Engines[0].Freeze(true); return []string{f.EngineSpecs[0].Name} }},
	{"LinkDegraded", func(f *fleet.Fleet) []string {
		l := f.EngineSpecs[0].Link
		f.Engines[0].SetLink(engine.Link{Latency: l.Latency * degraded, BytesPerSecond: l.BytesPerSecond / degraded})
		return []string{f.EngineSpecs[0].Name}
	}},
	{"EntryKilled", func(f *fleet.Fleet) []string {
		m := f.Instances()[0]
		m.Kill()
		f.Remove(m)
		return []string{m.Name}
	}},
	{"DataCentreCut", cutDataCentre},
	{"TableDown", func(f *fleet.Fleet) []string {
		f.Platform.SetFaults(platform.Faults{Table: platform.Fault{Outage: platform.Silent}})
		return nil
	}},
}

// cutDataCentre makes the workers of one data centre silent, as packets to them are lost. Its
// entry instances are taken out by the platform's balancer, which callers see as killed.
func cutDataCentre(f *fleet.Fleet) []string {
	cut := fleet.DataCentre(0)
	var hit []string
	for i, w := range f.EngineSpecs {
		if w.DataCentre == cut {
			f.Engines[i].Freeze(true)
			hit = append(hit, w.Name)
		}
	}
	for _, m := range f.Instances() {
		if m.DataCentre == cut {
			m.Kill()
			f.Remove(m)
			hit = append(hit, m.Name)
		}
	}
	return hit
}

// FailureResult is the measurement of one failure.
type FailureResult struct {
	Failure     string      `json:"Failure"`
	Interrupted int         `json:"Interrupted"` // Interrupted is the number of streams that ran on what failed.
	NextToken   Percentiles `json:"NextToken"`   // NextToken is the longest wait for a token after the failure of streams that had begun, in milliseconds.
	GoodputBack float64     `json:"GoodputBack"` // GoodputBack is in milliseconds, -1 where goodput did not come back.
	Lost        int         `json:"Lost"`        // Lost counts the interrupted answers that ended incomplete, after a resend where the connection broke.
	Unfinished  int         `json:"Unfinished"`  // Unfinished counts those that still ran or waited when the measurement ended.
	Resent      int         `json:"Resent"`      // Resent counts broken answers, which the caller asked for again.
	// Others counts by outcome the answers that were not complete and ran on nothing that failed.
	Others map[outcome.Outcome]int `json:"Others"`
}

// RecoveryResult lists the failures.
type RecoveryResult struct {
	Measurement string          `json:"Measurement"`
	Seed        uint64          `json:"Seed"`
	Bound       float64         `json:"Bound"`
	Failures    []FailureResult `json:"Failures"`
}

// Recovery measures every failure on a new fleet with the same arrivals.
func Recovery(ctx context.Context, o Options) (RecoveryResult, error) {
	o = o.withDefaults()
	result := RecoveryResult{Measurement: "Recovery", Seed: o.Seed}
	for _, failure := range failures {
		f, err := o.startFleet(ctx, fleet.Options{Instances: o.Entries, Recording: true})
		if err != nil {
			return result, err
		}
		result.Bound = f.Bound
		result.Failures = append(result.Failures, o.measureFailure(ctx, f, failure))
		f.Close()
		if ctx.Err() != nil {
			return result, ctx.Err()
		}
	}
	return result, nil
}

func (o Options) measureFailure(ctx context.Context, f *fleet.Fleet, failure failure) FailureResult {
	l := load{fleet: f, client: caller.New(), deadline: o.Deadline, resend: true}
	defer l.client.Close()
	failing := make(chan time.Time, 1)
	var hit []string
	time.AfterFunc(warmUp+goodputWindow, func() {
		at := time.Now()
		hit = failure.inject(f)
		failing <- at
	})
	length := warmUp + goodputWindow + o.Duration
	cut := time.Now().Add(length + tail)
	answers := l.playUntil(ctx, length+tail, arrivals(o.Seed, o.Load*f.Bound, length))
	at := <-failing
	result := FailureResult{Failure: failure.name, Others: map[outcome.Outcome]int{}}
	result.addStreams(answers, streamsOn(f, hit, at), at, cut)
	result.GoodputBack = goodputBackAfter(answers, at, at.Add(o.Duration))
	return result
}

// streamsOn returns the IDs of the questions that ran on the failed targets, and the names of the
// failed instances. Nil means all streams, for a failure that hits no target.
func streamsOn(f *fleet.Fleet, hit []string, at time.Time) map[string]bool {
	if hit == nil {
		return nil
	}
	on := map[string]bool{}
	for _, name := range hit {
		on[name] = true
	}
	questions := map[string]string{}
	running := map[string]bool{}
	for _, e := range f.Engines {
		for _, x := range e.Executions() {
			if x.Prompt != "" {
				questions[x.Request] = questionID(x.Prompt)
			}
			if on[x.Target] && x.At.Before(at) {
				running[x.Request] = true
			}
		}
	}
	for request := range running {
		on[questions[request]] = true
	}
	return on
}

func questionID(prompt string) string {
	for word := range strings.FieldsSeq(prompt) {
		if strings.HasPrefix(word, "q-") {
			return word
		}
	}
	return ""
}

// addStreams counts the streams that were running at the failure. Answers that ended at the cut
// were cancelled by the measurement.
func (r *FailureResult) addStreams(answers []sent, on map[string]bool, at, cut time.Time) {
	waits := newRecorder()
	for _, s := range answers {
		last := s.last()
		running := s.answer.Started.Before(at) && s.answer.Ended.After(at)
		if !running || (on != nil && !on[s.id] && !on[s.sentTo]) {
			if last.Outcome != outcome.Done {
				r.Others[last.Outcome]++
			}
			continue
		}
		r.addInterrupted(s, last, cut)
		if wait, ok := s.longestWait(at); ok {
			waits.add(wait)
		}
	}
	r.NextToken = waits.percentiles()
}

func (r *FailureResult) addInterrupted(s sent, last caller.Response, cut time.Time) {
	r.Interrupted++
	if s.again != nil {
		r.Resent++
	}
	switch {
	case last.Outcome == outcome.Done:
	case last.Ended.After(cut):
		r.Unfinished++
	default:
		r.Lost++
	}
}

// last returns the answer to the resend, or to the question where it was not sent again.
func (s sent) last() caller.Response {
	if s.again != nil {
		return *s.again
	}
	return s.answer
}

// longestWait returns the longest time without a token after the failure, over a resend too. A
// question that still waited for its first token was not interrupted.
func (s sent) longestWait(from time.Time) (time.Duration, bool) {
	times := s.answer.ChunkTimes
	if len(times) == 0 || times[0].After(from) {
		return 0, false
	}
	if s.again != nil {
		times = append(times[:len(times):len(times)], s.again.ChunkTimes...)
	}
	longest, found := time.Duration(0), false
	for _, at := range times {
		if at.After(from) {
			longest, found = max(longest, at.Sub(from)), true
			from = at
		}
	}
	return longest, found
}

// goodputBackAfter returns the milliseconds after which the rate of tokens is back for a window.
func goodputBackAfter(answers []sent, failed, end time.Time) float64 {
	before := tokensIn(answers, failed.Add(-goodputWindow))
	for at := failed; !at.Add(goodputWindow).After(end); at = at.Add(goodputStep) {
		if tokensIn(answers, at) >= goodputBack*before {
			return float64(at.Sub(failed).Milliseconds())
		}
	}
	return -1
}

// tokensIn counts the tokens in one window that belong to complete answers.
func tokensIn(answers []sent, from time.Time) float64 {
	tokens := 0
	for _, s := range answers {
		tokens += tokensOf(s.answer, from)
		if s.again != nil {
			tokens += tokensOf(*s.again, from)
		}
	}
	return float64(tokens)
}

func tokensOf(a caller.Response, from time.Time) int {
	tokens := 0
	for _, at := range a.ChunkTimes {
		if a.Outcome == outcome.Done && at.After(from) && at.Before(from.Add(goodputWindow)) {
			tokens++
		}
	}
	return tokens
}
