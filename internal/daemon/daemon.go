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

	listener      net.Listener
	adminListener net.Listener
	// readyListener is nil unless the settings name a listener for readiness alone.
	readyListener net.Listener
	servers       []*http.Server
	cancel        context.CancelFunc
	tasks         conc.WaitGroup
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

		PolicyFetchDelay: d.policyFetchDelay(),
		Engines:          d.engines(),
		Logger:           c.Logger,
		Metrics:          d.metrics.Scope,
	})
	return d
}

// setUpFront joins the front and the operations to the control state.
func (d *Daemon) setUpFront() error {
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
	if err := d.setUpFront(); err != nil {
		return err
	}
	if err := d.listen(); err != nil {
		return err
	}
	if err := d.openLinks(); err != nil {
		return errors.Join(err, d.listener.Close(), d.adminListener.Close())
	}
	ctx, d.cancel = context.WithCancel(context.WithoutCancel(ctx))
	d.tasks.Go(func() { d.runLinks(ctx) })
	d.tasks.Go(func() { d.runControl(ctx) })
	d.tasks.Go(func() { d.operations.Run(ctx) })
	d.tasks.Go(func() { d.operations.RunHandovers(ctx) })
	d.tasks.Go(func() { d.runPlatform(ctx) })
	d.tasks.Go(func() { d.front.WatchProcessor(ctx) })
	d.serve(d.front.Server(), d.listener)
	d.serve(&http.Server{Handler: d.adminHandler(), ReadHeaderTimeout: adminHeaderTimeout}, d.adminListener)
	if d.readyListener != nil {
		d.serve(&http.Server{Handler: d.readyHandler(), ReadHeaderTimeout: adminHeaderTimeout}, d.readyListener)
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
	d.listener, d.adminListener = listener, admin
	if s.ReadyListen == "" {
		return nil
	}
	if d.readyListener, err = net.Listen("tcp", s.ReadyListen); err != nil {
		return errors.Join(fmt.Errorf("listener for readiness: %w", err), listener.Close(), admin.Close())
	}
	return nil
}

func (d *Daemon) serve(server *http.Server, listener net.Listener) {
	d.servers = append(d.servers, server)
	d.tasks.Go(func() {
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
func (d *Daemon) AdminAddress() string { return d.adminListener.Addr().String() }
