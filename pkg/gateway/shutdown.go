package gateway

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// trackRequest counts a request in and reports whether its connection must be closed after the response.
func (g *Gateway) trackRequest() (end func(), closing bool) {
	g.running.Add(1)
	return func() { g.running.Add(-1) }, g.stopping.Load()
}

// stopsSoon reports whether a long request that starts now might not end before the kill.
func (g *Gateway) stopsSoon() bool {
	return g.stopping.Load() && time.Since(time.Unix(0, g.stoppingSince.Load())) > modelRequestCutoff
}

// stopGracefully is a planned stop: not ready, then no new connections, then the end of the running requests.
func (g *Gateway) stopGracefully(ctx context.Context) error {
	started := time.Now()
	g.stoppingSince.Store(started.UnixNano())
	g.stopping.Store(true)
	g.logger.Info().Int64("Running", g.running.Load()).Msg("stopping")
	last := started.Add(g.settings.GracePeriod - killMargin)
	waitFor(ctx, unreadyDelay)
	for g.running.Load() > 0 && time.Now().Before(last) && ctx.Err() == nil {
		waitFor(ctx, 20*time.Millisecond)
	}
	if n := g.running.Load(); n > 0 {
		g.logger.Warn().Int64("Running", n).Msg("requests cut off at the end of the grace period")
	}
	return nil
}

// reload applies changed settings on SIGHUP. The addresses of a running process stay as they are.
func (g *Gateway) reload(ctx context.Context) {
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		settings, err := g.platform.Reload()
		if err == nil {
			g.peers.node.SetSeeds(settings.Seeds)
		}
		g.logger.Info().Int("Seeds", len(settings.Seeds)).Err(err).Msg("settings reloaded")
	}
}
