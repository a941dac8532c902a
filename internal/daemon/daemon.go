// Package daemon runs one entry host: it joins the front, the control state, the
// policy and the listeners, and stops them in order.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"mimosafront/internal/control"
	"mimosafront/internal/eventlog"
	"mimosafront/internal/front"
	"mimosafront/internal/metrics"
	"mimosafront/internal/operation"
	"mimosafront/internal/peer"
	"mimosafront/internal/policy"
	"mimosafront/internal/policystore"
	"mimosafront/internal/settings"
)

// Config holds what a Daemon needs.
type Config struct {
	Settings *settings.Settings
	Logger   *eventlog.Logger
	// Policy is in force from the start, in place of the settings' policy file;
	// it may be nil.
	Policy *policy.Policy
	// Adapter speaks with a platform that the settings name as a store; it may be nil
	// otherwise.
	Adapter *Adapter
}

// Daemon is one entry host. Start comes first, then Stop or Cut.
type Daemon struct {
	config      Config
	incarnation int
	metrics     *metrics.Root
	policies    *policystore.Store
	control     *control.Loop
	links       *peer.Links
	operations  *operation.Service
	front       *front.Front

	listener net.Listener
	admin    net.Listener
	// ready is nil unless the settings name a listener for readiness alone.
	ready   net.Listener
	servers []*http.Server
	cancel  context.CancelFunc
	running conc.WaitGroup
}

// New returns a Daemon that is not started.
func New(c Config) *Daemon {
	d := &Daemon{
		config:      c,
		incarnation: int(time.Now().UnixMilli()),
		metrics:     metrics.NewRoot(func(err error) { c.Logger.Error("metric not exposed", "error", err) }),
		policies:    policystore.New(),
	}
	c.Logger.OnDrop(metrics.NewLog(d.metrics.Scope).Dropped)
	s := c.Settings
	d.control = control.New(control.Config{
		Settings:     s,
		Incarnation:  d.incarnation,
		Policies:     d.policies,
		ExpectsPeers: expectsPeers(s),
		Loads:        d.loadReader(),

		PolicyFetchDelay: d.policyPatience(),
		Engines:          d.engines(),
		Logger:           c.Logger,
		Metrics:          d.metrics.Scope,
	})
	return d
}

// openFront joins the front and the operations to the control state.
func (d *Daemon) openFront() error {
	operations, err := d.newOperations()
	if err != nil {
		return err
	}
	d.operations = operations
	d.front = front.New(front.Config{
		Settings:   d.config.Settings.Front,
		Policy:     d.policies.Current,
		Scheduler:  d.control,
		Operations: operations,
		Metrics:    metrics.NewFront(d.metrics.Scope),
		Logger:     d.config.Logger,
		Headers:    d.routeHeaders(),
	})
	operations.SetRunner(d.front)
	return nil
}

// Start reads the policy, opens the listeners and serves. It returns once the
// listeners are open.
func (d *Daemon) Start(ctx context.Context) error {
	if err := d.loadPolicy(); err != nil {
		return err
	}
	if err := d.openFront(); err != nil {
		return err
	}
	if err := d.listen(); err != nil {
		return err
	}
	if err := d.openLinks(); err != nil {
		return errors.Join(err, d.listener.Close(), d.admin.Close())
	}
	ctx, d.cancel = context.WithCancel(context.WithoutCancel(ctx))
	d.running.Go(func() { d.runLinks(ctx) })
	d.running.Go(func() { d.runControl(ctx) })
	d.running.Go(func() { d.operations.Run(ctx) })
	d.running.Go(func() { d.operations.RunHandovers(ctx) })
	d.running.Go(func() { d.runPlatform(ctx) })
	d.running.Go(func() { d.front.MonitorOverload(ctx) })
	d.serve(d.front.Server(), d.listener)
	d.serve(&http.Server{Handler: d.adminHandler(), ReadHeaderTimeout: adminTimeout}, d.admin)
	if d.ready != nil {
		d.serve(&http.Server{Handler: d.readyHandler(), ReadHeaderTimeout: adminTimeout}, d.ready)
	}
	d.config.Logger.Info("started", "host", d.config.Settings.Node.Name, "zone", d.config.Settings.Node.Zone,
		"incarnation", d.incarnation, "listen", d.Address(), "admin", d.AdminAddress())
	return nil
}

func (d *Daemon) listen() error {
	s := d.config.Settings.Front
	listener, err := d.front.Listen(s.Listen)
	if err != nil {
		return fmt.Errorf("listener for callers: %w", err)
	}
	admin, err := net.Listen("tcp", s.AdminListen)
	if err != nil {
		return errors.Join(fmt.Errorf("listener for operators: %w", err), listener.Close())
	}
	d.listener, d.admin = listener, admin
	if s.ReadyListen == "" {
		return nil
	}
	if d.ready, err = net.Listen("tcp", s.ReadyListen); err != nil {
		return errors.Join(fmt.Errorf("listener for readiness: %w", err), listener.Close(), admin.Close())
	}
	return nil
}

func (d *Daemon) serve(server *http.Server, listener net.Listener) {
	d.servers = append(d.servers, server)
	d.running.Go(func() {
		if err := d.serveOn(server, listener); !errors.Is(err, http.ErrServerClosed) {
			d.config.Logger.Error("listener failed", "address", listener.Addr(), "error", err)
		}
	})
}

// serveOn serves callers by TLS if the settings name a certificate.
func (d *Daemon) serveOn(server *http.Server, listener net.Listener) error {
	s := d.config.Settings.Front
	if listener == d.listener && s.TlsCertificate != "" {
		return server.ServeTLS(listener, s.TlsCertificate, s.TlsKey)
	}
	return server.Serve(listener)
}

func (d *Daemon) runControl(ctx context.Context) {
	if err := d.control.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		d.config.Logger.Error("control loop ended", "error", err)
	}
}

// Address returns the address for callers, ip:port.
func (d *Daemon) Address() string { return d.listener.Addr().String() }

// AdminAddress returns the address for operators, ip:port.
func (d *Daemon) AdminAddress() string { return d.admin.Addr().String() }
