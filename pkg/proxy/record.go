package proxy

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/refusal"
)

// samples is the number of latencies kept for the quantiles on the metrics page.
const samples = 512

// counters count what became of requests.
type counters struct {
	served, refused, failed, broken, left metrics.Counter
	resumed, repathed, budget, hearsay    metrics.Counter
	first, whole                          metrics.Timer
}

func newCounters(r metrics.Registry) counters {
	c := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("Exchange."+name, r) }
	t := func(name string) metrics.Timer {
		return metrics.GetOrRegister("Exchange."+name, func() metrics.Timer {
			return metrics.NewCustomTimer(metrics.NewHistogram(metrics.NewUniformSample(samples)), metrics.NilMeter{})
		}).(metrics.Timer)
	}
	return counters{
		served: c("Served"), refused: c("Refused"), failed: c("Failed"), broken: c("BrokenOff"), left: c("CallersLeft"),
		resumed: c("Resumed"), repathed: c("Repathed"), budget: c("RetriesDenied"), hearsay: c("HearsayDisproved"), first: t("FirstEvent"), whole: t("WholeAnswer"),
	}
}

// record counts and logs what became of a request: one line with what decided it.
func (r *activeRequest) record(ctx context.Context, err error) {
	s := r.server
	took := time.Since(r.ReceivedAt)
	entry := s.logger.Info().Str("Request", r.ID).Dur("Took", took)
	if r.view != nil {
		entry = entry.Uint64("Version", r.view.Catalogue.Version).Dur("ProofAge", s.views.ConfigurationAge())
	}
	if r.route != nil {
		entry = entry.Str("Route", r.route.Name).Str("Workspace", r.workspace).Int("Attempts", r.attempts).Int("Refusals", r.refusals).
			Dur("Goal", r.route.LatencyGoal).Dur("PauseGoal", r.route.EventGapGoal)
	}
	if len(r.targets) > 0 {
		entry = entry.Str("Targets", strings.Join(r.targets, "; "))
	}
	if r.events > 0 {
		s.counters.first.Update(r.first)
		entry = entry.Dur("First", r.first).Int("Events", r.events).Dur("LongestPause", r.longest).Int("Crossings", r.crossings).Int("Resumes", r.resumes).Int32("Repaths", r.repaths.Load())
	}
	var refused *refusal.Error
	switch {
	case err == nil:
		s.counters.served.Inc(1)
		s.counters.whole.Update(took)
		entry.Str("Outcome", "Served").Msg("request ended")
	case ctx.Err() != nil:
		s.counters.left.Inc(1)
		entry.Str("Outcome", "CallerLeft").Err(err).Msg("request ended")
	case errors.Is(err, http.ErrAbortHandler):
		s.counters.broken.Inc(1)
		entry.Str("Outcome", "BrokenOff").Msg("request ended")
	case errors.As(err, &refused) && refused.Status < http.StatusInternalServerError || refused != nil && refused.Status == http.StatusServiceUnavailable:
		s.counters.refused.Inc(1)
		entry.Str("Outcome", string(refused.Outcome)).Str("Reason", refused.Code).Int("Status", refused.Status).
			Dur("RetryAfter", refused.RetryAfter).Err(refused.Cause).Msg("request ended")
	default:
		s.counters.failed.Inc(1)
		entry.Str("Outcome", string(refusal.OutcomeOf(err))).Str("Reason", refusal.FromError(err).Code).Err(err).Msg("request ended")
	}
}
