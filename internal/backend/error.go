package backend

import (
	"fmt"

	"mimosafront/internal/verdict"
)

// Kind classifies a failed exchange with a backend server.
type Kind string

// The kinds of failed exchanges.
const (
	// KindConnect means that no connection could be opened.
	KindConnect Kind = "connect"
	// KindRejected means that the server answered with an error status.
	KindRejected Kind = "rejected"
	// KindBroken means that the connection broke or that the server ended its
	// answer early.
	KindBroken Kind = "broken"
	// KindCrashed means that the connection broke and the server lost the request:
	// it accepts no connection, or the request is unknown to it.
	KindCrashed Kind = "crashed"
	// KindSilent means that a read or write exceeded the idle timeout. For a Stream,
	// it is reported after the attempts to resume failed too.
	KindSilent Kind = "silent"
	// KindForeign means that the answer carries another request's id.
	KindForeign Kind = "foreign"
	// KindMalformed means that the answer doesn't follow the protocol.
	KindMalformed Kind = "malformed"
	// KindCancelled means that the exchange's context ended.
	KindCancelled Kind = "cancelled"
)

// Error describes a failed exchange with a backend server.
type Error struct {
	// Kind classifies the failure.
	Kind Kind
	// Sent is set when at least one byte of the request was written, so that the
	// server may have run it.
	Sent bool
	// Status is the HTTP status of a rejection.
	Status int
	// Server names the backend server.
	Server string
	// Cause is the underlying error, if any.
	Cause error
}

// Error returns the server with the kind and the cause, or with the status of a
// rejection.
func (e *Error) Error() string {
	if e.Kind == KindRejected {
		return fmt.Sprintf("backend server %s: status %d", e.Server, e.Status)
	}
	return fmt.Sprintf("backend server %s: %s: %v", e.Server, e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Verdict returns NotRun if nothing was sent, and MayHaveRun otherwise.
func (e *Error) Verdict() verdict.Verdict {
	if e.Sent {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}
