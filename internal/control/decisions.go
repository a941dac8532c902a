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
	case coordinator.DecisionEject, coordinator.DecisionReadmit, coordinator.DecisionQuarantine, decisionRollout:
		d.logger.Info(string(c.Kind), "zone", c.Pool.Zone, "target", c.Pool.Target, "server", c.Server,
			"policy", c.Inputs.Policy, "reason", c.Reason)
	case coordinator.DecisionRedirect:
		d.metrics.Tagged(map[string]string{"cause": string(c.Cause)}).Counter("redirects").Inc(1)
		fallthrough
	default:
		d.logger.Decision(c.At, string(c.Kind), decisionFields(c)...)
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
