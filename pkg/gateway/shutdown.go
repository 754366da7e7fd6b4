package gateway

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// enter counts a request in and reports whether its connection is to be closed after the answer.
func (s *Gateway) enter() (end func(), closing bool) {
	s.running.Add(1)
	return func() { s.running.Add(-1) }, s.stopping.Load()
}

// stopsSoon reports whether a long request that comes now might not end before the kill.
func (s *Gateway) stopsSoon() bool {
	return s.stopping.Load() && time.Since(time.Unix(0, s.stopAt.Load())) > lastStream
}

// drain is a planned stop: not ready, then no new connections, then the end of the running requests.
func (s *Gateway) drain(ctx context.Context) error {
	started := time.Now()
	s.stopAt.Store(started.UnixNano())
	s.stopping.Store(true)
	s.logger.Info().Int64("Running", s.running.Load()).Msg("stopping")
	last := started.Add(s.settings.GracePeriod - killMargin)
	waitFor(ctx, noticeTime)
	for s.running.Load() > 0 && time.Now().Before(last) && ctx.Err() == nil {
		waitFor(ctx, 20*time.Millisecond)
	}
	if n := s.running.Load(); n > 0 {
		s.logger.Warn().Int64("Running", n).Msg("requests cut off, the time to stop is over")
	}
	return nil
}

// reload takes in changed settings. The addresses of a running process stay as they are.
func (s *Gateway) reload(ctx context.Context) {
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		settings, err := s.platform.Reload()
		if err == nil {
			s.peers.node.SetSeeds(settings.Seeds)
		}
		s.logger.Info().Int("Seeds", len(settings.Seeds)).Err(err).Msg("settings read again")
	}
}
