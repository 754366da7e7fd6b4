package daemon

import (
	"context"
	"time"

	"github.com/cuminroute/cuminroute/pkg/sleep"
)

// shutdownTimeout limits the wait until the assignment lease, by which one instance assigns layers to targets,
// is released. The last assignment has to end first, which takes at most 3 s.
const shutdownTimeout = 5 * time.Second

const (
	// relayDrainTimeout limits the wait for the requests of other instances, whose connections to their targets this one relays.
	relayDrainTimeout = 10 * time.Second
	// relayCheckInterval is how often a stopping instance checks whether these requests have ended.
	relayCheckInterval = 20 * time.Millisecond
)

// Ready reports whether the load balancer may send clients to this instance.
func (d *Daemon) Ready() bool {
	return !d.isStopping() && d.node.View().Ready() && d.control.listed.Load() && d.control.routesKnown.Load()
}

// isStopping reports whether a planned stop has begun.
func (d *Daemon) isStopping() bool {
	select {
	case <-d.stopping:
		return true
	default:
		return false
	}
}

// drain is the first phase of a planned stop: the instance reports that it is not ready for the StopNotice
// of the settings, then refuses new requests and waits for the running ones. No timeout ends a running request. Requests of other
// instances that are relayed here have relayDrainTimeout after that.
func (d *Daemon) drain(ctx context.Context) error {
	close(d.stopping)
	d.logger.Info().Int("Running", d.running.Running()).Msg("stopping")
	select {
	case <-time.After(d.settings.StopNotice):
	case <-ctx.Done():
	}
	d.running.Drain()
	if err := d.running.Wait(ctx); err != nil {
		return err
	}
	d.waitForRelays(ctx)
	return nil
}

// waitForRelays waits until no relayed connection carries a request. Connections that others keep without a request do not count.
func (d *Daemon) waitForRelays(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, relayDrainTimeout)
	defer cancel()
	for d.node.RelaysInUse() > 0 {
		if sleep.For(ctx, relayCheckInterval) != nil {
			d.logger.Warn().Int("Relayed", d.node.RelaysInUse()).Msg("requests of other instances cut off")
			return
		}
	}
}

// shutdown closes the remaining components after the listeners are closed. It releases the assignment
// lease unless the instance was killed.
func (d *Daemon) shutdown(ctx context.Context) {
	d.runner.Close()
	bounded, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := d.placementController.Close(bounded); err != nil && ctx.Err() == nil {
		d.logger.Warn().Err(err).Msg("cannot release the assignment lease")
	}
	if err := d.node.Close(); err != nil {
		d.logger.Warn().Err(err).Msg("cannot announce to the other instances that this one leaves")
	}
	d.claimer.Close()
	d.services.Close()
	d.engines.Close()
	d.cancel()
	d.table.Close()
	d.objects.Close()
	d.list.Close()
	d.logger.Info().Msg("stopped")
}

// Stop stops the instance after its running requests have ended. If ctx ends first, Stop returns the
// error of ctx and the instance continues to stop.
func (d *Daemon) Stop(ctx context.Context) error {
	d.stopOnce.Do(func() {
		go func() { _ = d.app.Stop() }()
	})
	select {
	case <-d.done:
		return d.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Kill ends the instance without waiting for running requests, like a crash of its host.
func (d *Daemon) Kill() {
	_ = d.clientServer.Close()
	_ = d.operatorServer.Close()
	d.cancel()
	<-d.done
}

// Wait waits until the instance has ended, and returns the error with which it ended.
func (d *Daemon) Wait() error {
	<-d.done
	return d.err
}
