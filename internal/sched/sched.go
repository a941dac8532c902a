// Package sched decides which request of a pool runs next, on which backend server,
// and which requests are refused or revoked.
//
// Requests are served in strict order of tier, then by the virtual token counters of
// their organisation and caller (max-min fair queueing), then by arrival.
//
// A Pool is pure state: it does no I/O, reads no clock, starts no goroutine and holds
// no lock, so its methods must not be called concurrently. Each method takes the
// current time; decisions are collected as Actions.
package sched

import (
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/settings"
)

// Request is a request that waits for a grant or holds one. A Pool doesn't modify it.
type Request struct {
	// ID identifies the request in the whole fleet.
	ID string
	// Host is the entry host that holds the request.
	Host string
	// Attempt is the number of the latest ask sent for the request.
	Attempt int
	// Organisation and Caller identify the sender.
	Organisation string
	Caller       string
	// Tier is the rank of the request's tier; 0 is the highest.
	Tier int
	// PromptTokens and OutputTokens are estimated token counts.
	PromptTokens int
	OutputTokens int
	// Prefixes are chained hashes of the prompt's leading blocks, shortest prefix
	// first.
	Prefixes []uint64
	// PrefixTokens are the lengths of the Prefixes in tokens, if they are known. Servers
	// that get such requests don't report what they found cached. Without it, the blocks
	// count as equal shares of the prompt.
	PrefixTokens []int
	// Claim is the number of tokens taken from the organisation's rate limit.
	Claim int
	// Fingerprint identifies the request content for quarantine.
	Fingerprint uint64
	// Suspect marks a possible poison request; each server runs at most one at a time.
	Suspect bool
	// Arrived is when the request arrived at the front.
	Arrived time.Time
	// FirstArrival is when the first attempt of a retried request arrived, if the
	// request redeemed a retry reservation and an earlier ask recorded the time;
	// otherwise zero.
	FirstArrival time.Time
	// Deadline is when the whole answer is due.
	Deadline time.Time
	// FirstTarget is the first-token target, the time by which the first token should
	// have arrived. FirstLimit is the first-token limit, the time at which the client
	// stops waiting for it. Both are zero if not set.
	FirstTarget, FirstLimit time.Time
	// NonPreemptible requests are never revoked once granted: their clients would
	// receive a broken answer, and no other server could continue it. Requests of
	// higher tiers wait until they end.
	NonPreemptible bool
	// Excluded names servers that must not run the request.
	Excluded []string
	// NoWait requests are granted or refused immediately, because their front can't
	// buffer them.
	NoWait bool
	// Server names the only server that can run the request, because it holds the
	// request's state; empty means any server. PromptTokens and OutputTokens then
	// count what remains to be computed.
	Server string
}

// Server describes a backend server of the pool as configured by policy.
type Server struct {
	// Name is the server's name.
	Name string
	// Hardware names the hardware generation.
	Hardware string
	// Incarnation changes when the server's process, and with it its memory, is replaced.
	Incarnation int
	// PrefillTokensPerS and DecodeTokensPerS are the initial values of the learned
	// speeds, in tokens per second.
	PrefillTokensPerS float64
	DecodeTokensPerS  float64
	// TokensInFlight is the initial value of the adaptive limit, and the memory that
	// running requests and cached prefixes share, in tokens.
	TokensInFlight int
	// MaxRequests limits the number of concurrent requests.
	MaxRequests int
	// RequestsPerS limits the requests that the server gets per second from the whole
	// fleet; 0 means no limit.
	RequestsPerS float64
	// ColdRequestsPerS is the number of requests per second that the server takes from the
	// whole fleet while it is cold; 0 means no bound.
	ColdRequestsPerS float64
	// ColdUntil is until when the server is cold. A warm server may turn cold at any
	// moment, before its coordinator learns of it.
	ColdUntil time.Time
	// Part is the part of the bounds above that this pool may use.
	Part Part
	// Leaving servers get no new work.
	Leaving bool
	// Evacuated servers get no new work until their availability zone is taken back.
	Evacuated bool
	// Unloaded servers get no new work until they have loaded the pool's model.
	Unloaded bool
}

