package daemon

import (
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"time"

	"mimosafront/internal/operation"
	"mimosafront/internal/settings"
)

const (
	// minTicketKeyBytes is the minimum length of the key that signs tickets.
	minTicketKeyBytes = 32
	// handoverTimeout bounds the wait for running operations and the handover of the
	// key table, taken together, at a planned stop.
	handoverTimeout = 5 * time.Second
)

// ticketKey reads the key that signs operation tickets. Without a path it generates
// a random key, which is valid until the process ends.
func ticketKey(path string) ([]byte, error) {
	if path == "" {
		key := make([]byte, minTicketKeyBytes)
		_, err := rand.Read(key)
		return key, err
	}
	key, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if len(key) < minTicketKeyBytes {
		return nil, fmt.Errorf("ticket key file %s: %d bytes, want at least %d", path, len(key), minTicketKeyBytes)
	}
	return key, nil
}

// newOperations returns the service that runs calls which must not be repeated, and
// registers it with the control loop for messages of peers.
func (d *Daemon) newOperations() (*operation.Service, error) {
	s := d.config.Settings
	key, err := ticketKey(s.Peer.TicketKeyFile)
	if err != nil {
		return nil, err
	}
	operations := operation.NewService(operation.Config{
		Host:        s.Node.Name,
		Zone:        s.Node.Zone,
		Incarnation: d.incarnation,
		Key:         key,
		Policy:      d.policies.Current,
		Forwarder:   d.control,
		MaxPause:    settings.Milliseconds(s.Peer.SuspectMs),
		Logger:      d.config.Logger,
	})
	d.control.SetOperationHandler(operations.Handle)
	d.control.SetHandoverHandler(operations.ReceiveHandoverPart, operations.ReceiveHandoverAck)
	return operations, nil
}

// handOver waits for running operations and transfers the key table to the hosts
// that become its keepers. It must be called before the host announces that it
// leaves.
func (d *Daemon) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := d.operations.Wait(ctx); err != nil {
		d.config.Logger.Warn("operations still running at the handover", "error", err)
	}
	d.operations.HandOver(ctx)
}
