package daemon

import (
	"context"
	"time"
)

// releaseLimit bounds the wait before the lease for orders is given up: the last order has to end
// first, which takes 3 s at most.
const releaseLimit = 5 * time.Second

// Ready reports whether callers may be sent here.
func (d *Daemon) Ready() bool {
	select {
	case <-d.stopping:
		return false
	default:
		return d.node.View().Ready() && d.control.listed.Load() && d.control.routed.Load()
	}
}

// drain is the first part of a planned stop: not ready, then no new requests, then wait for the
// running ones. No timeout cuts a request off.
func (d *Daemon) drain(ctx context.Context) error {
	close(d.stopping)
	d.logger.Info().Int("Running", d.running.Running()).Msg("stopping")
	select {
	case <-time.After(d.settings.StopNotice):
	case <-ctx.Done():
	}
	d.running.Drain()
	return d.running.Wait(ctx)
}

// release ends what is left after the listeners are closed. The lease for orders is given up unless
// the instance was killed.
func (d *Daemon) release(ctx context.Context) {
	d.runner.Close()
	bounded, cancel := context.WithTimeout(ctx, releaseLimit)
	defer cancel()
	if err := d.keeper.Close(bounded); err != nil && ctx.Err() == nil {
		d.logger.Warn().Err(err).Msg("the lease for orders could not be given up")
	}
	if err := d.node.Close(); err != nil {
		d.logger.Warn().Err(err).Msg("the departure could not be announced")
	}
	d.clerk.Close()
	d.services.Close()
	d.engines.Close()
	d.cancel()
	d.table.Close()
	d.objects.Close()
	d.list.Close()
	d.logger.Info().Msg("stopped")
}

// Stop stops the instance without cutting off any request. It returns early, with the context's
// error, if ctx ends first; the stop then goes on.
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

// Kill ends the instance at once, as the loss of its machine would.
func (d *Daemon) Kill() {
	_ = d.callers.Close()
	_ = d.operators.Close()
	d.cancel()
	<-d.done
}

// Wait returns when the instance has ended.
func (d *Daemon) Wait() error {
	<-d.done
	return d.err
}
