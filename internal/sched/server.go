package sched

import "time"

// server is a backend server of the pool and its grants.
//
// Invariant: tokens and prefill are sums over grants.
type server struct {
	index  int
	grants []*running
	// tokens is the number of tokens in flight: the estimated prompt and output of all
	// grants.
	tokens int
	// tokenLimit is the limit of tokens in flight in the current cycle.
	tokenLimit int
	// requestLimit is the limit of concurrent requests in the current cycle.
	requestLimit int
	// prefill is the number of uncached prompt tokens of the grants without a first
	// token.
	prefill int
	// reservedFor is the waiting request that the server is reserved for.
	reservedFor *waiter
	// awaitingTokens and awaitingRequests are the sums over the waiting requests for
	// which work was revoked here.
	awaitingTokens, awaitingRequests int
	// overcommitted is set while the server is over its limits because a request started
	// before the work revoked for it had ended.
	overcommitted bool

	// headroomTiers are the tiers for which the server is headroom.
	headroomTiers tierSet
	// spareTokens of a headroom server are left in the current cycle for requests of
	// organisations over their share.
	spareTokens int
	// stale servers changed since their free capacity was computed.
	stale bool

	Server
	health health
	speed  speed
	limit  limit
	pace   pace
	cached *cachedPrefixes
	// prefixes is the accuracy of the estimates that rest on computed prefixes.
	prefixes prefixAccuracy
}

// running is a request that holds a grant.
type running struct {
	*Request
	id string
	// tier is the tier that the request is queued and shed under.
	tier      int
	server    *server
	account   *callerQueue
	grantedAt time.Time
	// tokens is the number of tokens in flight that count against the server's limit.
	tokens int
	// charged is the number of tokens charged to the account.
	charged float64
	// queuedPrefill is the prefill of the server's other grants at the time of this
	// grant, in tokens.
	queuedPrefill int
	// expected is the predicted time of the whole answer.
	expected time.Duration
	// uncached is the expected number of prompt tokens to be computed.
	uncached int
	// held is what the server held of the prompt at the grant, if prefixes are weighed.
	held heldPrompt
	// cached are the prefixes of the server in which those of the grant are counted; nil
	// if they aren't.
	cached *cachedPrefixes
	// prefilled is the number of prompt tokens counted as computed.
	prefilled     float64
	outputTokens  int
	hasFirstToken bool
	lastProgress  time.Time
	revoked       bool
}

func (s *server) add(g *running) {
	s.grants = append(s.grants, g)
	s.tokens += g.tokens
	if !g.hasFirstToken {
		s.prefill += g.uncached
	}
}

func (s *server) remove(g *running) {
	last := len(s.grants) - 1
	for i, other := range s.grants {
		if other == g {
			s.grants[i] = s.grants[last]
			s.grants[last] = nil
			s.grants = s.grants[:last]
			break
		}
	}
	s.tokens -= g.tokens
	if !g.hasFirstToken {
		s.prefill -= g.uncached
	}
	if s.overcommitted && !s.overLimit() {
		s.overcommitted = false
	}
}

// overLimit reports whether more runs than the limits allow.
func (s *server) overLimit() bool { return s.tokens > s.tokenLimit || len(s.grants) > s.requestLimit }

// creditPrefill counts as computed the prefill that the server's hardware could do in the
// passed time. The rest is counted at the first token, so that a slower server is measured
// as slow.
func (s *server) creditPrefill(passed time.Duration) {
	budget := passed.Seconds() * s.speed.prefillSeed
	for _, g := range s.grants {
		if part := min(float64(g.uncached)-g.prefilled, budget); !g.hasFirstToken && part > 0 {
			g.prefilled += part
			budget -= part
			s.speed.window.prefilled += part
		}
	}
}

// grantableTokens returns the tokens that could be granted now, in requests of the mean
// size of the running ones.
func (s *server) grantableTokens() int {
	if len(s.grants) == 0 {
		return s.tokenLimit
	}
	each := s.tokens / len(s.grants)
	return max(0, min(s.tokenLimit-s.tokens, each*(s.requestLimit-len(s.grants))))
}

// tokensUntilRoom returns how many tokens each stream must produce until there is room
// for a request of the given tokens in flight.
func (s *server) tokensUntilRoom(tokens int) float64 {
	excess := min(s.tokens+tokens-s.tokenLimit, s.tokens)
	if len(s.grants) >= s.requestLimit {
		excess = max(excess, s.tokens/max(1, len(s.grants)))
	}
	return float64(excess) / float64(max(1, len(s.grants)))
}

// recordFirstToken records that a grant delivered its first token.
func (s *server) recordFirstToken(g *running) {
	if !g.hasFirstToken {
		g.hasFirstToken = true
		s.prefill -= g.uncached
		s.speed.window.prefilled += float64(g.uncached) - g.prefilled
	}
}

// shrinkPrefill lowers the prompt tokens that a grant has to compute when the server had
// more of them cached than expected.
func (s *server) shrinkPrefill(g *running, uncached int) {
	uncached = max(0, min(g.uncached, uncached))
	if !g.hasFirstToken {
		s.prefill -= g.uncached - uncached
	}
	g.uncached = uncached
}

// raiseTokens raises the tokens in flight of a grant that delivered more tokens than
// expected.
func (s *server) raiseTokens(g *running, tokens int) {
	if tokens > g.tokens {
		s.tokens += tokens - g.tokens
		g.tokens = tokens
	}
}
