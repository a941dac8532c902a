package front

import (
	"context"
	"math/rand/v2"
	"net"
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

// RouteHeaders names the headers of requests on routes, as agreed with the clients and
// backend servers of the association.
type RouteHeaders struct {
	// RequestID identifies a request; servers echo it.
	RequestID string
	// Deadline is the time limit in milliseconds: from a client the time that it waits,
	// to a server the time that is left.
	Deadline string
	// Key is the caller's key. It is not forwarded to servers.
	Key string
	// Organisation names the caller's organisation to the server.
	Organisation string
	// Server names the backend server that was selected to run the request.
	Server string
	// NotRun marks answers to requests that the server did not run.
	NotRun string
	// Leaving marks all answers of a server that is leaving.
	Leaving string
	// Limit is the number of requests per second that a server takes from all entry
	// hosts, in all answers while it limits them.
	Limit string
	// Tokens holds the length of the prompt and the output limit, in tokens, separated
	// by a comma.
	Tokens string
	// OutputHint is the client's estimate of the output, in tokens.
	OutputHint string
	// Prefix lists the parts of the prompt as ID:TOKENS, the shared parts first.
	Prefix string
	// LastEvent is the ID of the last event that was received; a resumed stream
	// continues after it.
	LastEvent string
	// Withheld are headers that only the system may set; they are removed from the
	// requests of callers.
	Withheld []string
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// routedRequest is a request on a route.
type routedRequest struct {
	*request
	route policy.Route
	// outgoing is the request that servers receive, without the headers that differ
	// between attempts.
	outgoing backend.RelayedRequest
	w        http.ResponseWriter
	// maxOutput is the output limit that the client set, in tokens.
	maxOutput int
	// mergedVerdict is the verdict over all failed attempts.
	mergedVerdict verdict.Verdict
	// sendCount is the number of servers that the request was sent to.
	sendCount int
	// eventCount is the number of events that were forwarded, lastEventID the ID of the
	// last one.
	eventCount, lastEventID int
	// headerSent is set once the header of the answer was sent.
	headerSent bool
}

// serveRoutes answers requests on the routes of the policy.
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

// beginRouted determines the route, the caller, the tier and the target of a request
// and registers it.
func (f *Front) beginRouted(w http.ResponseWriter, r *http.Request) (*routedRequest, *apierror.Error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	q := &routedRequest{w: w, request: &request{
		id: r.Header.Get(f.config.Headers.RequestID), arrived: now(), policy: f.awaitPolicy(r), unreadBody: r.ContentLength != 0,
		ctx: ctx, cancel: cancel, stop: func() { cancel(nil) },
	}}
	q.outcome.verdict, q.mergedVerdict = verdict.NotRun, verdict.NotRun
	if q.policy == nil {
		return q, apierror.New(apierror.CodeNoServer, verdict.NotRun, "no policy is in force yet").WithRetry(shortRetryDelay)
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
		if !fitsHeader(q.policy, q.caller.Organisation) {
			return q, apierror.New(apierror.CodeNoServer, verdict.NotRun, "the organisation's name can't be sent to a server")
		}
	}
	q.tier = q.policy.RouteTier(q.route, q.caller.Organisation)
	q.target, q.routeName = q.route.PickTarget(rand.Float64()), q.route.Name
	return q, f.register(q.request)
}

// hostName returns the host without its port, and an IPv6 address without its brackets.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return strings.TrimSuffix(strings.TrimPrefix(host, "["), "]")
}

// runRouted reads the body of a request and has it answered by a server.
func (f *Front) runRouted(r *http.Request, q *routedRequest) *apierror.Error {
	q.setRouteDeadline(r.Header.Get(f.config.Headers.Deadline))
	body, err := f.readBody(q.w, r, q.request)
	if err != nil {
		return err
	}
	q.outgoing = backend.RelayedRequest{
		ID: q.id, Method: r.Method, Host: r.Host, Target: r.RequestURI, Header: f.forwardedHeader(r.Header, q.caller), Body: body,
	}
	q.lastEventID, _ = strconv.Atoi(r.Header.Get(f.config.Headers.LastEvent))
	q.work = f.routeWork(r, q, body)
	return f.sendWithRetries(q)
}

// setRouteDeadline limits the context of the request to the timeout of its route, or to
// the time that the client waits if that is shorter.
func (q *routedRequest) setRouteDeadline(header string) {
	limit := time.Duration(q.route.TimeoutMs) * time.Millisecond
	if stated, ok := statedLimit(header); ok {
		limit = min(limit, stated)
	}
	q.deadline = q.arrived.Add(limit)
	ctx, stop := context.WithDeadline(q.ctx, q.deadline)
	cancel := q.cancel
	q.ctx, q.stop = ctx, func() { stop(); cancel(nil) }
}

// statedLimit returns the time limit that a client states in milliseconds, if it states a
// valid one.
func statedLimit(header string) (limit time.Duration, ok bool) {
	ms, err := strconv.ParseFloat(header, 64)
	if err != nil || !(ms >= 0 && ms <= maxStatedMs) { // also false for NaN
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// forwardedHeader returns the header that is forwarded to servers.
func (f *Front) forwardedHeader(header http.Header, caller policy.Caller) http.Header {
	names := f.config.Headers
	out := header.Clone()
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range append(hopByHopHeaders, names.Withheld...) {
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

// fitsHeader reports whether servers can be told the name of an organisation in a header. A
// header has no control characters but tabs, and loses outer white space (RFC 9110, 5.5): a
// name with some fits unless another one differs from it in nothing else.
func fitsHeader(p *policy.Policy, name string) bool {
	if strings.ContainsFunc(name, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
		return false
	}
	sent := strings.Trim(name, " \t")
	if sent == name {
		return true
	}
	for other := range p.Organisations {
		if other != name && strings.Trim(other, " \t") == sent {
			return false
		}
	}
	return sent != ""
}

// routeWork estimates the work of a request from its headers.
func (f *Front) routeWork(r *http.Request, q *routedRequest, body []byte) work {
	names := f.config.Headers
	w := work{
		outputTokens: 1, nonPreemptible: true, fingerprint: routeHash(r, q.caller, body),
		claim: q.policy.Organisations[q.caller.Organisation].RequestTokens,
		parts: promptParts(q.target, r.Header.Get(names.Prefix)), partTokens: partLengths(r.Header.Get(names.Prefix)),
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
		w.firstTokenTarget = settings.Milliseconds(q.route.TargetMs)
		w.firstTokenLimit = settings.Milliseconds(q.route.PatienceMs)
	}
	if hint, err := strconv.Atoi(r.Header.Get(names.OutputHint)); err == nil && hint > 0 {
		w.outputTokens = min(hint, max(q.maxOutput, 1))
	}
	return w
}

// maxStatedMs is the longest time limit that is read from a header: a day.
const maxStatedMs = 86_400_000

// maxPromptParts limits the parts of a prompt that are told apart.
const maxPromptParts = 64

// promptParts identifies the parts of a prompt, which the header lists as ID:TOKENS in
// order. The identifiers differ between targets: a part may harm the servers of one model
// alone. Of more than maxPromptParts, the last ones are kept.
func promptParts(target, header string) []uint64 {
	if header == "" {
		return nil
	}
	list := strings.Split(header, ",")
	list = list[max(len(list)-maxPromptParts, 0):]
	parts := make([]uint64, len(list))
	for i, part := range list {
		id, _, _ := strings.Cut(strings.TrimSpace(part), ":")
		parts[i] = xxhash.Sum64String("part\x00" + target + "\x00" + strings.ToLower(id))
	}
	return parts
}

// partLengths returns the lengths of the parts of a prompt in tokens. It returns nil if a
// part states none, or if the first parts are left out of promptParts.
func partLengths(header string) []int {
	list := strings.Split(header, ",")
	if len(list) > maxPromptParts {
		return nil
	}
	lengths := make([]int, len(list))
	for i, part := range list {
		_, text, _ := strings.Cut(part, ":")
		length, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil || length < 0 {
			return nil
		}
		lengths[i] = length
	}
	return lengths
}

// routeHash identifies the content of a request for poison quarantine: its path,
// organisation and body.
func routeHash(r *http.Request, caller policy.Caller, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(r.RequestURI)
	_, _ = digest.WriteString("\x00" + caller.Organisation + "\x00")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// failRouted ends a request with an error. If the header of the answer was sent
// already, it aborts the connection; else the status shows whether the request may have
// run.
func (f *Front) failRouted(q *routedRequest, err *apierror.Error) {
	q.fail(err)
	if q.headerSent {
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

// routeStatus returns the HTTP status for an error on a route. 429 and 503 guarantee
// that the request has not run.
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
