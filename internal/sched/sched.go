// Package sched decides which request of a pool runs next, on which backend
// server, and which request is refused.
//
// A Pool is pure state: it does no I/O, reads no clock, starts no goroutine
// and holds no lock. Each method gets the current time, and what it decided is
// collected as Actions.
package sched

import (
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/settings"
)

// Request is one request that waits for a grant or holds one. A Pool doesn't change
// it.
type Request struct {
	// ID identifies the request in the whole fleet.
	ID string
	// Host is the entry host that holds the request.
	Host string
	// Attempt numbers the asks of the request.
	Attempt int
	// Organisation and Caller sent the request.
	Organisation string
	Caller       string
	// Tier is the rank; 0 is the highest.
	Tier int
	// PromptTokens and OutputTokens are estimates.
	PromptTokens int
	OutputTokens int
	// Prefixes are chained hashes of the prompt's leading blocks, shortest
	// first.
	Prefixes []uint64
	// Claim is what the request takes of its organisation's rate limit, in tokens.
	Claim int
	// Fingerprint identifies the content for quarantine.
	Fingerprint uint64
	// Suspect requests may crash a server; each server runs one at a time.
	Suspect bool
	// Arrived is when the request arrived at the front.
	Arrived time.Time
	// FirstArrival is the first arrival of a request that was refused before and came back
	// on time, where it is known from an earlier ask; zero otherwise.
	FirstArrival time.Time
	// Deadline is when the whole answer is due.
	Deadline time.Time
	// FirstTarget is until when the first token is worth most, and FirstLimit until
	// when the client waits for it; zero for neither.
	FirstTarget, FirstLimit time.Time
	// NonPreemptible requests run to their end once they are granted: their clients would see a
	// broken answer, and no server could go on with it. Higher tiers wait for their
	// place.
	NonPreemptible bool
	// Excluded names servers that can't serve the request.
	Excluded []string
	// NoWait requests are granted or refused at once: their front can't hold
	// them.
	NoWait bool
	// Server names the only one that can serve the request, because it holds
	// its state; empty is any. The tokens are then what is left to compute.
	Server string
}

// Server describes a backend server of the pool as policy has it.
type Server struct {
	// Name of the backend server.
	Name string
	// Hardware names the generation; servers of one generation are compared.
	Hardware string
	// PrefillTokensPerS and DecodeTokensPerS seed the learned speeds.
	PrefillTokensPerS float64
	DecodeTokensPerS  float64
	// TokensInFlight seeds the adaptive limit.
	TokensInFlight int
	// MaxRequests bounds the requests at once.
	MaxRequests int
	// Leaving servers get no new work.
	Leaving bool
	// Unloaded servers get no new work until they have loaded the pool's model.
	Unloaded bool
}

// closed reports whether the server gets no new work, however well it answers.
func (s *Server) closed() bool { return s.Leaving || s.Unloaded }

// Limits are the bounds that policy sets for one organisation; 0 is no bound.
type Limits struct {
	// MaxWaiting bounds the requests waiting in the pool.
	MaxWaiting int
	// TokensPerMinute bounds the work granted.
	TokensPerMinute int
	// ClaimLimit is the rate limit in the whole fleet: the tokens that may be claimed
	// in each ClaimWindow.
	ClaimLimit  float64
	ClaimWindow time.Duration
}

// Config holds the fixed parameters of a Pool.
type Config struct {
	// Algorithm is fair, or a baseline to measure against.
	Algorithm settings.SchedulerAlgorithm
	// Service pools count requests; each request is one token of work.
	Service bool
	// MaxWaiting and MaxWaitingTokens bound the queue.
	MaxWaiting       int
	MaxWaitingTokens int
	// FirstTokenTarget and GapTarget are what the adaptive limit aims at.
	FirstTokenTarget time.Duration
	GapTarget        time.Duration
	// GrantPrefix starts each grant id, so that ids are unique in the fleet.
	GrantPrefix string
	// Rebuilding pools don't know all that runs on their servers.
	Rebuilding bool
	// Seed starts the random choices.
	Seed uint64
}

// LoadReport is what a backend server said of itself. It lags.
type LoadReport struct {
	// At is when the server measured.
	At time.Time
	// Running and Waiting count requests in the server.
	Running, Waiting int
	// TokensInFlight is the sum over these requests.
	TokensInFlight int
	// CacheUsed is the used share of the prefix cache, 0 to 1.
	CacheUsed float64
}

// Progress is what a front reports of a running grant.
type Progress struct {
	// OutputTokens delivered in all.
	OutputTokens int
	// FirstToken is the time from dispatch to the first token; 0 before it.
	FirstToken time.Duration
	// Gap is the recent mean time between tokens; 0 if unknown.
	Gap time.Duration
}

// Result is what a front reports at the end of a grant.
type Result struct {
	// Outcome says how the grant ended.
	Outcome message.ReleaseOutcome
	// PromptTokens, CachedTokens and OutputTokens are as the server counted.
	PromptTokens int
	CachedTokens int
	OutputTokens int
	// FirstToken is the time from dispatch to the first token.
	FirstToken time.Duration
	// Total is the time from dispatch to the end.
	Total time.Duration
}

// ActionKind says what a Pool decided.
type ActionKind string

// The kinds of actions.
const (
	ActionGrant   ActionKind = "grant"
	ActionRefuse  ActionKind = "refuse"
	ActionRevoke  ActionKind = "revoke"
	ActionEject   ActionKind = "eject"
	ActionReadmit ActionKind = "readmit"
)

// Action is one decision of a Pool.
type Action struct {
	Kind ActionKind
	// Request that the action is about; empty for ejections. It doesn't change.
	Request *Request
	// Grant is the grant's id, for grants and revocations.
	Grant string
	// Server is the backend server.
	Server string
	// Refusal is the reason of a refusal.
	Refusal message.RefusalReason
	// Reason explains the action to a person.
	Reason string
	// LowestTier is the lowest tier that waits or runs in the pool; -1 for
	// none.
	LowestTier int
	// RetryAfter is the advised delay of a retry.
	RetryAfter time.Duration
}
