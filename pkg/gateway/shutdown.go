package gateway

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// trackRequest counts a request as in flight until end is called. closing reports whether the request's connection must
// be closed after the response.
func (g *Gateway) trackRequest() (end func(), closing bool) {
	g.running.Add(1)
	if !g.stopping.Load() {
		return func() { g.running.Add(-1) }, false
	}
	g.runningSinceStop.Add(1)
	g.lastReceivedAt.Store(time.Now().UnixNano())
	return func() {
		g.runningSinceStop.Add(-1)
		g.running.Add(-1)
	}, true
}

// stopsSoon reports whether a long request that starts now might not end before the kill.
func (g *Gateway) stopsSoon() bool {
	return g.stopping.Load() && time.Since(time.Unix(0, g.stoppingSince.Load())) > modelRequestCutoff
}

// stopGracefully makes the instance unready, waits for unreadyDelay, and then waits until the requests in flight have
// ended or the grace period is nearly over. The listeners are closed only after it returns.
func (g *Gateway) stopGracefully(ctx context.Context) error {
	started := time.Now()
	g.stoppingSince.Store(started.UnixNano())
	g.stopping.Store(true)
	g.logger.Info().Int64("Running", g.running.Load()).Msg("stopping")
	deadline := started.Add(g.settings.GracePeriod - killMargin)
	waitFor(ctx, unreadyDelay)
	for g.running.Load() > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		waitFor(ctx, 20*time.Millisecond)
	}
	if n := g.running.Load(); n > 0 {
		g.logger.Warn().Int64("Running", n).Int64("ReceivedSinceStop", g.runningSinceStop.Load()).
			Dur("LastReceivedAfter", time.Unix(0, g.lastReceivedAt.Load()).Sub(started)).Msg("requests cut off at the end of the grace period")
	}
	return nil
}

// reload reads the settings again on SIGHUP and applies the seeds. Other settings of a running process do not change.
func (g *Gateway) reload(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		settings, err := g.platform.Reload()
		if err == nil {
			g.peers.node.SetSeeds(settings.Seeds)
		}
		g.logger.Info().Int("Seeds", len(settings.Seeds)).Err(err).Msg("settings reloaded")
	}
}
