// Package apierror defines the error that callers receive.
package apierror

import (
	"fmt"
	"net/http"
	"time"

	"mimosafront/internal/verdict"
)

// Code names the cause of an error. Codes are part of the interface towards
// callers and don't change.
type Code string

// The codes of errors.
const (
	CodeMalformed      Code = "malformed_request"
	CodeTooLarge       Code = "request_too_large"
	CodeUnauthorized   Code = "unauthorized"
	CodeForbidden      Code = "forbidden"
	CodeUnknownTarget  Code = "unknown_target"
	CodeInfeasible     Code = "infeasible"
	CodeShed           Code = "shed"
	CodeQueueFull      Code = "queue_full"
	CodeOverloaded     Code = "overloaded"
	CodeQuota          Code = "quota_exceeded"
	CodeDeadline       Code = "deadline_exceeded"
	CodePoison         Code = "quarantined"
	CodeNoServer       Code = "no_server"
	CodeStopping       Code = "stopping"
	CodeCallerGone     Code = "caller_gone"
	CodeRevoked        Code = "revoked"
	CodeServerFailed   Code = "server_failed"
	CodeServerSilent   Code = "server_silent"
	CodeServerRejected Code = "server_rejected"
	CodeTicketNeeded   Code = "ticket_needed"
	CodeTicketInvalid  Code = "ticket_invalid"
	CodeTicketHostGone Code = "ticket_host_gone"
	CodeKeyUnknown     Code = "key_state_unknown"
	CodeInProgress     Code = "operation_in_progress"
	CodeAnswerNotKept  Code = "answer_not_kept"
	CodeInternal       Code = "internal"
)

// Error is a failed request: its cause, whether it may have run, and whether
// and when the caller should send it again.
type Error struct {
	// Code names the cause.
	Code Code
	// Message explains the cause to a person.
	Message string
	// Verdict says whether the request may have run.
	Verdict verdict.Verdict
	// RetryAfter is the advised delay of a retry; 0 advises none.
	RetryAfter time.Duration
	// Cause is the error below, if any. It is logged, never sent.
	Cause error
}

// New returns an Error.
func New(code Code, v verdict.Verdict, format string, args ...any) *Error {
	return &Error{Code: code, Verdict: v, Message: fmt.Sprintf(format, args...)}
}

// Error returns code, verdict and message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithRetry sets the advised delay of a retry and returns e.
func (e *Error) WithRetry(after time.Duration) *Error {
	e.RetryAfter = after
	return e
}

// WithCause sets the error below and returns e.
func (e *Error) WithCause(cause error) *Error {
	e.Cause = cause
	return e
}

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

// statusClientClosedRequest is logged for callers that went away; nobody
// receives it.
const statusClientClosedRequest = 499

// Status returns the HTTP status of the error.
func (e *Error) Status() int {
	if status, ok := statuses[e.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Body is the JSON form of an Error.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the content of a Body.
type BodyError struct {
	Code         Code            `json:"code"`
	Message      string          `json:"message"`
	Verdict      verdict.Verdict `json:"verdict"`
	RetryAfterMs int64           `json:"retry_after_ms,omitempty"`
	Retry        bool            `json:"retry"`
}

// Body returns the JSON form of e.
func (e *Error) Body() Body {
	return Body{Error: BodyError{
		Code:         e.Code,
		Message:      e.Message,
		Verdict:      e.Verdict,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
		Retry:        e.RetryAfter > 0 && e.Verdict.Retryable(),
	}}
}
