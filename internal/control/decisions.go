package control

import (
	"github.com/uber-go/tally/v4"

	"mimosafront/internal/coordinator"
	"mimosafront/internal/eventlog"
	"mimosafront/internal/sched"
)

// decisionLog writes one log record for each decision and counts redirects.
type decisionLog struct {
	logger  *eventlog.Logger
	metrics tally.Scope
}

func newDecisionLog(logger *eventlog.Logger, metrics tally.Scope) *decisionLog {
	return &decisionLog{logger: logger, metrics: metrics}
}

func (d *decisionLog) writeAll(decisions []coordinator.Decision) {
	for i := range decisions {
		d.write(&decisions[i])
	}
}

func (d *decisionLog) write(c *coordinator.Decision) {
	switch c.Kind {
	case coordinator.DecisionRefuse:
		d.writeRefusal(c)
	case coordinator.DecisionEject, coordinator.DecisionReadmit, coordinator.DecisionQuarantine,
		coordinator.DecisionShareLimits, decisionRollout:
		d.logger.Info(string(c.Kind), "zone", c.Pool.Zone, "target", c.Pool.Target, "server", c.Server,
			"policy", c.Inputs.Policy, "reason", c.Reason)
	case coordinator.DecisionGrant:
		d.countPrefix(c)
		d.logger.Decision(c.At, string(c.Kind), decisionFields(c)...)
	case coordinator.DecisionRedirect:
		d.metrics.Tagged(map[string]string{"cause": string(c.Cause)}).Counter("redirects").Inc(1)
		fallthrough
	default:
		d.logger.Decision(c.At, string(c.Kind), decisionFields(c)...)
	}
}

// countPrefix counts what the prefixes on the server of a grant are expected to save, and
// the wait for it.
func (d *decisionLog) countPrefix(c *coordinator.Decision) {
	if c.Inputs.SavedTokens > 0 {
		d.metrics.Counter("prefix_grants").Inc(1)
		d.metrics.Counter("prefix_saved_tokens").Inc(int64(c.Inputs.SavedTokens))
	}
	if c.Inputs.PrefixWait > 0 {
		d.metrics.Counter("prefix_waits").Inc(1)
		d.metrics.Counter("prefix_wait_ms").Inc(c.Inputs.PrefixWait.Milliseconds())
	}
}

// countPrefixChecks counts how estimates of held prefixes turned out.
func (d *decisionLog) countPrefixChecks(counts sched.PrefixCounts) {
	for result, n := range map[string]int{"right": counts.Right, "wrong": counts.Wrong, "unchecked": counts.Unchecked} {
		if n > 0 {
			d.metrics.Tagged(map[string]string{"result": result}).Counter("prefix_estimates").Inc(int64(n))
		}
	}
}

func (d *decisionLog) writeRefusal(c *coordinator.Decision) {
	r := eventlog.Refusal{Request: c.Request, Organisation: c.Organisation, Tier: c.TierName, Reason: c.Reason}
	d.logger.Refuse(c.At, r, string(c.Kind), append(decisionFields(c),
		"lowest_tier", c.Inputs.LowestTier, "retry_after_ms", c.Inputs.RetryAfter.Milliseconds())...)
}

// decisionFields returns the keys and values logged for a decision on a request.
func decisionFields(c *coordinator.Decision) []any {
	list := []any{
		"request", c.Request, "zone", c.Pool.Zone, "target", c.Pool.Target,
		"organisation", c.Organisation, "caller", c.Caller, "tier", c.TierName,
		"verdict", c.Verdict, "reason", c.Reason, "policy", c.Inputs.Policy,
		"waited_ms", c.Inputs.Waited.Milliseconds(), "waiting", c.Inputs.Waiting,
	}
	if c.Kind == coordinator.DecisionQueue {
		list = append(list, "expected_wait_ms", c.Inputs.ExpectedWait.Milliseconds())
	}
	if c.Grant != "" {
		list = append(list, "grant", c.Grant)
	}
	if c.Inputs.Claim > 0 {
		list = append(list, "claim_tokens", c.Inputs.Claim)
	}
	if c.Inputs.SavedTokens > 0 || c.Inputs.PrefixWait > 0 {
		list = append(list, "saved_tokens", c.Inputs.SavedTokens, "prefix_age_ms", c.Inputs.PrefixAge.Milliseconds(),
			"prefix_wait_ms", c.Inputs.PrefixWait.Milliseconds())
	}
	if c.Zone != "" {
		list = append(list, "to", c.Zone, "digest_age_ms", c.Inputs.DigestAge.Milliseconds())
	}
	if c.Server == "" {
		return list
	}
	return append(append(list, "server", c.Server), serverFields(c.Inputs.Server)...)
}

// serverFields returns the keys and values logged for the load of a backend server at
// the time of a decision.
func serverFields(s sched.ServerLoad) []any {
	list := []any{"server_requests", s.Requests, "server_tokens", s.Tokens, "server_limit", s.TokenLimit}
	if s.Reported {
		return append(list, "report_age_ms", s.ReportAge.Milliseconds())
	}
	return append(list, "report_age_ms", "none")
}
