package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"
)

// Shutdown stops the host without interrupting a request. It removes the host from look-up responses, serves until cached
// responses have expired, finishes the requests in progress, returns quota, releases slots and closes all parts. It is
// bounded by ctx and by the setting shutdown-limit. The error joins those of the steps that failed or did not finish in
// time. Shutdown returns nil at once if the host is already stopping.
func (h *Host) Shutdown(ctx context.Context) error {
	if h.stopping.Swap(true) {
		return nil
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, h.settings.ShutdownLimit)
	defer cancel()
	_ = level.Info(h.logger).Log("msg", "Shutdown started.", "limit", h.settings.ShutdownLimit)
	sleep(ctx, h.settings.LookupTTL)
	err := errors.Join(
		h.caller.server.Shutdown(ctx),
		h.relay.Shutdown(ctx),
		h.leaseManager.Stop(ctx),
		h.slotKeeper.Release(ctx),
		h.closeParts(ctx),
	)
	_ = level.Info(h.logger).Log("msg", "Shutdown finished.", "took", time.Since(start), "err", err)
	return err
}

// Abort closes the host at once, as a crash does. It returns no quota and releases no slots.
func (h *Host) Abort(ctx context.Context) error {
	h.stopping.Store(true)
	for _, l := range []listener{h.caller, h.peer, h.admin} {
		_ = l.server.Close()
	}
	// With a cancelled context, Stop ends its goroutines and sends nothing.
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	_ = h.leaseManager.Stop(cancelled)
	return errors.Join(h.slotKeeper.Close(ctx), h.closeParts(ctx))
}

func (h *Host) closeParts(ctx context.Context) error {
	h.requestQueue.Stop()
	return errors.Join(
		h.prober.Close(ctx),
		h.blocks.Close(ctx),
		h.follower.Close(ctx),
		h.mesh.Close(ctx),
		h.peer.server.Shutdown(ctx),
		h.admin.server.Shutdown(ctx),
	)
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
