package soak

import (
	"slices"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/standin/engine"
)

// capacityCodes are the codes of refusals and revocations for lack of capacity or time.
var capacityCodes = map[apierror.Code]bool{
	apierror.CodeShed: true, apierror.CodeQueueFull: true, apierror.CodeDeadline: true, apierror.CodeRevoked: true,
}

// checkShed reports refused requests for which a request of a lower tier ran in the
// same zone from their send time to their refusal, and then finished. It skips
// intervals with faults other than floods, policy changes and leaving servers, and
// servers that were leaving, so that the host could reach the server and the server
// could take the request.
func (c *checker) checkShed() {
	for _, r := range c.records {
		if !capacityCodes[r.Code] || r.Poison || r.Tier == len(tiers)-1 || !c.withoutDisruption(r.Sent, r.Ended) {
			continue
		}
		c.result.Checked[RuleShed]++
		for _, e := range c.executions {
			lower := c.recordByHash[e.Seed]
			if lower == nil || lower.Tier <= r.Tier || e.server[:1] != r.Host[:1] || e.Outcome != engine.OutcomeFinished {
				continue
			}
			if e.Time.After(r.Sent) || e.Ended.Before(r.Ended) || c.stoppedBeforeRefusal(e, lower, r) || c.wasLeaving(e.server, r.Sent, r.Ended) {
				continue
			}
			c.addViolation(RuleShed, []string{e.ID}, "%q of tier %s through %s, sent at %s, was refused (%s) at %s while %q of tier %s ran on %s from %s to %s",
				r.Prompt, tiers[r.Tier], r.Host, formatClock(r.Sent), r.Code, formatClock(r.Ended), lower.Prompt, tiers[lower.Tier], e.server, formatClock(e.Time), formatClock(e.Ended))
			break
		}
	}
}

// stoppedBeforeRefusal reports whether the lower request had been stopped when the other
// was refused: its grant was revoked or had ended, its engine held it, or its caller
// had received the end. The engine generates some tokens ahead of the caller and may
// finish before the revocation arrives.
func (c *checker) stoppedBeforeRefusal(e execution, lower *requestRecord, refused requestRecord) bool {
	return c.decisions.grantEndedBy(e.ID, refused.Ended) ||
		e.heldDuring(refused.Sent, refused.Ended) ||
		!lower.Ended.IsZero() && lower.Ended.Before(refused.Ended)
}

// formatClock returns the UTC time of day with milliseconds, as in log lines.
func formatClock(t time.Time) string { return t.UTC().Format("15:04:05.000") }

// heldDuring reports whether the engine held the request at some time in an interval.
func (e *execution) heldDuring(from, to time.Time) bool {
	return slices.ContainsFunc(e.Holds, func(h engine.Hold) bool { return h.Begin.Before(to) && h.End.After(from) })
}

// wasLeaving reports whether a backend server was leaving at some time in an interval.
func (c *checker) wasLeaving(server string, from, to time.Time) bool {
	return c.faultActive(from, to, func(in *injectedFault) bool { return in.leaves() && in.Target == server })
}

// withoutDisruption reports whether no fault other than floods, policy changes and
// leaving servers was active in an interval.
func (c *checker) withoutDisruption(from, to time.Time) bool {
	return !c.faultActive(from, to, func(in *injectedFault) bool {
		return in.Kind != KindFloodLow && in.Kind != KindFloodHigh && in.Kind != KindPolicy && !in.leaves()
	})
}

// leaves reports whether the fault is a server that leaves.
func (in *injectedFault) leaves() bool {
	return in.Kind == KindLeaving || in.Kind == KindAnnouncedLeave
}
