// Package front serves callers. It authenticates, limits and queues their requests,
// dispatches each at most once to a backend server, and returns either the complete
// answer or an error with a verdict: whether the request may have run. Requests on
// routes may be sent to more than one server, as far as the policy allows it.
package front

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"mimosafront/internal/announce"
	"mimosafront/internal/backend"
	"mimosafront/internal/drain"
	"mimosafront/internal/evacuation"
	"mimosafront/internal/eventlog"
	"mimosafront/internal/grant"
	"mimosafront/internal/memlimit"
	"mimosafront/internal/message"
	"mimosafront/internal/metrics"
	"mimosafront/internal/policy"
	"mimosafront/internal/settings"
)

// Headers of requests from callers and of answers to them.
const (
	HeaderTier           = "Mimosa-Tier"
	HeaderDeadline       = "Mimosa-Deadline-Ms"
	HeaderTicket         = "Mimosa-Ticket"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "Mimosa-Request-Id"
	HeaderServer         = "Mimosa-Server"
	HeaderVerdict        = "Mimosa-Verdict"
	HeaderReplayed       = "Mimosa-Replayed"
	// HeaderOperation reports the state of an operation over all attempts.
	HeaderOperation  = "Mimosa-Operation"
	headerRetryAfter = "Retry-After"
)

// Operations executes calls that must not be repeated.
type Operations interface {
	// Mint returns a ticket for one operation of a caller on a service.
	Mint(caller policy.Caller, service string) (ticket string)
	// Execute runs an operation on the entry host that is responsible for it, or
	// returns the reply of an earlier execution.
	Execute(ctx context.Context, call message.OperationCall) message.OperationReply
}

// Config holds the settings and dependencies of a Front.
type Config struct {
	Settings settings.Front
	// Policy returns the policy in force, or nil before the first one is known.
	Policy     func() *policy.Policy
	Scheduler  grant.Scheduler
	Operations Operations
	Metrics    *metrics.Front
	Logger     *eventlog.Logger
	// Dial opens connections to backend servers; nil selects TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Announcements holds what servers announce in their answers. nil means a table of
	// this front alone.
	Announcements *announce.Table
	// Evacuations holds the availability zones whose servers get no requests. nil means
	// none.
	Evacuations *evacuation.Table
	// OnLeaving, if not nil, is called when a server announces to this host that it is
	// leaving and this host didn't know.
	OnLeaving func(policy.Server)
	// OnLimited, if not nil, is called when a server states to this host another limit of
	// requests per second than this host knew, 0 for none, or states it again after some
	// time.
	OnLimited func(server policy.Server, perS float64)
	// ServersKnown, if not nil, reports whether the backend servers have been discovered.
	// Before that, the front isn't ready.
	ServersKnown func() bool
	// Headers names the headers of routes. If it is set, the front serves the routes of
	// the policy in place of the API for callers.
	Headers *RouteHeaders
}

// Front is the part of an entry host that serves callers. It is safe for concurrent
// use.
type Front struct {
	config        Config
	dialer        backend.Dialer
	engine        backend.Engine
	service       backend.Service
	relay         backend.Relay
	admission     *admission
	overloadGuard overloadGuard
	active        *activeRequests
	retries       *retryBudget
	router        *httprouter.Router
	// answerMemory bounds what is held of answers.
	answerMemory *memlimit.Pool
	// connections are the connections of callers.
	connections *connections
	leaving     atomic.Bool
	// running ends when the front stops; endRun ends it.
	running context.Context
	endRun  context.CancelFunc
	// cut is when the requests in progress are cut, nil before Stop and without a cut.
	cut      atomic.Pointer[time.Time]
	runTimes *drain.RunTimes
	// background runs calls that no caller waits for.
	background conc.WaitGroup
}

