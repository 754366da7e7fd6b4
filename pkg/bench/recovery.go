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
	// defaultRecoveryLoad is relative to the bound. It leaves spare capacity for the load of a dead target.
	defaultRecoveryLoad = 0.7
	// linkDegradation is the factor by which the latency of a link grows and its bandwidth shrinks.
	linkDegradation = 100
	// goodputWindow is the window over which the token rate is averaged. It spans the arrivals of several requests.
	goodputWindow = 2 * time.Second
	// recoveredRatio is the fraction of the token rate before the failure at which goodput counts as recovered.
	recoveredRatio = 0.9
	// goodputStep is the resolution of the time until goodput has recovered.
	goodputStep = 100 * time.Millisecond
)

// failure is a kind of failure. Its function inject causes it and returns the names of the affected targets and
// instances, nil if the failure affects neither.
type failure struct {
	name   string
	inject func(f *fleet.Fleet) []string
}

var failures = []failure{
	{"StageKilled", func(f *fleet.Fleet) []string { f.Engines[0].Kill(); return []string{f.EngineSpecs[0].Name} }},
	{"StageFrozen", func(f *fleet.Fleet) []string { f.Engines[0].Freeze(true); return []string{f.EngineSpecs[0].Name} }},
	{"LinkDegraded", func(f *fleet.Fleet) []string {
		l := f.EngineSpecs[0].Link
		f.Engines[0].SetLink(engine.Link{Latency: l.Latency * linkDegradation, BytesPerSecond: l.BytesPerSecond / linkDegradation})
		return []string{f.EngineSpecs[0].Name}
	}},
	{"EntryKilled", func(f *fleet.Fleet) []string {
		inst := f.Instances()[0]
		inst.Kill()
		f.Remove(inst)
		return []string{inst.Name}
	}},
	{"DataCentreCut", partitionDataCentre},
	{"TableDown", func(f *fleet.Fleet) []string {
		f.Platform.SetFaults(platform.Faults{Table: platform.Fault{Outage: platform.Silent}})
		return nil
	}},
}

// partitionDataCentre freezes the targets of one data centre, as if packets to them were lost. It kills and removes the
// instances there, which is how clients see them once the platform's load balancer has taken them out of service.
func partitionDataCentre(f *fleet.Fleet) []string {
	dataCentre := fleet.DataCentre(0)
	var affected []string
	for i, spec := range f.EngineSpecs {
		if spec.DataCentre == dataCentre {
			f.Engines[i].Freeze(true)
			affected = append(affected, spec.Name)
		}
	}
	for _, inst := range f.Instances() {
		if inst.DataCentre == dataCentre {
			inst.Kill()
			f.Remove(inst)
			affected = append(affected, inst.Name)
		}
	}
	return affected
}

// FailureResult is the measurement of one failure.
type FailureResult struct {
	Failure         string      `json:"Failure"`
	Interrupted     int         `json:"Interrupted"` // Interrupted counts the running requests that the failure affected.
	NextToken       Percentiles `json:"NextToken"`   // NextToken is the longest wait for a token after the failure, of streams that had begun, in milliseconds.
	GoodputRecovery float64     `json:"GoodputBack"` // GoodputRecovery is in milliseconds, -1 if goodput did not recover.
	Lost            int         `json:"Lost"`        // Lost counts the interrupted requests that ended incomplete, after the resend if there was one.
	Unfinished      int         `json:"Unfinished"`  // Unfinished counts the interrupted requests cancelled at the end of the measurement.
	Resent          int         `json:"Resent"`      // Resent counts the interrupted requests that the client sent again after a truncated response.
	// OtherOutcomes counts, by outcome, the incomplete requests that the failure did not interrupt.
	OtherOutcomes map[outcome.Outcome]int `json:"Others"`
}

// RecoveryResult holds the measurements of all failures.
type RecoveryResult struct {
	Measurement string          `json:"Measurement"`
	Seed        uint64          `json:"Seed"`
	Bound       float64         `json:"Bound"`
	Failures    []FailureResult `json:"Failures"`
}

