package localproc

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	// readyTimeout bounds the start of a process.
	readyTimeout = 20 * time.Second
	// readyInterval separates two probes of a starting process.
	readyInterval = 50 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
)

// AwaitListener waits until a process accepts connections at an address.
func (p *Process) AwaitListener(ctx context.Context, address string) error {
	return p.await(ctx, address, func() bool {
		conn, err := net.DialTimeout("tcp", address, readyInterval)
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	})
}

var probeClient = &http.Client{Timeout: probeTimeout}

// AwaitReady waits until a daemon is ready, as its admin listener says.
func (p *Process) AwaitReady(ctx context.Context, address string) error {
	return p.await(ctx, address, func() bool {
		response, err := probeClient.Get("http://" + address + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// await probes a process until it is ready, has ended or takes too long.
func (p *Process) await(ctx context.Context, address string, ready func() bool) error {
	deadline := time.Now().Add(readyTimeout)
	for !ready() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.done:
			return fmt.Errorf("%s ended at its start, see %s", p.command.Path, p.log.Name())
		case <-time.After(readyInterval):
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s at %s is not ready, see %s", p.command.Path, address, p.log.Name())
		}
	}
	return nil
}
