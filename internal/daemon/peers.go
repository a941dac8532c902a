package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"mimosafront/internal/peer"
	"mimosafront/internal/settings"
)

// flushTimeout bounds the time in which a stopping host writes its last frames to
// its peers.
const flushTimeout = 500 * time.Millisecond

// expectsPeers reports whether the settings name seeds or a platform, from which
// this host can discover peers.
func expectsPeers(s *settings.Settings) bool {
	return s.Peer.Seeds != "" || s.Platform.Address != ""
}

// openLinks opens the listener for other entry hosts and connects the peer links to
// the control loop.
func (d *Daemon) openLinks() error {
	s := d.config.Settings
	links, err := peer.New(peer.Config{
		Host: s.Node.Name, Zone: s.Node.Zone, Incarnation: d.incarnation, Weight: s.Node.Weight,
		Settings: s.Peer, Handler: d.control, Logger: d.config.Logger, Metrics: d.metrics.Scope,
	})
	if err != nil {
		return err
	}
	d.links = links
	d.control.Connect(links)
	return nil
}

func (d *Daemon) runLinks(ctx context.Context) {
	if err := d.links.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		d.config.Logger.Error("peer links ended", "error", err)
	}
}

// PeerAddress returns the address of the peer listener, ip:port.
func (d *Daemon) PeerAddress() string { return d.links.Address() }

// serveStatus writes the status report of the host as JSON.
func (d *Daemon) serveStatus(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(d.control.Status(r.Context()))
}
