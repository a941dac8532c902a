package soak

import "time"

const (
	// drainTime is how long a host may send requests to a server after an answer in which
	// the server announced that it is leaving. It is the users' bound.
	drainTime = 2 * time.Second
	// shareTime is how much later hosts that other hosts tell may do so.
	shareTime = time.Second
	// announcementTTL is how long hosts avoid a server after its announcements, since
	// they don't know whether it starts again.
	announcementTTL = 15 * time.Second
)

// checkAnnouncedLeaves reports requests that a host dispatched to a server later than
// drainTime after an answer told the host that the server is leaving, or later than
// shareTime after that if the answer told another host. A restart or pause of the host
// since then excuses it. What other hosts share may be lost while a fault affects hosts
// or links.
func (c *checker) checkAnnouncedLeaves() {
	for _, l := range c.announcedLeaves {
		told := c.toldLeaving(l)
		if len(told) == 0 {
			continue
		}
		c.result.Checked[RuleAnnounced] += len(told)
		first := l.end
		for _, at := range told {
			if at.Before(first) {
				first = at
			}
		}
		for _, e := range c.executions {
			sender := c.recordByHash[e.Seed]
			if sender == nil || e.server != l.server || !e.Time.After(first) || e.Time.After(l.end) {
				continue
			}
			c.checkAnnouncedLeave(l, e, sender.Host, told[sender.Host], first)
		}
	}
}

// toldLeaving returns by host when the first whole answer of a server that announced that
// it is leaving had reached the host.
func (c *checker) toldLeaving(l *leavePeriod) map[string]time.Time {
	told := map[string]time.Time{}
	for _, e := range c.executions {
		sender := c.recordByHash[e.Seed]
		if sender == nil || !sender.Complete || e.server != l.server || e.Time.Before(l.begin) || !sender.Ended.Before(l.end) {
			continue
		}
		if at, ok := told[sender.Host]; !ok || sender.Ended.Before(at) {
			told[sender.Host] = sender.Ended
		}
	}
	return told
}

// checkAnnouncedLeave applies the rule to a request that a leaving server received.
// toldAt is when an answer told the host, zero if none did, and first when one told any
// host.
func (c *checker) checkAnnouncedLeave(l *leavePeriod, e execution, host string, toldAt, first time.Time) {
	excused := func(since time.Time) bool {
		return c.faultActive(since, e.Time, func(in *injectedFault) bool { return in.Target == host })
	}
	if !toldAt.IsZero() && !excused(toldAt) && e.Time.After(toldAt.Add(drainTime)) {
		c.addViolation(RuleAnnounced, []string{e.ID}, "%s got request %s from %s %s after it had told that host that it leaves",
			l.server, e.ID, host, e.Time.Sub(toldAt).Round(time.Millisecond))
		return
	}
	if e.Time.After(first.Add(drainTime+shareTime)) && !c.sharingDisturbed(first, e.Time) {
		c.addViolation(RuleAnnounced, []string{e.ID}, "%s got request %s from %s %s after it had told another host that it leaves",
			l.server, e.ID, host, e.Time.Sub(first).Round(time.Millisecond))
	}
}

// sharingDisturbed reports whether a fault of hosts or links was active in an interval.
func (c *checker) sharingDisturbed(from, to time.Time) bool {
	return c.faultActive(from, to, func(in *injectedFault) bool {
		switch in.Kind {
		case KindKill, KindPause, KindRestart, KindZoneCut, KindOneWayCut, KindSilentLinks:
			return true
		}
		return false
	})
}
