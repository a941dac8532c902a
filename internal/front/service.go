package front

import (
	"net/http"
	"slices"
	"strings"

	"github.com/julienschmidt/httprouter"

	"mimosafront/internal/apierror"
	"mimosafront/internal/backend"
	"mimosafront/internal/inifile"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
	"mimosafront/internal/tokens"
	"mimosafront/internal/verdict"
)

// serviceMethods are the HTTP methods that callers may use on services.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// ticketPath is the path below a service at which tickets are minted.
const ticketPath = "/tickets"

// forwardedHeaders are the request headers that are forwarded to a service,
// answerHeaders the headers of its answer that are forwarded to the caller.
var (
	forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match"}
	answerHeaders    = []string{"Content-Type", "Content-Language", "Etag", "Last-Modified", "Location"}
)

// serveService answers calls to plain services.
func (f *Front) serveService(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	q, err := f.begin(r)
	defer f.end(q)
	if err == nil {
		err = f.callService(w, r, q, params)
	}
	if err != nil {
		f.refuse(w, q, err)
	}
}

// callService mints a ticket, executes an operation, or forwards a repeatable call.
func (f *Front) callService(w http.ResponseWriter, r *http.Request, q *request, params httprouter.Params) *apierror.Error {
	name := params.ByName("service")
	service, known := q.policy.Services[name]
	if err := q.setTarget(name, known); err != nil {
		return err
	}
	if err := q.setDeadline(r.Header, serviceDeadlineMs(service, q.tier)); err != nil {
		return err
	}
	if r.Method == http.MethodPost && params.ByName("path") == ticketPath {
		return f.mintTicket(w, q)
	}
	repeatable := slices.Contains(inifile.SplitList(service.Repeatable), r.Method)
	operation, err := chooseOperation(service, r.Header, repeatable)
	if err != nil {
		return err
	}
	body, err := f.readBody(w, r, q)
	if err != nil {
		return err
	}
	call := backend.ServiceCall{
		ID:     q.id,
		Method: r.Method,
		Path:   servicePath(r, params),
		Header: pickHeaders(r.Header, forwardedHeaders),
		Body:   body,
	}
	if operation.id != "" {
		return f.executeOperation(w, q, operation, call)
	}
	answer, err := f.runService(q, call)
	if err != nil {
		return err
	}
	w.Header().Set(HeaderServer, q.outcome.server)
	f.writeAnswer(w, q, answer)
	return nil
}

// serviceDeadlineMs returns the default deadline for a call to a service.
func serviceDeadlineMs(service policy.Service, tier policy.Tier) int {
	if service.DeadlineMs > 0 {
		return min(service.DeadlineMs, tier.MaxDeadlineMs)
	}
	return tier.DeadlineMs
}

// servicePath returns the path and query of a call relative to the root of the service.
func servicePath(r *http.Request, params httprouter.Params) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+params.ByName("service"))
	if !strings.HasPrefix(path, "/") {
		path = "/"
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// pickHeaders returns the headers with the given names.
func pickHeaders(from http.Header, names []string) http.Header {
	picked := http.Header{}
	for _, name := range names {
		if values := from.Values(name); len(values) > 0 {
			picked[name] = values
		}
	}
	return picked
}

// runService sends a call to a service once.
func (f *Front) runService(q *request, call backend.ServiceCall) (*backend.ServiceAnswer, *apierror.Error) {
	q.work = work{promptTokens: tokens.Estimate(string(call.Body)), outputTokens: 1, fingerprint: callHash(q.target, call)}
	lease, conn, err := f.acquireAndDispatch(q.ctx, q)
	if err != nil {
		return nil, err
	}
	answer, failure := f.service.Dispatch(conn, call)
	result := q.result()
	if failure != nil {
		result.Outcome = q.releaseOutcome(failure)
		lease.Release(result)
		q.outcome.verdict = failure.Verdict()
		return nil, q.failureError(failure)
	}
	result.Outcome = message.ReleaseOutcomeFinished
	lease.Release(result)
	q.outcome.verdict = verdict.Ran
	return answer, nil
}

// writeAnswer forwards the answer of a service, whatever its status.
func (f *Front) writeAnswer(w http.ResponseWriter, q *request, answer *backend.ServiceAnswer) {
	for name, values := range pickHeaders(answer.Header, answerHeaders) {
		w.Header()[name] = values
	}
	f.writeBody(w, q, answer.Status, answer.Body)
}
