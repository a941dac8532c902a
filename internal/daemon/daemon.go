// Package daemon runs one entry host. It creates the front, the control loop, the
// policy store, the peer links and the listeners, connects them, and shuts them
// down in order.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"mimosafront/internal/announce"
	"mimosafront/internal/control"
	"mimosafront/internal/discovery"
	"mimosafront/internal/evacuation"
	"mimosafront/internal/eventlog"
	"mimosafront/internal/front"
	"mimosafront/internal/metrics"
	"mimosafront/internal/operation"
	"mimosafront/internal/peer"
	"mimosafront/internal/policy"
	"mimosafront/internal/policystore"
	"mimosafront/internal/settings"
)

// Config holds the settings and dependencies of a Daemon.
type Config struct {
	Settings *settings.Settings
	Logger   *eventlog.Logger
	// Policy, if not nil, is in force from the start and replaces the policy file of
	// the settings.
	Policy *policy.Policy
	// Adapter connects to a platform whose protocol is set to "store". It may be nil
	// with any other protocol.
	Adapter *Adapter
}

// Daemon is one entry host. Run runs it until a signal. Alternatively Start starts it
// and Stop stops it; Stop and the addresses may only be used once Start has succeeded.
type Daemon struct {
	config      Config
	incarnation int
	metrics     *metrics.Root
	policies    *policystore.Store
	// policyReads belongs to the goroutine that follows the platform's store.
	policyReads policyReads
	// announcements are what backend servers announce about themselves.
	announcements *announce.Table
	// evacuations holds the evacuated availability zones.
	evacuations *evacuation.Table
	// storeReports are what other hosts report of the platform's store.
	storeReports *discovery.Reports
	control      *control.Loop
	links        *peer.Links
	operations   *operation.Service
	front        *front.Front

	listener      net.Listener
	adminListener net.Listener
	// readyListener is nil unless the settings name a separate readiness listener.
	readyListener net.Listener
	servers       []*http.Server
	cancel        context.CancelFunc
	tasks         conc.WaitGroup
}

// New returns a Daemon that has not been started. Its incarnation is the current
// time in Unix milliseconds.
func New(c Config) *Daemon {
	d := &Daemon{
		config:      c,
		incarnation: int(time.Now().UnixMilli()),
		metrics:     metrics.NewRoot(func(err error) { c.Logger.Error("metric not exposed", "error", err) }),
		policies:    policystore.New(),

		announcements: announce.New(),
		evacuations:   evacuation.New(),
		storeReports:  discovery.NewReports(),
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
		Announcements:    d.announcements,
		Evacuations:      d.evacuations,
		StoreReports:     d.storeReports,
		Logger:           c.Logger,
		Metrics:          d.metrics.Scope,
	})
	return d
}

// setUpFront creates the front and the operation service and connects both to the
// control loop.
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

		Announcements: d.announcements,
		Evacuations:   d.evacuations,
		OnLeaving:     d.control.ServerLeaving,
		OnLimited:     d.control.ServerLimited,
		ServersKnown:  d.serversKnown(),
	})
	operations.SetRunner(d.front)
	return nil
}

// Start loads the policy, opens the listeners and starts to serve. It returns once
// the listeners are open. The end of ctx does not stop the daemon.
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
		return errors.Join(err, d.closeListeners())
	}
	ctx, d.cancel = context.WithCancel(context.WithoutCancel(ctx))
	d.tasks.Go(func() { d.runLinks(ctx) })
	d.tasks.Go(func() { d.runControl(ctx) })
	d.tasks.Go(func() { d.operations.Run(ctx) })
	d.tasks.Go(func() { d.operations.RunHandovers(ctx) })
	d.tasks.Go(func() { d.runPlatform(ctx) })
	d.tasks.Go(func() { d.front.MonitorOverload(ctx) })
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
		return fmt.Errorf("opening the caller listener: %w", err)
	}
	admin, err := net.Listen("tcp", s.AdminListen)
	if err != nil {
		return errors.Join(fmt.Errorf("opening the admin listener: %w", err), listener.Close())
	}
	d.listener, d.adminListener = listener, admin
	if s.ReadyListen == "" {
		return nil
	}
	if d.readyListener, err = net.Listen("tcp", s.ReadyListen); err != nil {
		return errors.Join(fmt.Errorf("opening the readiness listener: %w", err), listener.Close(), admin.Close())
	}
	return nil
}

// closeListeners closes what listen has opened.
func (d *Daemon) closeListeners() error {
	err := errors.Join(d.listener.Close(), d.adminListener.Close())
	if d.readyListener != nil {
		err = errors.Join(err, d.readyListener.Close())
	}
	return err
}

func (d *Daemon) serve(server *http.Server, listener net.Listener) {
	d.servers = append(d.servers, server)
	d.tasks.Go(func() {
		if err := d.serveOn(server, listener); !errors.Is(err, http.ErrServerClosed) {
			d.config.Logger.Error("listener failed", "address", listener.Addr(), "error", err)
		}
	})
}

// serveOn serves a listener. Callers are served over TLS if the settings name a
// certificate.
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

// Address returns the address of the caller listener, ip:port.
func (d *Daemon) Address() string { return d.listener.Addr().String() }

// AdminAddress returns the address of the admin listener, ip:port.
func (d *Daemon) AdminAddress() string { return d.adminListener.Addr().String() }
