// Package grant defines how the traffic goroutines of a front obtain permission
// to dispatch a request.
//
// A request lives in one process and takes the states waiting, granted and
// dispatched in this order, each once. A Lease makes the last step; it can't be
// made twice, and not after the grant's lifetime or its revocation.
//
// A dispatched request that its server holds waits once more, bound to that
// server. The Lease that ends this wait can only be resumed, never dispatched.
package grant

import (
	"context"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

// Request is what a scheduler needs to know of one request. It carries neither
// prompt nor credentials.
type Request struct {
	// ID identifies the request in the whole fleet.
	ID string
	// Target is a model's or a service's name.
	Target string
	// Organisation and Caller sent the request.
	Organisation string
	Caller       string
	// Tier is the rank of the request's tier; 0 is the highest.
	Tier int
	// PromptTokens and OutputTokens are estimates.
	PromptTokens int
	OutputTokens int
	// Prefixes are chained hashes of the prompt's leading blocks, shortest
	// first.
	Prefixes []uint64
	// Claim is what the request takes of its organisation's rate limit, in tokens.
	Claim int
	// Fingerprint identifies the content for poison quarantine.
	Fingerprint uint64
	// Arrived is when the request arrived at the front.
	Arrived time.Time
	// Deadline is when the whole answer is due.
	Deadline time.Time
	// FirstTarget is the time from the arrival until which the first token is worth
	// most, and FirstLimit the time until which the client waits for it; 0 for none.
	FirstTarget, FirstLimit time.Duration
	// NonPreemptible requests run to their end once they are granted.
	NonPreemptible bool
	// Excluded names backend servers that refused the connection.
	Excluded []string
	// EndWait is closed when the front can't hold the waiting request any
	// longer. The wait then ends at once: with a lease, in the place of lower
	// work if need be, or with a refusal. A nil channel never is.
	EndWait <-chan struct{}
	// Server is the one backend server that may serve the request, because it
	// holds its state, and Zone is where it stands; empty is any. The tokens
	// are then what is left to compute.
	Server string
	Zone   string
}

// Result is what a front reports at the end of a grant.
type Result struct {
	Outcome      message.ReleaseOutcome
	PromptTokens int
	CachedTokens int
	OutputTokens int
	// FirstToken is the time from dispatch to the first token.
	FirstToken time.Duration
	// Total is the time from dispatch to the end.
	Total time.Duration
}

// Lease is the permission to dispatch one request to one backend server.
type Lease interface {
	// ID returns the grant's id.
	ID() string
	// Server returns the backend server to dispatch to.
	Server() policy.Server
	// Dispatch moves the request from granted to dispatched. It fails with
	// verdict NotRun when the grant has expired, was revoked, or was
	// dispatched before, or the request is bound to a server. The caller must
	// not write to the server if it fails.
	Dispatch() *apierror.Error
	// Resume is the step in place of Dispatch for a request that is bound to a
	// server: it lets the run that the server holds go on.
	Resume() *apierror.Error
	// Revoked is closed when the coordinator takes the grant back.
	Revoked() <-chan struct{}
	// Progress reports the tokens delivered so far and, once known, the time
	// to the first token. It never blocks and may be called for each token.
	Progress(outputTokens int, firstToken time.Duration)
	// Release ends the lease. Only the first call counts.
	Release(r Result)
}

// Scheduler hands out leases.
type Scheduler interface {
	// Acquire waits for a lease. It returns an error with verdict NotRun if
	// every reachable coordinator refused, the deadline passed, or ctx ended.
	Acquire(ctx context.Context, r Request) (Lease, *apierror.Error)
}
