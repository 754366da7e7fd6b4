package quarantinesync

import (
	"fmt"
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/decision/quarantine"
)

// verdictOrigin names who reached a verdict.
type verdictOrigin string

const (
	ownVerdict    verdictOrigin = "Own"
	remoteVerdict verdictOrigin = "Remote"
)

// counters are the metrics of a Tracker.
type counters struct {
	crashes, suspects, held, quarantined metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("Quarantine."+name, r) }
	return counters{crashes: counter("Crashes"), suspects: counter("Suspects"), held: counter("Held"), quarantined: counter("Quarantined")}
}

// FormatFingerprint returns a fingerprint as the logs and the state dump show it.
func FormatFingerprint(fingerprint uint64) string {
	return fmt.Sprintf("%016x", fingerprint)
}

// FormatFingerprints returns fingerprints as the logs show them, separated by commas.
func FormatFingerprints(fingerprints []uint64) string {
	formatted := make([]string, len(fingerprints))
	for i, f := range fingerprints {
		formatted[i] = FormatFingerprint(f)
	}
	return strings.Join(formatted, ",")
}

// loggedSuspect is a suspect in the log.
type loggedSuspect struct {
	Request string
	Content string
	Verdict quarantine.Verdict
}

// logCrash counts and logs a crash with the requests that ran on the target.
func (t *Tracker) logCrash(target string, suspects []quarantine.Suspect) {
	logged := make([]loggedSuspect, len(suspects))
	for i, s := range suspects {
		logged[i] = loggedSuspect{Request: s.Request, Content: FormatFingerprint(s.Fingerprint), Verdict: s.Verdict}
	}
	t.counters.crashes.Inc(1)
	t.counters.suspects.Inc(int64(len(suspects)))
	t.logger.Info().Str("Target", target).Interface("Suspects", logged).Msg("crash recorded")
}

// logVerdict counts and logs a new verdict on content.
func (t *Tracker) logVerdict(fingerprint uint64, verdict quarantine.Verdict, origin verdictOrigin) {
	if verdict == quarantine.Quarantined {
		t.counters.quarantined.Inc(1)
	} else {
		t.counters.held.Inc(1)
	}
	t.logger.Info().Str("Content", FormatFingerprint(fingerprint)).Str("Verdict", string(verdict)).Str("Origin", string(origin)).Msg("content refused")
}
