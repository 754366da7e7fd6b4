package gateway

import (
	"context"
	"time"

	"github.com/cuminroute/cuminroute/pkg/proxy"
)

// trackRequest counts a request as in flight until end is called, or refuses it if the instance no longer waits for requests or runs too
// many. closing reports whether the request's connection must be closed after the response.
func (g *Gateway) trackRequest() (end func(), closing bool, err error) {
	leave, err := g.requests.Enter()
	if err != nil {
		return func() {}, true, proxy.StoppingError()
	}
	if g.requests.Running() > maxRunning(g.settings) && !g.endIncompleteRequest() {
		leave()
		g.full.Inc(1)
		return func() {}, false, fullError()
	}
	if !g.stopping.Load() {
		return leave, false, nil
	}
	g.runningSinceStop.Add(1)
	g.lastReceivedAfter.Store(int64(time.Since(*g.stoppingSince.Load())))
	return func() {
		g.runningSinceStop.Add(-1)
		leave()
	}, true, nil
}

// mustEndBy returns when a request that is sent to a target now must have ended at the latest, or zero if there is no bound: a
// later end would not reach the client before the process exits.
func (g *Gateway) mustEndBy() time.Time {
	since := g.stoppingSince.Load()
	if since == nil || time.Since(*since) <= min(longRequestCutoff, g.waitDuration()/2) {
		return time.Time{}
	}
	return g.waitEnd(*since)
}

// waitEnd returns when an instance that stops since the given time no longer waits for requests.
func (g *Gateway) waitEnd(stoppingSince time.Time) time.Time {
	return stoppingSince.Add(g.waitDuration())
}

// waitDuration is how long a stopping instance waits for its requests at most.
func (g *Gateway) waitDuration() time.Duration { return max(g.settings.GracePeriod-killMargin, 0) }

// stopGracefully makes the instance unready, waits for unreadyDelay, and then waits until the requests in flight have
// ended or the grace period is nearly over. From then on it refuses requests, so that none is sent to a target while the
// connections are closed. The listeners are closed only after it returns.
func (g *Gateway) stopGracefully(ctx context.Context) error {
	started := time.Now()
	g.stoppingSince.Store(&started)
	g.stopping.Store(true)
	g.logger.Info().Int("Running", g.requests.Running()).Msg("stopping")
	deadline := g.waitEnd(started)
	waitFor(ctx, min(unreadyDelay, g.waitDuration()))
	for !g.drainIfIdle() && time.Now().Before(deadline) && ctx.Err() == nil {
		waitFor(ctx, idleCheckInterval)
	}
	g.requests.Drain()
	if n, relayed := g.requests.Running(), g.peers.node.Relayed(); n > 0 || relayed > 0 {
		entry := g.logger.Warn().Int("Running", n).Int("Relayed", relayed).Int64("ReceivedSinceStop", g.runningSinceStop.Load())
		if after := g.lastReceivedAfter.Load(); after != 0 {
			entry = entry.Dur("LastReceivedAfter", time.Duration(after))
		}
		entry.Msg("requests cut off at the end of the grace period")
		g.server.LogStreams(started, "stream still runs at the end of the grace period")
		time.AfterFunc(lastResponseWait, g.server.EndRequests)
	}
	return nil
}

// drainIfIdle refuses requests from now on, and reports true, if nothing runs here: neither requests of clients nor those of other
// instances, whose connections to their targets this instance relays.
func (g *Gateway) drainIfIdle() bool {
	return g.peers.node.Relayed() == 0 && g.requests.DrainIfIdle()
}

// reload reads the settings again on each reload signal and applies the seeds. Other settings of a running process do not change.
func (g *Gateway) reload(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.reloadSignal:
		}
		settings, err := g.platform.Reload()
		if err == nil {
			g.peers.node.SetSeeds(settings.Seeds)
		}
		g.logger.Info().Int("Seeds", len(settings.Seeds)).Err(err).Msg("settings reloaded")
	}
}
