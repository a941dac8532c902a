package soak

import (
	"time"

	"mimosafront/internal/standin/engine"
)

const (
	// cutOffTime is how long a host may read an answer without an end: as long as callers
	// wait for a sound server to begin.
	cutOffTime = 2 * time.Second
	// maxEndlessBytes is what a host may read of it, in bytes. Buffers of connections hold
	// some megabytes more.
	maxEndlessBytes = 16 << 20
)

// endlessAnswer is an answer without an end, with the engine's name.
type endlessAnswer struct {
	engine.EndlessAnswer
	server string
}

// checkEndless reports endless answers that a host read for too long or too much of. It
// skips those beside a fault that stops hosts or their connections.
func (c *checker) checkEndless() {
	for _, a := range c.endless {
		end := a.Ended
		if end.IsZero() {
			end = a.Began.Add(time.Hour)
		}
		if c.sharingDisturbed(a.Began.Add(-settleTime), end) {
			continue
		}
		c.result.Checked[RuleEndless]++
		if took := end.Sub(a.Began); took > cutOffTime {
			c.addViolation(RuleEndless, []string{a.Request}, "%s sent an answer without an end (%s) for %s", a.server, a.Mode, took.Round(time.Millisecond))
		}
		if a.Bytes > maxEndlessBytes {
			c.addViolation(RuleEndless, []string{a.Request}, "%s sent %d bytes of an answer without an end (%s)", a.server, a.Bytes, a.Mode)
		}
	}
}
