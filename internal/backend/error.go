package backend

import (
	"fmt"

	"mimosafront/internal/verdict"
)

// Kind says how an exchange with a backend server failed.
type Kind string

// The kinds of failures.
const (
	// KindConnect means that no connection was made.
	KindConnect Kind = "connect"
	// KindRejected means that the server answered with an error status.
	KindRejected Kind = "rejected"
	// KindBroken means that the connection broke or the server ended its
	// answer early.
	KindBroken Kind = "broken"
	// KindCrashed means that the connection broke and the server has lost the
	// request: it refuses connections, or no longer knows the request.
	KindCrashed Kind = "crashed"
	// KindSilent means that the server sent nothing within the idle timeout,
	// on the first connection and on a fresh one.
	KindSilent Kind = "silent"
	// KindForeign means that the answer carries another request's id.
	KindForeign Kind = "foreign"
	// KindMalformed means that the answer doesn't follow the protocol.
	KindMalformed Kind = "malformed"
	// KindCancelled means that the front ended the exchange.
	KindCancelled Kind = "cancelled"
)

// Error is a failed exchange with a backend server.
type Error struct {
	// Kind says how the exchange failed.
	Kind Kind
	// Sent reports whether a byte of the request may have left.
	Sent bool
	// Status is the HTTP status of a rejection.
	Status int
	// Server names the backend server.
	Server string
	// Cause is the error below, if any.
	Cause error
}

// Error returns the server, the kind and the cause.
func (e *Error) Error() string {
	if e.Kind == KindRejected {
		return fmt.Sprintf("backend server %s: status %d", e.Server, e.Status)
	}
	return fmt.Sprintf("backend server %s: %s: %v", e.Server, e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Verdict returns what is known of the request's execution.
func (e *Error) Verdict() verdict.Verdict {
	if e.Sent {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}
