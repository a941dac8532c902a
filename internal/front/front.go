// Package front serves callers: it authenticates, bounds and queues their
// requests, dispatches each at most once to a backend server and returns the
// whole answer or an error that says whether the request may have run.
package front

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"mimosafront/internal/backend"
	"mimosafront/internal/eventlog"
	"mimosafront/internal/grant"
	"mimosafront/internal/message"
	"mimosafront/internal/metrics"
	"mimosafront/internal/policy"
	"mimosafront/internal/settings"
)

// The headers between callers and the front.
const (
	HeaderTier           = "Mimosa-Tier"
	HeaderDeadline       = "Mimosa-Deadline-Ms"
	HeaderTicket         = "Mimosa-Ticket"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "Mimosa-Request-Id"
	HeaderServer         = "Mimosa-Server"
	HeaderVerdict        = "Mimosa-Verdict"
	HeaderReplayed       = "Mimosa-Replayed"
	// HeaderOperation says what is known of an operation over all attempts.
	HeaderOperation  = "Mimosa-Operation"
	headerRetryAfter = "Retry-After"
)

// Operations executes calls that may not be repeated.
type Operations interface {
	// Mint returns a ticket for one operation of a caller.
	Mint(caller policy.Caller, service string) (ticket string)
	// Execute runs an operation on the one entry host that may, or returns
	// what an earlier execution returned.
	Execute(ctx context.Context, call message.OperationCall) message.OperationReply
}

// Config holds what a Front needs.
type Config struct {
	Settings settings.Front
	// Policy returns the policy in force, or nil before the first.
	Policy     func() *policy.Policy
	Scheduler  grant.Scheduler
	Operations Operations
	Metrics    *metrics.Front
	Logger     *eventlog.Logger
	// Dial opens connections to backend servers; nil takes TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Headers are set where the front serves the routes of the policy.
	Headers *RouteHeaders
}

// Front is the part of an entry host that faces callers. It is safe for
// concurrent use.
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
	// connections are those of callers.
	connections *connections
	leaving     atomic.Bool
	// background holds calls that no caller waits for.
	background conc.WaitGroup
}

// New returns a Front.
func New(c Config) *Front {
	dialer := backend.Dialer{
		ConnectTimeout: settings.Milliseconds(c.Settings.ConnectTimeoutMs),
		IdleTimeout:    settings.Milliseconds(c.Settings.StreamIdleTimeoutMs),
		Dial:           c.Dial,
	}
	f := &Front{
		config:    c,
		dialer:    dialer,
		engine:    backend.Engine{Dialer: dialer},
		service:   backend.Service{Dialer: dialer},
		admission: newAdmission(c.Settings.MaxMemoryBytes, c.Settings.MaxConnections),
		active:    newActiveRequests(),
		retries:   newRetryBudget(c.Settings.RetryRatio, c.Settings.RetryBurst),

		connections: newConnections(connectionsPerRequest * c.Settings.MaxConnections),
	}
	if c.Headers != nil {
		f.relay = backend.Relay{Dialer: dialer, RequestID: c.Headers.RequestID, NotRun: c.Headers.NotRun, Idle: backend.NewIdleConns()}
	}
	f.router = f.routes()
	return f
}

// RetainConnections closes the free connections to servers that are gone.
func (f *Front) RetainConnections(servers []policy.Server) {
	if f.relay.Idle == nil {
		return
	}
	named := make(map[string]policy.Server, len(servers))
	for _, s := range servers {
		named[s.Name] = s
	}
	f.relay.Idle.Retain(named)
}

// Handler returns the handler for callers.
func (f *Front) Handler() http.Handler { return f.router }

// Server returns an HTTP server for callers with the bounds of the settings.
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

// ServeHealth answers 200 while the process runs.
func (f *Front) ServeHealth(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok\n")
}

// ServeReady answers 200 while the front takes new requests.
func (f *Front) ServeReady(w http.ResponseWriter, _ *http.Request) {
	switch f.State() {
	case StateReady:
		writeText(w, http.StatusOK, "ready\n")
	default:
		writeText(w, http.StatusServiceUnavailable, string(f.State())+"\n")
	}
}

// State says whether a front takes requests.
type State string

// The states of a front.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateStopping State = "stopping"
)

// State returns whether the front takes new requests.
func (f *Front) State() State {
	switch {
	case f.active.isStopping() || f.leaving.Load():
		return StateStopping
	case f.config.Policy() == nil:
		return StateStarting
	}
	return StateReady
}

// now returns the time; the front is the edge at which clocks are read.
func now() time.Time { return time.Now() }
