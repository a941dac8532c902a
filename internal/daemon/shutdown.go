package daemon

import (
	"context"
	"errors"
	"net/http"
	"os"
	"syscall"
	"time"

	"mimosafront/internal/settings"
)

// closeTimeout bounds the end of connections that carry no request.
const closeTimeout = 2 * time.Second

// refusalLinger is how long a host that has ended its requests goes on to refuse
// new ones, so that callers with an open connection get an answer.
const refusalLinger = 300 * time.Millisecond

// errCut is returned by a stop that ended requests in progress.
var errCut = errors.New("requests in progress were cut")

// Stop shuts the host down gracefully: readiness turns red, new requests are
// refused as not run, and those in progress end whole. It returns an error if
// ctx ended or the drain timeout passed first and requests were cut.
func (d *Daemon) Stop(ctx context.Context) error {
	d.config.Logger.Info("stopping", "requests", len(d.front.Active()))
	d.operations.Seal()
	d.front.Leave()
	leave := settings.Milliseconds(d.config.Settings.Front.LeaveMs)
	if leave == 0 {
		d.front.Stop()
	}
	d.handOver(ctx)
	if err := d.control.Leave(ctx); err != nil {
		d.config.Logger.Warn("the stop was not announced", "error", err)
	}
	pause(ctx, leave)
	d.front.Stop()
	if limit := settings.Milliseconds(d.config.Settings.Front.DrainTimeoutMs); limit > 0 {
		bounded, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		ctx = bounded
	}
	drained := d.front.Drain(ctx)
	if drained == nil {
		pause(ctx, refusalLinger)
	} else {
		d.front.Cut()
		d.awaitCutRequests()
		drained = errCut
	}
	d.close()
	d.config.Logger.Info("stopped")
	return drained
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// awaitCutRequests gives the requests that were cut the time to write their errors.
func (d *Daemon) awaitCutRequests() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = d.front.Drain(ctx)
}

// close ends the listeners and the control state.
func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, server := range d.servers {
		shutdown(ctx, server)
	}
	d.links.Flush(flushTimeout)
	d.cancel()
	d.tasks.Wait()
	_ = d.metrics.Close()
}

func shutdown(ctx context.Context, server *http.Server) {
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// Run starts the host and serves until a signal stops it. SIGHUP reads the
// policy file again. The first SIGTERM or SIGINT stops gracefully; a second
// logs the requests in progress and cuts them.
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

// stopOnSignals stops gracefully until another signal asks to cut.
func (d *Daemon) stopOnSignals(signals <-chan os.Signal) error {
	ctx, cut := context.WithCancel(context.Background())
	defer cut()
	go func() {
		for {
			select {
			case s := <-signals:
				if s != syscall.SIGHUP {
					cut()
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return d.Stop(ctx)
}
