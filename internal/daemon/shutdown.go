package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// shutdown stops the daemon without cutting off a request:
//
//  1. readiness turns red and the coordinator role is handed over;
//  2. after the balancer's grace no new request arrives;
//  3. queued requests move to another entry VM, dispatched ones run to their end;
//  4. every caller has its answer before the listener closes;
//  5. permits are given back and the last records are stored.
//
// The peer listener closes last: a refused connection there means that the process is gone.
func (d *Daemon) shutdown(stop context.CancelFunc) error {
	d.log.Info().Msg("Graceful shutdown started.")
	ctx, cancel := context.WithTimeout(context.Background(), d.set.DrainTimeout)
	defer cancel()
	d.leave(ctx)
	var err error
	d.jobs.BeginDrain()
	if e := d.jobs.Wait(ctx); e != nil {
		err = errors.Wrap(e, "daemon: requests still running")
	}
	if e := d.callers.Shutdown(ctx); e != nil && err == nil {
		err = errors.Wrap(e, "daemon: callers still waiting")
	}
	d.awaitReleases(ctx)
	if e := d.closeAccount(); e != nil && err == nil {
		err = errors.Wrap(e, "daemon: records not stored")
	}
	stop()
	d.control.Stop()
	_ = d.operators.Close()
	d.peers.Close()
	d.log.Info().Err(err).Msg("Daemon stopped.")
	return err
}

// leave turns readiness red and waits until the balancer has noticed.
func (d *Daemon) leave(ctx context.Context) {
	grace := time.NewTimer(d.set.BalancerGrace)
	defer grace.Stop()
	lctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := d.control.BeginShutdown(lctx); err != nil {
		d.log.Warn().Err(err).Msg("Coordinator role not handed over; its lease will lapse.")
	}
	select {
	case <-grace.C:
	case <-ctx.Done():
	}
}

// awaitReleases waits until the coordinator has taken all permits back. Permits that
// are not given back are freed when the minions report the jobs as over.
func (d *Daemon) awaitReleases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	tick := time.NewTicker(pendingCheck)
	defer tick.Stop()
	for d.control.PendingReleases() > 0 {
		select {
		case <-ctx.Done():
			d.log.Warn().Int("permits", d.control.PendingReleases()).Msg("Permits not given back before the end.")
			return
		case <-tick.C:
		}
	}
}

func (d *Daemon) closeAccount() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return d.ledger.Close(ctx)
}
