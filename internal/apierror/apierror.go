// Package apierror defines the errors that callers receive.
package apierror

import (
	"fmt"
	"net/http"
	"time"

	"mimosafront/internal/verdict"
)

// Code names the cause of an error. Codes are part of the caller-facing API and
// don't change.
type Code string

// Error codes.
const (
	// CodeMalformed means that the request can't be parsed or is invalid.
	CodeMalformed Code = "malformed_request"
	// CodeTooLarge means that the request exceeds a size limit.
	CodeTooLarge Code = "request_too_large"
	// CodeUnauthorized means that the caller has no valid credentials.
	CodeUnauthorized Code = "unauthorized"
	// CodeForbidden means that the caller may not use the target, tier or
	// ticket.
	CodeForbidden Code = "forbidden"
	// CodeUnknownTarget means that the model or service does not exist.
	CodeUnknownTarget Code = "unknown_target"
	// CodeInfeasible means that no backend server can serve a request of this
	// size.
	CodeInfeasible Code = "infeasible"
	// CodeShed means that the request was displaced by work of higher
	// precedence.
	CodeShed Code = "shed"
	// CodeQueueFull means that a queue or table is full.
	CodeQueueFull Code = "queue_full"
	// CodeOverloaded means that the entry host has no processor time left.
	CodeOverloaded Code = "overloaded"
	// CodeQuota means that the organisation has used up its quota or rate limit.
	CodeQuota Code = "quota_exceeded"
	// CodeDeadline means that the deadline passed before the answer was
	// complete.
	CodeDeadline Code = "deadline_exceeded"
	// CodePoison means that the request is quarantined because its content
	// crashed servers.
	CodePoison Code = "quarantined"
	// CodeNoServer means that no backend server is available for the target.
	CodeNoServer Code = "no_server"
	// CodeStopping means that the entry host is stopping or the keeper of the
	// key is changing.
	CodeStopping Code = "stopping"
	// CodeCallerGone means that the caller disconnected.
	CodeCallerGone Code = "caller_gone"
	// CodeRevoked means that the grant was revoked or expired.
	CodeRevoked Code = "revoked"
	// CodeServerFailed means that the backend server failed before its answer
	// was complete.
	CodeServerFailed Code = "server_failed"
	// CodeServerSilent means that the backend server stopped sending.
	CodeServerSilent Code = "server_silent"
	// CodeServerRejected means that the backend server rejected the request.
	CodeServerRejected Code = "server_rejected"
	// CodeTicketNeeded means that the service requires a ticket.
	CodeTicketNeeded Code = "ticket_needed"
	// CodeTicketInvalid means that the ticket is malformed or forged, or that
	// the ticket or key was used for another call.
	CodeTicketInvalid Code = "ticket_invalid"
	// CodeTicketHostGone means that the ticket has expired, or its entry host is
	// unreachable or has restarted.
	CodeTicketHostGone Code = "ticket_host_gone"
	// CodeKeyUnknown means that the idempotency key may have been executed
	// before.
	CodeKeyUnknown Code = "key_state_unknown"
	// CodeInProgress means that the operation is still in progress.
	CodeInProgress Code = "operation_in_progress"
	// CodeAnswerNotKept means that the operation ran before and its answer is no
	// longer kept.
	CodeAnswerNotKept Code = "answer_not_kept"
	// CodeInternal means an unexpected failure inside the entry host.
	CodeInternal Code = "internal"
)

// Error describes a failed request: the cause, whether it may have run, and
// whether and when the caller should retry.
type Error struct {
	// Code names the cause.
	Code Code
	// Message is a human-readable explanation.
	Message string
	// Verdict says whether the request may have run.
	Verdict verdict.Verdict
	// RetryAfter is the recommended delay before a retry; 0 if no retry is
	// recommended.
	RetryAfter time.Duration
	// Cause is the wrapped error, if any. It is logged, never sent.
	Cause error
}

// New returns an Error with a formatted message.
func New(code Code, v verdict.Verdict, format string, args ...any) *Error {
	return &Error{Code: code, Verdict: v, Message: fmt.Sprintf(format, args...)}
}

// Error returns code, verdict and message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithRetry sets the recommended delay before a retry and returns e.
func (e *Error) WithRetry(after time.Duration) *Error {
	e.RetryAfter = after
	return e
}

// WithCause sets the wrapped error and returns e.
func (e *Error) WithCause(cause error) *Error {
	e.Cause = cause
	return e
}

// statuses maps codes to HTTP statuses.
var statuses = map[Code]int{
	CodeMalformed:      http.StatusBadRequest,
	CodeTooLarge:       http.StatusRequestEntityTooLarge,
	CodeUnauthorized:   http.StatusUnauthorized,
	CodeForbidden:      http.StatusForbidden,
	CodeUnknownTarget:  http.StatusNotFound,
	CodeInfeasible:     http.StatusUnprocessableEntity,
	CodeShed:           http.StatusServiceUnavailable,
	CodeQueueFull:      http.StatusServiceUnavailable,
	CodeOverloaded:     http.StatusServiceUnavailable,
	CodeQuota:          http.StatusTooManyRequests,
	CodeDeadline:       http.StatusGatewayTimeout,
	CodePoison:         http.StatusUnprocessableEntity,
	CodeNoServer:       http.StatusServiceUnavailable,
	CodeStopping:       http.StatusServiceUnavailable,
	CodeCallerGone:     statusClientClosedRequest,
	CodeRevoked:        http.StatusServiceUnavailable,
	CodeServerFailed:   http.StatusBadGateway,
	CodeServerSilent:   http.StatusGatewayTimeout,
	CodeServerRejected: http.StatusBadGateway,
	CodeTicketNeeded:   http.StatusPreconditionRequired,
	CodeTicketInvalid:  http.StatusBadRequest,
	CodeTicketHostGone: http.StatusConflict,
	CodeKeyUnknown:     http.StatusConflict,
	CodeInProgress:     http.StatusConflict,
	CodeAnswerNotKept:  http.StatusConflict,
	CodeInternal:       http.StatusInternalServerError,
}

// statusClientClosedRequest is logged for callers that disconnected. It is
// never sent.
const statusClientClosedRequest = 499

// Status returns the HTTP status of the error; an unknown code maps to 500.
func (e *Error) Status() int {
	if status, ok := statuses[e.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Body is the JSON response body of an Error.
type Body struct {
	// Error describes the failure.
	Error BodyError `json:"error"`
}

// BodyError is the content of a Body.
type BodyError struct {
	// Code, Message and Verdict are those of the Error.
	Code    Code            `json:"code"`
	Message string          `json:"message"`
	Verdict verdict.Verdict `json:"verdict"`
	// RetryAfterMs is the recommended delay before a retry in milliseconds; 0
	// if no retry is recommended.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	// Retry reports whether a retry is recommended and can't run the request
	// twice.
	Retry bool `json:"retry"`
}

// Body returns the JSON response body of e.
func (e *Error) Body() Body {
	return Body{Error: BodyError{
		Code:         e.Code,
		Message:      e.Message,
		Verdict:      e.Verdict,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
		Retry:        e.RetryAfter > 0 && e.Verdict.Retryable(),
	}}
}
