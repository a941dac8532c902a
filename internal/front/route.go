package front

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosafront/internal/apierror"
	"mimosafront/internal/backend"
	"mimosafront/internal/policy"
	"mimosafront/internal/settings"
	"mimosafront/internal/verdict"
)

// RouteHeaders names the headers of requests on routes, which the association's
// clients and backend servers agree on.
type RouteHeaders struct {
	// RequestID identifies a request; servers echo it.
	RequestID string
	// Deadline is the time that the client waits, and to a server what is left of
	// it, in milliseconds.
	Deadline string
	// Key is the caller's key. It goes no further than the front.
	Key string
	// Organisation names the caller's organisation to the server.
	Organisation string
	// Server names the one backend server that may run the request.
	Server string
	// NotRun marks answers to requests that the server did not run.
	NotRun string
	// Tokens holds the prompt's length and the most output, in tokens.
	Tokens string
	// OutputHint is the client's estimate of the output, in tokens.
	OutputHint string
	// Prefix lists the parts of the prompt as ID:TOKENS, the shared ones first.
	Prefix string
	// LastEvent is the id of the event after which a stream goes on.
	LastEvent string
	// Withheld are those that only the system may set.
	Withheld []string
}

// hopHeaders concern one connection and aren't passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// routed is a request on a route.
type routed struct {
	*request
	route policy.Route
	// outgoing is what servers get, but for the headers of one attempt.
	outgoing backend.Relayed
	w        http.ResponseWriter
	// maxOutput bounds the output, in tokens.
	maxOutput int
	// known is what is known of its execution over the attempts that failed.
	known verdict.Verdict
	// sends counts the servers that the request was sent to.
	sends int
	// events counts events passed on; lastEvent is the id of the last one.
	events, lastEvent int
	// began is set once the answer's header is sent.
	began bool
}

// serveRoutes answers the requests of the policy's routes.
func (f *Front) serveRoutes(w http.ResponseWriter, r *http.Request) {
	q, err := f.beginRouted(w, r)
	defer f.end(q.request)
	if err == nil {
		err = f.runRouted(r, q)
	}
	if err != nil {
		f.failRouted(q, err)
	}
}

// beginRouted finds the route of a request and who sent it.
func (f *Front) beginRouted(w http.ResponseWriter, r *http.Request) (*routed, *apierror.Error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	q := &routed{w: w, request: &request{
		id: r.Header.Get(f.config.Headers.RequestID), arrived: now(), policy: f.config.Policy(),
		ctx: ctx, cancel: cancel, stop: func() { cancel(nil) },
	}}
	q.outcome.verdict, q.known = verdict.NotRun, verdict.NotRun
	if q.policy == nil {
		return q, apierror.New(apierror.CodeNoServer, verdict.NotRun, "no policy is in force yet").WithRetry(retrySoon)
	}
	if q.id == "" {
		return q, apierror.New(apierror.CodeMalformed, verdict.NotRun, "the request has no id")
	}
	var ok bool
	if q.route, ok = q.policy.MatchRoute(hostName(r.Host), r.URL.Path); !ok {
		return q, apierror.New(apierror.CodeUnknownTarget, verdict.NotRun, "no route leads there")
	}
	if !q.route.Public {
		if q.caller, ok = q.policy.Authenticate(r.Header.Get(f.config.Headers.Key)); !ok {
			return q, apierror.New(apierror.CodeUnauthorized, verdict.NotRun, "the key is unknown")
		}
	}
	q.tier = q.policy.RouteTier(q.route, q.caller.Organisation)
	q.target = q.route.PickTarget(rand.Float64())
	return q, f.register(q.request)
}

func hostName(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return name
}

// runRouted reads a request and has a server answer it.
func (f *Front) runRouted(r *http.Request, q *routed) *apierror.Error {
	q.setRouteDeadline(r.Header.Get(f.config.Headers.Deadline))
	body, err := f.readBody(q.w, r, q.request)
	if err != nil {
		return err
	}
	q.outgoing = backend.Relayed{
		ID: q.id, Method: r.Method, Host: r.Host, Target: r.RequestURI, Header: f.forwarded(r.Header, q.caller), Body: body,
	}
	q.lastEvent, _ = strconv.Atoi(r.Header.Get(f.config.Headers.LastEvent))
	q.work = f.workOf(r, q, body)
	return f.attempts(q)
}

