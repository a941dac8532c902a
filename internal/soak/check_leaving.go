package soak

import "time"

// checkLeaving looks for requests that a leaving server received from a host
// which must have learned that it leaves.
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
				c.addViolation(RuleLeaving, []string{e.ID}, "%s got request %s from %s %s after the bound", l.server, e.ID, sender.Host, late.Round(time.Millisecond))
			}
		}
	}
}

// leavingGrace returns when a host must have stopped to use a leaving server:
// after a time in which the platform showed the list and the host could read it.
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

// hidesList holds the faults of the platform in which a host can't learn the
// newest list.
var hidesList = map[Kind]bool{KindPlatformDown: true, KindPlatformStale: true, KindPlatformRevert: true}
