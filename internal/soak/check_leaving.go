package soak

import "time"

// checkLeaving reports requests that a host dispatched to a leaving server after its
// leavingDeadline.
func (c *checker) checkLeaving() {
	for _, l := range c.leavePeriods {
		bounds := map[string]time.Time{}
		for name := range c.hosts {
			bounds[name] = c.leavingDeadline(l, name)
			if bounds[name].Before(l.end) {
				c.result.Checked[RuleLeaving]++
			}
		}
		for _, e := range c.executions {
			sender := c.recordByHash[e.Seed]
			if sender == nil || e.server != l.server || e.Time.After(l.end) {
				continue
			}
			if late := e.Time.Sub(bounds[sender.Host]); late > 0 {
				c.addViolation(RuleLeaving, []string{e.ID}, "%s got request %s from %s %s after the deadline", l.server, e.ID, sender.Host, late.Round(time.Millisecond))
			}
		}
	}
}

// leavingDeadline returns the time after which a host must not dispatch to a leaving
// server: hostListLag plus leavingGrace, counted anew from the end of each fault that
// keeps the host from reading the list.
func (c *checker) leavingDeadline(l *leavePeriod, host string) time.Time {
	begin := l.begin
	for {
		bound, moved := begin.Add(hostListLag+leavingGrace), false
		for _, in := range c.faults {
			hides := in.Target == host || hidesList[in.Kind]
			if hides && in.Began.Before(bound) && in.Ended.After(begin) {
				begin, moved = in.Ended, true
			}
		}
		if !moved {
			return bound
		}
	}
}

// hidesList holds the platform faults that keep hosts from reading the newest list.
var hidesList = map[Kind]bool{KindPlatformDown: true, KindPlatformStale: true, KindPlatformRevert: true}
