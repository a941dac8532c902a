package sched

import (
	"cmp"
	"slices"
	"time"

	"mimosafront/internal/status"
)

// Status returns the queues and servers for display. tierName names the tiers.
func (p *Pool) Status(tierName func(rank int) string) ([]status.Queue, []status.Server) {
	type key struct {
		tier         int
		organisation string
	}
	queues := map[key]*status.Queue{}
	queue := func(r *Request) *status.Queue {
		k := key{r.Tier, r.Organisation}
		if queues[k] == nil {
			queues[k] = &status.Queue{Organisation: r.Organisation, Tier: tierName(r.Tier)}
		}
		return queues[k]
	}
	for _, w := range p.queue.byID {
		q := queue(w.Request)
		q.Waiting++
		q.WaitingTokens += w.tokens
	}
	for _, g := range p.grants {
		queue(g.Request).Running++
	}
	for k := range queues {
		queues[k].ServedTokens = p.usage[UsageKey{k.organisation, tierIndex(k.tier)}]
	}
	keys := make([]key, 0, len(queues))
	for k := range queues {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(a.tier-b.tier, cmp.Compare(a.organisation, b.organisation))
	})
	list := make([]status.Queue, len(keys))
	for i, k := range keys {
		list[i] = *queues[k]
	}
	return list, p.serverStatus()
}

func (p *Pool) serverStatus() []status.Server {
	list := make([]status.Server, len(p.servers))
	for i, s := range p.servers {
		state := s.health.state.String()
		switch {
		case s.Leaving:
			state = "leaving"
		case s.Evacuated:
			state = "evacuated"
		case s.Unloaded:
			state = "unloaded"
		}
		list[i] = status.Server{
			Name:              s.Name,
			Requests:          len(s.grants),
			RequestLimit:      s.allowedRequests(),
			State:             state,
			TokenLimit:        s.limit.tokens(0),
			Tokens:            s.tokens,
			GapMs:             s.speed.gap * millisPerSecond,
			ColdMs:            int(max(s.ColdUntil.Sub(p.callTime), 0).Milliseconds()),
			RequestsPerS:      s.pace.bound(p.callTime).perS,
			PrefillTokensPerS: s.speed.prefill,
		}
	}
	return list
}

const millisPerSecond = 1000

// ServerLoad is the load of one server as the pool knows it.
type ServerLoad struct {
	// Requests and Tokens are in flight; TokenLimit is the current limit of the tokens.
	Requests, Tokens, TokenLimit int
	// ReportAge is the age of the server's last load report; it is valid only if
	// Reported is set.
	ReportAge time.Duration
	Reported  bool
}

// ServerLoad returns the load of a server; zero if the pool has no server of that name.
func (p *Pool) ServerLoad(now time.Time, name string) ServerLoad {
	s := p.byName[name]
	if s == nil {
		return ServerLoad{}
	}
	return ServerLoad{
		Requests: len(s.grants), Tokens: s.tokens, TokenLimit: s.limit.tokens(s.limit.foreignAt(now)),
		ReportAge: now.Sub(s.limit.lastReport), Reported: !s.limit.lastReport.IsZero(),
	}
}

// Waiting returns the number of waiting requests.
func (p *Pool) Waiting() int { return p.queue.waiting }

// ServersInUse adds to used, for each server with running requests, the rank of the
// highest tier among them, unless used holds a higher one already.
func (p *Pool) ServersInUse(used map[string]int) {
	for _, g := range p.grants {
		rank, ok := used[g.server.Name]
		if !ok || g.Tier < rank {
			used[g.server.Name] = g.Tier
		}
	}
}
