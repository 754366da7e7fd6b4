package proxy

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/quarantinesync"
	"github.com/cuminroute/cuminroute/pkg/refusal"
)

// latencySamples is the number of latencies sampled for the quantiles on the metrics page.
const latencySamples = 512

// counters are the request metrics.
type counters struct {
	served, refused, failed, aborted, clientsLeft        metrics.Counter
	resumed, pathsChanged, retriesDenied, reportsRefuted metrics.Counter
	limited                                              metrics.Counter
	firstEvent, fullResponse                             metrics.Timer
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("Exchange."+name, r) }
	timer := func(name string) metrics.Timer {
		return metrics.GetOrRegister("Exchange."+name, func() metrics.Timer {
			return metrics.NewCustomTimer(metrics.NewHistogram(metrics.NewUniformSample(latencySamples)), metrics.NilMeter{})
		}).(metrics.Timer)
	}
	return counters{
		served: counter("Served"), refused: counter("Refused"), failed: counter("Failed"), aborted: counter("BrokenOff"),
		clientsLeft: counter("CallersLeft"), resumed: counter("Resumed"), pathsChanged: counter("Repathed"),
		retriesDenied: counter("RetriesDenied"), reportsRefuted: counter("HearsayDisproved"),
		limited:    counter("Limited"),
		firstEvent: timer("FirstEvent"), fullResponse: timer("WholeAnswer"),
	}
}

// logResult updates the metrics with the result of a request and logs the result.
func (r *activeRequest) logResult(ctx context.Context, err error) {
	s := r.server
	took := time.Since(r.ReceivedAt)
	entry := s.logger.Info().Str("Request", r.ID).Dur("Took", took)
	if r.snapshot != nil {
		entry = entry.Uint64("Version", r.snapshot.Catalogue.Version).Dur("ProofAge", s.snapshots.ConfigurationAge())
	}
	if r.route != nil {
		entry = entry.Str("Route", r.route.Name).Str("Workspace", r.workspace).Int("Attempts", r.attempts).Int("Refusals", r.refusals).
			Dur("Goal", r.route.LatencyGoal).Dur("PauseGoal", r.route.EventGapGoal)
	}
	if r.fingerprint != 0 {
		entry = entry.Str("Content", quarantinesync.FormatFingerprint(r.fingerprint)).Str("Parts", quarantinesync.FormatFingerprints(r.parts))
	}
	if len(r.targets) > 0 {
		entry = entry.Str("Targets", strings.Join(r.targets, "; "))
	}
	if r.eventCount.Load() > 0 {
		s.counters.firstEvent.Update(r.firstEventLatency)
		entry = entry.Dur("First", r.firstEventLatency).Int64("Events", r.eventCount.Load()).Dur("LongestPause", r.longestGap).
			Int("Crossings", r.crossDataCentreHops).Int("Resumes", r.resumes).Int32("Repaths", r.pathChanges.Load())
	}
	if r.roomRequest != nil {
		entry = entry.Float64("Position", r.roomRequest.place.Position).Dur("WaitedForRoom", r.roomRequest.waitedFor).
			Float64("Cutoff", r.roomRequest.room.State(time.Now()).Cutoff)
	}
	var refused *refusal.Error
	switch {
	case err == nil:
		s.counters.served.Inc(1)
		s.counters.fullResponse.Update(took)
		entry.Str("Outcome", "Served").Msg("request ended")
	case ctx.Err() != nil:
		s.counters.clientsLeft.Inc(1)
		entry.Str("Outcome", "CallerLeft").Err(err).Msg("request ended")
	case errors.Is(err, http.ErrAbortHandler):
		s.counters.aborted.Inc(1)
		entry.Str("Outcome", "BrokenOff").Err(err).Msg("request ended")
	case errors.As(err, &refused) && refused.Status < http.StatusInternalServerError || refused != nil && refused.Status == http.StatusServiceUnavailable:
		s.counters.refused.Inc(1)
		entry.Str("Outcome", string(refused.Outcome)).Str("Reason", refused.Code).Int("Status", refused.Status).
			Dur("RetryAfter", refused.RetryAfter).Err(refused.Cause).Msg("request ended")
	default:
		s.counters.failed.Inc(1)
		entry.Str("Outcome", string(refusal.OutcomeOf(err))).Str("Reason", refusal.FromError(err).Code).Err(err).Msg("request ended")
	}
}
