package daemon

import (
	"context"
	"errors"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"mimosafront/internal/settings"
)

// closeTimeout bounds the time to close idle connections, and the time in which
// requests that were cut write their errors.
const closeTimeout = 2 * time.Second

// acceptQueuedTimeout bounds the time to accept the connections that are queued. It only
// passes while new ones keep coming, to a host that has not been ready for leave_ms.
const acceptQueuedTimeout = 200 * time.Millisecond

// refusalLinger is how long a drained host keeps its connections open and refuses new
// requests, so that callers on open connections get an answer.
const refusalLinger = 300 * time.Millisecond

// errCut is returned by Stop if requests in progress were cut.
var errCut = errors.New("requests in progress were cut")

// Stop shuts the host down gracefully: the readiness check fails, new requests are
// refused with the verdict not_run once leave_ms have passed, and requests in progress
// run to completion. If ctx ends or the drain timeout expires first, the remaining
// requests are cut and Stop returns an error. Duties are handed over meanwhile: however
// long that takes, both times count from the start of the stop.
func (d *Daemon) Stop(ctx context.Context) error {
	d.config.Logger.Info("stopping", "requests", len(d.front.Active()))
	refuseAt := time.Now().Add(settings.Milliseconds(d.config.Settings.Front.LeaveMs))
	d.operations.Seal()
	d.front.Leave()
	var cut time.Time
	if limit := settings.Milliseconds(d.config.Settings.Front.DrainTimeoutMs); limit > 0 {
		cut = refuseAt.Add(limit)
	}
	if !time.Now().Before(refuseAt) {
		d.front.Stop(cut)
	}
	var handover conc.WaitGroup
	handover.Go(func() { d.handOverDuties(ctx) })
	pause(ctx, time.Until(refuseAt))
	d.front.Stop(cut)
	draining := ctx
	if !cut.IsZero() {
		bounded, cancel := context.WithDeadline(ctx, cut)
		defer cancel()
		draining = bounded
	}
	drained := d.front.Drain(draining)
	if drained == nil {
		handover.Wait()
		pause(draining, refusalLinger)
	} else {
		d.front.CancelAll()
		d.awaitCutRequests()
		handover.Wait()
		drained = errCut
	}
	d.close()
	d.config.Logger.Info("stopped")
	return drained
}

// handOverDuties hands the keys of operations and the coordinated pools over to other
// hosts.
func (d *Daemon) handOverDuties(ctx context.Context) {
	d.handOver(ctx)
	if err := d.control.Leave(ctx); err != nil {
		d.config.Logger.Warn("leave not announced to peers", "error", err)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// awaitCutRequests waits until the requests that were cut have written their errors.
func (d *Daemon) awaitCutRequests() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = d.front.Drain(ctx)
}

// close closes the listeners, flushes the peer links and stops all background tasks.
func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	d.acceptQueued()
	for _, server := range d.servers {
		shutdown(ctx, server)
	}
	d.links.Flush(flushTimeout)
	d.cancel()
	d.tasks.Wait()
	_ = d.metrics.Close()
}

// acceptQueued accepts the connections of callers that the kernel has queued, so that they
// get an answer in place of a reset.
func (d *Daemon) acceptQueued() {
	ctx, cancel := context.WithTimeout(context.Background(), acceptQueuedTimeout)
	defer cancel()
	if l, ok := d.listener.(interface{ AcceptQueued(context.Context) }); ok {
		l.AcceptQueued(ctx)
	}
}

func shutdown(ctx context.Context, server *http.Server) {
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// Run starts the host and serves until a signal or the end of ctx stops it. SIGHUP
// reloads the policy file. The first SIGTERM or SIGINT starts a graceful stop. Further
// SIGTERMs change nothing, since planned stops may overlap; a SIGINT during the stop logs
// the requests in progress and cuts them.
func (d *Daemon) Run(ctx context.Context, signals <-chan os.Signal) error {
	if err := d.Start(ctx); err != nil {
		return err
	}
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				d.Reload()
				continue
			}
		case <-ctx.Done():
		}
		return d.stopOnSignals(signals)
	}
}

// stopOnSignals stops gracefully. A SIGINT cuts the requests in progress; other signals
// change nothing.
func (d *Daemon) stopOnSignals(signals <-chan os.Signal) error {
	ctx, cut := context.WithCancel(context.Background())
	defer cut()
	go func() {
		for {
			select {
			case s := <-signals:
				if s == syscall.SIGINT {
					cut()
					return
				}
				d.config.Logger.Info("signal ignored: the host is stopping", "signal", s)
			case <-ctx.Done():
				return
			}
		}
	}()
	return d.Stop(ctx)
}
