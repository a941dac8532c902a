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

// AwaitReady waits until the /readyz endpoint of a daemon's admin listener returns
// 200.
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

// await polls ready every readyInterval. It fails if the process ends or
// readyTimeout expires.
func (p *Process) await(ctx context.Context, address string, ready func() bool) error {
	deadline := time.Now().Add(readyTimeout)
	for !ready() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.done:
			return fmt.Errorf("%s exited during startup, see %s", p.command.Path, p.log.Name())
		case <-time.After(readyInterval):
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s at %s did not become ready in time, see %s", p.command.Path, address, p.log.Name())
		}
	}
	return nil
}
