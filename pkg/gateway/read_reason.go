package gateway

import "time"

// readReason is why an instance reads the configuration from the store.
type readReason string

const (
	// readNone means that the instance relies on another one, which reads the configuration.
	readNone readReason = "None"
	// readAsWatcher means that the instance is the watcher of its data centre.
	readAsWatcher readReason = "Watcher"
	// readNoConfiguration means that the instance has no configuration that was ever confirmed.
	readNoConfiguration readReason = "NoConfiguration"
	// readUnconfirmed means that no other instance has confirmed the configuration for long.
	readUnconfirmed readReason = "Unconfirmed"
	// readNoWatcher means that no other instance has reported lately that it reads the configuration.
	readNoWatcher readReason = "NoWatcher"
	// readBehind means that another instance has announced a newer configuration, and did not hand it out.
	readBehind readReason = "Behind"
)

// logReadReason logs whether this instance reads the configuration itself, and otherwise on which instance it relies, when that changes.
// It is called by one goroutine.
func (g *Gateway) logReadReason(reason readReason) {
	if reason == g.readReason {
		return
	}
	g.readReason = reason
	now := time.Now()
	shownAt, reportedBy := g.peers.configurationShownAt(now)
	age, _ := g.cache.confirmationAge()
	entry := g.logger.Info().Str("Reason", string(reason)).Dur("Age", age).Str("ReportedBy", reportedBy.String())
	if !shownAt.IsZero() {
		entry.Dur("ShownBefore", now.Sub(shownAt))
	}
	entry.Msg("reason to read the configuration changed")
}