// setRouteDeadline ends the request's context when its client or its route gives up.
func (q *routed) setRouteDeadline(header string) {
	limit := time.Duration(q.route.TimeoutMs) * time.Millisecond
	if ms, err := strconv.ParseFloat(header, 64); err == nil && ms >= 0 {
		limit = min(limit, time.Duration(ms*float64(time.Millisecond)))
	}
	q.deadline = q.arrived.Add(limit)
	ctx, stop := context.WithDeadline(q.ctx, q.deadline)
	cancel := q.cancel
	q.ctx, q.stop = ctx, func() { stop(); cancel(nil) }
}

// forwarded returns the headers that each server gets.
func (f *Front) forwarded(header http.Header, caller policy.Caller) http.Header {
	names := f.config.Headers
	out := header.Clone()
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range append(hopHeaders, names.Withheld...) {
		out.Del(name)
	}
	out.Del(names.Key)
	out.Del(names.Server)
	out.Del(names.Organisation)
	if caller.Organisation != "" {
		out.Set(names.Organisation, caller.Organisation)
	}
	return out
}

// workOf returns what the scheduler needs to know of a request.
func (f *Front) workOf(r *http.Request, q *routed, body []byte) work {
	names := f.config.Headers
	w := work{
		outputTokens: 1, kept: true, fingerprint: routeHash(r, q.caller, body),
		claim: q.policy.Organisations[q.caller.Organisation].RequestTokens,
	}
	prompt, output, stated := strings.Cut(r.Header.Get(names.Tokens), ",")
	if !stated {
		return w
	}
	w.promptTokens, _ = strconv.Atoi(strings.TrimSpace(prompt))
	q.maxOutput, _ = strconv.Atoi(strings.TrimSpace(output))
	w.outputTokens = q.maxOutput
	w.claim = w.promptTokens + q.maxOutput
	if q.route.Streaming {
		w.firstTarget = settings.Milliseconds(q.route.TargetMs)
		w.firstLimit = settings.Milliseconds(q.route.PatienceMs)
	}
	if hint, err := strconv.Atoi(r.Header.Get(names.OutputHint)); err == nil && hint > 0 {
		w.outputTokens = min(hint, max(q.maxOutput, 1))
	}
	return w
}

// routeHash identifies a request's content: path, caller and body.
func routeHash(r *http.Request, caller policy.Caller, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(r.RequestURI)
	_, _ = digest.WriteString("\x00" + caller.Organisation + "\x00")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// failRouted ends a request with an error: a status that promises that it has not
// run, one that promises nothing, or a broken answer.
func (f *Front) failRouted(q *routed, err *apierror.Error) {
	q.fail(err)
	if q.began {
		panic(http.ErrAbortHandler)
	}
	header := q.w.Header()
	header.Set(f.config.Headers.RequestID, q.id)
	if err.Verdict == verdict.NotRun && err.RetryAfter > 0 {
		header.Set(headerRetryAfter, strconv.FormatFloat(err.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if closesConnection(err.Code) && err.Code != apierror.CodeUnauthorized {
		header.Set("Connection", "close")
	}
	header.Set("Content-Length", "0")
	f.writeHeader(q.w, q.request, routeStatus(err))
}

// routeStatus returns the status for an error on a route. 429 and 503 promise that
// the request has not run.
func routeStatus(err *apierror.Error) int {
	switch {
	case err.Verdict != verdict.NotRun && err.Code == apierror.CodeDeadline:
		return http.StatusGatewayTimeout
	case err.Verdict != verdict.NotRun:
		return http.StatusBadGateway
	}
	switch err.Code {
	case apierror.CodeMalformed, apierror.CodeTooLarge, apierror.CodeUnauthorized, apierror.CodeUnknownTarget:
		return err.Status()
	case apierror.CodeQuota:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}
