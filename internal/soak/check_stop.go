package soak

import (
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/verdict"
)

// checkPlannedStops reports planned stops that cut requests, by the exit code, by the
// error that callers received, and by connections that broke without an error message.
// Broken connections count only if the answer had started or the request was sent at
// least acceptTimeout before the stop, and no kill or pause affected the host.
func (c *checker) checkPlannedStops() {
	for _, r := range c.records {
		if r.Code == apierror.CodeStopping && r.Verdict != verdict.NotRun {
			c.addViolation(RulePlannedStop, c.executionIDs(r.PromptHash), "%q got the error that the stop of %s cut it", r.Prompt, r.Host)
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