// closed reports whether policy excludes the server from new work, whatever its
// health.
func (s *Server) closed() bool { return s.Leaving || s.Evacuated || s.Unloaded }

// Limits are the policy limits of one organisation; 0 means no limit.
type Limits struct {
	// MaxWaiting limits the organisation's waiting requests in the pool.
	MaxWaiting int
	// TokensPerMinute is the organisation's quota of granted work.
	TokensPerMinute int
	// ClaimLimit is the fleet-wide rate limit: the number of tokens that may be
	// claimed in each ClaimWindow.
	ClaimLimit  float64
	ClaimWindow time.Duration
	// ClaimWhole is set if all of ClaimLimit may be claimed in each window of a lasting
	// flood, by the highest tiers first.
	ClaimWhole bool
	// ClaimStart is the number of tokens that StartClaims adds to what is left.
	ClaimStart float64
}

// Config holds the fixed parameters of a Pool.
type Config struct {
	// Algorithm is the fair algorithm or one of the baselines.
	Algorithm settings.SchedulerAlgorithm
	// Service pools count requests instead of tokens; each request is one token of
	// work.
	Service bool
	// MaxWaiting limits the number of waiting requests, MaxWaitingTokens the sum of
	// their tokens.
	MaxWaiting       int
	MaxWaitingTokens int
	// FirstTokenTarget and GapTarget (the time between tokens) are the targets of
	// the adaptive limit.
	FirstTokenTarget time.Duration
	GapTarget        time.Duration
	// WaitForFaster lets requests wait for the next place on a faster server.
	WaitForFaster bool
	// ColdOverage is by how much the rate of cold servers may be exceeded.
	ColdOverage ColdOverage
	// GrantPrefix is prepended to grant ids to make them unique in the fleet.
	GrantPrefix string
	// Rebuilding pools don't know all requests that run on their servers.
	Rebuilding bool
	// Seed seeds the random number generator.
	Seed uint64
	// PrefixWeighing weighs what servers hold of a prompt against the wait for them.
	PrefixWeighing bool
}

// LoadReport is the load that a backend server measured itself. It may be older than the
// latest grants.
type LoadReport struct {
	// At is when the server took the measurement.
	At time.Time
	// Running and Waiting count the requests in the server.
	Running, Waiting int
	// TokensInFlight is the sum over these requests.
	TokensInFlight int
	// CacheUsed is the used fraction of the prefix cache, 0 to 1.
	CacheUsed float64
}

// Progress is a front's report on a running grant.
type Progress struct {
	// OutputTokens is the total number delivered so far.
	OutputTokens int
	// FirstToken is the time from dispatch to the first token; 0 before it.
	FirstToken time.Duration
	// Gap is the recent mean time between tokens; 0 if unknown.
	Gap time.Duration
}

// Result is a front's report at the end of a grant.
type Result struct {
	// Outcome says how the grant ended.
	Outcome message.ReleaseOutcome
	// PromptTokens, CachedTokens and OutputTokens are the server's counts.
	PromptTokens int
	CachedTokens int
	OutputTokens int
	// FirstToken is the time from dispatch to the first token.
	FirstToken time.Duration
	// Total is the time from dispatch to the end.
	Total time.Duration
}

// ActionKind is the kind of a decision.
type ActionKind string

// Kinds of actions.
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
	// Request is the subject of the action; empty for ejections and readmissions.
	// It must not be modified.
	Request *Request
	// Grant is the grant's id, for grants and revocations.
	Grant string
	// Server is the backend server.
	Server string
	// Refusal is the reason code of a refusal.
	Refusal message.RefusalReason
	// Reason is a human-readable explanation.
	Reason string
	// LowestTier is the rank of the lowest tier that waits or runs in the pool; -1
	// if there is none.
	LowestTier int
	// SavedTokens is, for grants, the number of prompt tokens that the server is expected
	// to hold, PrefixAge the time since they were known to be held, and PrefixWait how long
	// the request waited for a server that holds some.
	SavedTokens           int
	PrefixAge, PrefixWait time.Duration
	// RetryAfter is the advised delay before a retry; 0 if none is advised.
	RetryAfter time.Duration
}