// Recovery measures each failure on a new fleet, with the same arrivals.
func Recovery(ctx context.Context, o Options) (RecoveryResult, error) {
	o = o.withDefaults()
	result := RecoveryResult{Measurement: "Recovery", Seed: o.Seed}
	for _, failure := range failures {
		f, err := o.startFleet(ctx, fleet.Options{Instances: o.Instances, Recording: true})
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
	l := loadGenerator{fleet: f, client: caller.New(), deadline: o.Deadline, resendTruncated: true}
	defer l.client.Close()
	injected := make(chan time.Time, 1)
	var affected []string
	time.AfterFunc(warmUp+goodputWindow, func() {
		now := time.Now()
		affected = failure.inject(f)
		injected <- now
	})
	length := warmUp + goodputWindow + o.Duration
	cancelledAt := time.Now().Add(length + completionTime)
	requests := l.runWithTimeout(ctx, length+completionTime, drawArrivals(o.Seed, o.Load*f.Bound, length))
	failedAt := <-injected
	result := FailureResult{Failure: failure.name, OtherOutcomes: map[outcome.Outcome]int{}}
	result.addStreams(requests, affectedStreams(f, affected, failedAt), failedAt, cancelledAt)
	result.GoodputRecovery = goodputRecoveryMillis(requests, failedAt, failedAt.Add(o.Duration))
	return result
}

// affectedStreams returns the set of the affected names and of the IDs of the requests that ran on affected targets before
// the failure. It returns nil, which means all streams, if the failure affects no target or instance.
func affectedStreams(f *fleet.Fleet, affected []string, failedAt time.Time) map[string]bool {
	if affected == nil {
		return nil
	}
	set := map[string]bool{}
	for _, name := range affected {
		set[name] = true
	}
	requestIDs := map[string]string{}
	running := map[string]bool{}
	for _, e := range f.Engines {
		for _, x := range e.Executions() {
			if x.Prompt != "" {
				requestIDs[x.Request] = requestID(x.Prompt)
			}
			if set[x.Target] && x.At.Before(failedAt) {
				running[x.Request] = true
			}
		}
	}
	for request := range running {
		set[requestIDs[request]] = true
	}
	return set
}

func requestID(prompt string) string {
	for word := range strings.FieldsSeq(prompt) {
		if strings.HasPrefix(word, "q-") {
			return word
		}
	}
	return ""
}

// addStreams counts the requests that were running at the failure. Those that ended after cancelledAt were cancelled by
// the measurement.
func (r *FailureResult) addStreams(requests []sentRequest, affected map[string]bool, failedAt, cancelledAt time.Time) {
	waits := newRecorder()
	for _, s := range requests {
		last := s.lastResponse()
		running := s.response.Started.Before(failedAt) && s.response.Ended.After(failedAt)
		if !running || (affected != nil && !affected[s.id] && !affected[s.instanceName]) {
			if last.Outcome != outcome.Done {
				r.OtherOutcomes[last.Outcome]++
			}
			continue
		}
		r.addInterrupted(s, last, cancelledAt)
		if wait, ok := s.longestWait(failedAt); ok {
			waits.add(wait)
		}
	}
	r.NextToken = waits.percentiles()
}

func (r *FailureResult) addInterrupted(s sentRequest, last caller.Response, cancelledAt time.Time) {
	r.Interrupted++
	if s.resent != nil {
		r.Resent++
	}
	switch {
	case last.Outcome == outcome.Done:
	case last.Ended.After(cancelledAt):
		r.Unfinished++
	default:
		r.Lost++
	}
}

// lastResponse returns the response to the resend, or the first response if there was no resend.
func (s sentRequest) lastResponse() caller.Response {
	if s.resent != nil {
		return *s.resent
	}
	return s.response
}

// longestWait returns the longest time without a token after the failure, including those of a resend. It returns false
// for a request that was waiting for its first token, which counts as not interrupted, or got no token afterwards.
func (s sentRequest) longestWait(from time.Time) (time.Duration, bool) {
	times := s.response.ChunkTimes
	if len(times) == 0 || times[0].After(from) {
		return 0, false
	}
	if s.resent != nil {
		times = append(times[:len(times):len(times)], s.resent.ChunkTimes...)
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

// goodputRecoveryMillis returns the time in milliseconds from the failure to the first window in which the token rate has
// recovered, or -1.
func goodputRecoveryMillis(requests []sentRequest, failedAt, end time.Time) float64 {
	before := goodputTokens(requests, failedAt.Add(-goodputWindow))
	for at := failedAt; !at.Add(goodputWindow).After(end); at = at.Add(goodputStep) {
		if goodputTokens(requests, at) >= recoveredRatio*before {
			return float64(at.Sub(failedAt).Milliseconds())
		}
	}
	return -1
}

// goodputTokens counts the tokens of complete responses in one window.
func goodputTokens(requests []sentRequest, from time.Time) float64 {
	tokens := 0
	for _, s := range requests {
		tokens += tokensInWindow(s.response, from)
		if s.resent != nil {
			tokens += tokensInWindow(*s.resent, from)
		}
	}
	return float64(tokens)
}

func tokensInWindow(response caller.Response, from time.Time) int {
	tokens := 0
	for _, at := range response.ChunkTimes {
		if response.Outcome == outcome.Done && at.After(from) && at.Before(from.Add(goodputWindow)) {
			tokens++
		}
	}
	return tokens
}