// New returns a Front with the given configuration.
func New(c Config) *Front {
	if c.Announcements == nil {
		c.Announcements = announce.New()
	}
	if c.Evacuations == nil {
		c.Evacuations = evacuation.New()
	}
	dialer := backend.Dialer{
		ConnectTimeout: settings.Milliseconds(c.Settings.ConnectTimeoutMs),
		IdleTimeout:    settings.Milliseconds(c.Settings.StreamIdleTimeoutMs),
		Dial:           c.Dial,
		Memory:         backend.NewAnswerMemory(),
	}
	f := &Front{
		config:    c,
		admission: newAdmission(c.Settings.MaxMemoryBytes, c.Settings.MaxConnections),
		active:    newActiveRequests(),
		retries:   newRetryBudget(c.Settings.RetryRatio, c.Settings.RetryBurst),

		connections: newConnections(connectionsPerRequest * c.Settings.MaxConnections),
		runTimes:    drain.NewRunTimes(),

		answerMemory: dialer.Memory,
	}
	f.running, f.endRun = context.WithCancel(context.Background())
	dialer.OnAnnouncement = f.recordAnnouncement
	if c.Headers != nil {
		dialer.LeavingHeader, dialer.LimitHeader = c.Headers.Leaving, c.Headers.Limit
	}
	f.dialer, f.engine, f.service = dialer, backend.Engine{Dialer: dialer}, backend.Service{Dialer: dialer}
	if c.Headers != nil {
		f.relay = backend.Relay{Dialer: dialer, RequestIDHeader: c.Headers.RequestID, NotRunHeader: c.Headers.NotRun, IdleConns: backend.NewIdleConns()}
	}
	f.router = f.routes()
	return f
}

// RetainConnections closes the idle connections to servers that are not in the list.
func (f *Front) RetainConnections(servers []policy.Server) {
	if f.relay.IdleConns == nil {
		return
	}
	named := make(map[string]policy.Server, len(servers))
	for _, s := range servers {
		named[s.Name] = s
	}
	f.relay.IdleConns.Retain(named)
}

// Handler returns the HTTP handler for callers.
func (f *Front) Handler() http.Handler { return f.router }

// Server returns an HTTP server for callers with the limits of the settings.
func (f *Front) Server() *http.Server {
	s := f.config.Settings
	return &http.Server{
		Handler:           f.router,
		ReadHeaderTimeout: settings.Milliseconds(s.ReadTimeoutMs),
		IdleTimeout:       settings.Milliseconds(s.IdleTimeoutMs),
		MaxHeaderBytes:    s.MaxHeaderBytes,
		ConnState:         f.connections.trackState,
		ErrorLog:          f.config.Logger.StandardLog("callers"),
	}
}

// routes returns the router of the HTTP API, or of the routes of the policy.
func (f *Front) routes() *httprouter.Router {
	router := httprouter.New()
	router.HandleMethodNotAllowed = false
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.NotFound = http.HandlerFunc(f.serveNotFound)
	if f.config.Headers != nil {
		router.NotFound = http.HandlerFunc(f.serveRoutes)
		return router
	}
	router.HandlerFunc(http.MethodPost, "/v1/chat/completions", f.serveChat)
	router.HandlerFunc(http.MethodGet, "/v1/models", f.serveModels)
	for _, method := range serviceMethods {
		router.Handle(method, "/services/:service/*path", f.serveService)
	}
	router.HandlerFunc(http.MethodGet, "/healthz", f.ServeHealth)
	router.HandlerFunc(http.MethodGet, "/readyz", f.ServeReady)
	return router
}

// ServeHealth answers 200 as long as the process runs.
func (f *Front) ServeHealth(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok\n")
}

// ServeReady answers 200 while the front accepts new requests and is not about to stop,
// else 503.
func (f *Front) ServeReady(w http.ResponseWriter, _ *http.Request) {
	switch f.State() {
	case StateReady:
		writeText(w, http.StatusOK, "ready\n")
	default:
		writeText(w, http.StatusServiceUnavailable, string(f.State())+"\n")
	}
}

// State is the readiness of a front.
type State string

// States of a front: it lacks a policy or the backend servers, it is ready, it is stopping
// or about to.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateStopping State = "stopping"
)

// State returns the readiness of the front.
func (f *Front) State() State {
	switch {
	case f.active.isStopping() || f.leaving.Load():
		return StateStopping
	case f.config.Policy() == nil || f.config.ServersKnown != nil && !f.config.ServersKnown():
		return StateStarting
	}
	return StateReady
}

// now returns the current time. Clocks are read here, at the edge of the system.
func now() time.Time { return time.Now() }
