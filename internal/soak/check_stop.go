package soak

import (
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/verdict"
)

// checkPlannedStops looks for planned stops that cut requests: by their exit code,
// by what callers were told, and by callers whose connection broke without a word.
// The last count if their answer had begun, or their request was sent well before
// the stop, and nothing else befell their host.
func (c *checker) checkPlannedStops() {
	for _, r := range c.records {
		if r.Code == apierror.CodeStopping && r.Verdict != verdict.NotRun {
			c.addViolation(RulePlannedStop, c.executionIDs(r.PromptHash), "%q was told that the stop of %s cut it", r.Prompt, r.Host)
		}
	}
	for name, h := range c.hosts {
		for _, s := range h.stops {
			if anyWithin(h.kills, s.At, s.Ended) && !s.TimedOut {
				continue
			}
			c.result.Checked[RulePlannedStop]++
			if s.TimedOut {
				c.addViolation(RulePlannedStop, nil, "%s did not stop within %s", name, stopTimeout)
			} else if s.ExitCode != 0 {
				c.addViolation(RulePlannedStop, nil, "%s ended its planned stop with code %d", name, s.ExitCode)
			}
			c.checkDisconnections(name, s)
		}
	}
}

func (c *checker) checkDisconnections(name string, s plannedStop) {
	for _, r := range c.records {
		accepted := r.AnswerStarted && r.Sent.Before(s.Ended) || r.Sent.Before(s.At.Add(-acceptTimeout))
		if r.Host != name || !r.Disconnected || !accepted || r.Ended.Before(s.At) {
			continue
		}
		h := c.hosts[name]
		if r.Ended.Sub(r.Sent) < requestTimeout && !anyWithin(h.kills, r.Sent, r.Ended) && !anyWithin(h.pauses, r.Sent.Add(-settleTime), r.Ended) {
			c.addViolation(RulePlannedStop, c.executionIDs(r.PromptHash), "%q was cut by the planned stop of %s", r.Prompt, name)
		}
	}
}

func anyWithin(times []time.Time, from, to time.Time) bool {
	for _, t := range times {
		if !t.Before(from) && !t.After(to) {
			return true
		}
	}
	return false
}
