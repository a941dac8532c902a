package coordinator

import (
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/quarantine"
	"mimosafront/internal/sched"
	"mimosafront/internal/status"
	"mimosafront/internal/verdict"
)

// Explain says what would happen to a request that was asked for now; ok is false if this
// host doesn't coordinate its pool. It changes no state.
func (s *State) Explain(now time.Time, ask *message.Ask) (e status.Explanation, ok bool) {
	ps := s.pools[ask.Pool]
	if ps == nil {
		return e, false
	}
	r := s.withParts(newRequest(now, s.config.Host, ask), ask.Parts, ask.PartTokens)
	found := ps.sched.Explain(now, r)
	e = status.Explanation{
		Tier: s.tierName(r.Tier), Policy: s.generation(), Rebuilding: ps.rebuilding,
		Ahead: found.Ahead, AheadTokens: found.AheadTokens, Waiting: found.Waiting, ExpectedWaitMs: milliseconds(found.Wait),
		Zones: s.explainZones(now, ps, &r),
	}
	convicted := &entry{request: r, promptParts: ask.Parts}
	if s.parts.State(now, convicted.sharedParts()) == quarantine.Quarantined {
		found.Refusal, found.Reason, found.RetryAfter = message.RefusalReasonPoison, "a part of its prompt crashed several backend servers", 0
	}
	if found.Refusal != "" {
		e.Refusal = &status.ExplainedRefusal{
			Reason: string(found.Refusal), Text: found.Reason, Verdict: string(verdict.NotRun), RetryAfterMs: milliseconds(found.RetryAfter),
		}
	}
	for i := range found.Candidates {
		e.Servers = append(e.Servers, explainServer(&found.Candidates[i]))
	}
	return e, true
}

func explainServer(c *sched.Candidate) status.ExplainedServer {
	server := status.ExplainedServer{
		Server: c.Server, LeftOut: c.LeftOut, FirstTokenMs: milliseconds(c.FirstToken), TotalMs: milliseconds(c.Total),
		InterferenceMs: milliseconds(c.Interference), ScoreMs: milliseconds(c.Score),
		HeldTokens: c.HeldTokens, HeldAgeMs: milliseconds(c.HeldAge),
		Requests: c.Load.Requests, Tokens: c.Load.Tokens, TokenLimit: c.Load.TokenLimit, ReportAgeMs: -1,
	}
	if c.Load.Reported {
		server.ReportAgeMs = milliseconds(c.Load.ReportAge)
	}
	return server
}

// explainZones describes the siblings whose digests are fresh.
func (s *State) explainZones(now time.Time, ps *poolState, r *sched.Request) (zones []status.ExplainedZone) {
	saving := ps.sched.PrefixSaving(r)
	for _, sib := range s.freshSiblings(now, ps) {
		zones = append(zones, status.ExplainedZone{
			Zone: sib.zone, WaitMs: milliseconds(sib.wait(r)), CostMs: milliseconds(2*s.linkDelay(sib.zone) + minRedirectGain + saving),
			DigestAgeMs: milliseconds(now.Sub(sib.lastDigest)),
		})
	}
	return zones
}

func milliseconds(d time.Duration) int { return int(d.Milliseconds()) }
