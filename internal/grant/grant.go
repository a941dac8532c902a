// Package grant defines how the traffic goroutines of a front obtain permission to
// dispatch a request.
//
// A request lives in one process and passes through the states waiting, granted and
// dispatched in this order. Lease.Dispatch moves it to dispatched: at most once, within
// the lifetime of the grant and before its revocation.
//
// A dispatched request that is parked waits again for a second grant. It is then bound
// to the server that holds its state: its Lease accepts Resume and refuses Dispatch.
package grant

import (
	"context"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

// Request describes a request to the scheduler. It holds neither prompt nor
// credentials.
type Request struct {
	// ID identifies the request in the whole fleet.
	ID string
	// Target is the name of a model or of a service.
	Target string
	// Organisation and Caller identify the sender of the request.
	Organisation string
	Caller       string
	// Tier is the rank of the request's tier; 0 is the highest.
	Tier int
	// PromptTokens and OutputTokens are the estimated numbers of tokens of the prompt
	// and of the answer. For a bound request they count only the tokens still to be
	// computed.
	PromptTokens int
	OutputTokens int
	// Prefixes are chained hashes of the prompt's leading blocks, shortest
	// first.
	Prefixes []uint64
	// Claim is the number of tokens that the request takes from its organisation's token
	// bucket.
	Claim int
	// Fingerprint identifies the content for poison quarantine.
	Fingerprint uint64
	// Parts identify the parts of the prompt in order, the request's own part last.
	Parts []uint64
	// PartTokens are the lengths of the parts in tokens; nil if one is unknown.
	PartTokens []int
	// Arrived is when the request arrived at the front.
	Arrived time.Time
	// Deadline is when the whole answer is due.
	Deadline time.Time
	// FirstTarget is the desired time from the arrival to the first token, and
	// FirstLimit the longest time that the client waits for it; 0 for none.
	FirstTarget, FirstLimit time.Duration
	// NonPreemptible requests run to their end once they are granted: their grants are
	// not revoked for other work.
	NonPreemptible bool
	// Excluded names the backend servers that must not serve the request, for example
	// because they refused the connection.
	Excluded []string
	// EndWait is closed when the front can't hold the waiting request any longer. The
	// wait then ends at once: with a lease, for which grants of lower tiers may be
	// revoked, or with a refusal. A nil channel is never closed.
	EndWait <-chan struct{}
	// Server and Zone are set for a bound request: Server is the backend server that
	// holds the state of the request and must serve it, Zone is that server's zone. If
	// they are empty, any server may serve the request.
	Server string
	Zone   string
}

// Result is what a front reports at the end of a grant.
type Result struct {
	Outcome message.ReleaseOutcome
	// PromptTokens and OutputTokens are the numbers of tokens processed; CachedTokens of
	// the prompt were found in the server's prefix cache.
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
	// Dispatch moves the request from granted to dispatched. It fails with verdict
	// NotRun if the grant has expired, was revoked or was dispatched before, or if the
	// request is bound to a server. If it fails, the caller must not write to the
	// server.
	Dispatch() *apierror.Error
	// Resume replaces Dispatch for a request that is bound to a server: it continues
	// the run that the server holds.
	Resume() *apierror.Error
	// Revoked returns a channel that is closed when the coordinator revokes the grant.
	Revoked() <-chan struct{}
	// Progress reports the tokens delivered so far and, once known, the time
	// to the first token. It never blocks and may be called for each token.
	Progress(outputTokens int, firstToken time.Duration)
	// Release ends the lease. Only the first call counts.
	Release(r Result)
}

// Scheduler grants leases.
type Scheduler interface {
	// Acquire waits for a lease. It returns an error with verdict NotRun if
	// every reachable coordinator refused, the deadline passed, or ctx ended.
	Acquire(ctx context.Context, r Request) (Lease, *apierror.Error)
}
