// Package suspend tells a suspended machine from a step of its wall clock: after both,
// the wall clock is ahead of the monotonic one.
package suspend

import (
	"time"

	"mimosafront/internal/eventlog"
)

// minStep is the difference of the two clocks from which on they are compared: below
// it, it is the slewing of the wall clock.
const minStep = 100 * time.Millisecond

// Detector notices suspensions by the clocks. It is for one goroutine.
type Detector struct {
	logger *eventlog.Logger
	// totalSuspended returns how long the machine was suspended since it was started.
	totalSuspended func() (time.Duration, error)
	start          time.Time
	// offset is what the wall clock was ahead of the monotonic one at the last call,
	// since start.
	offset time.Duration
	// lastTotal is the last total.
	lastTotal time.Duration
}

// New returns a Detector for this machine.
func New(logger *eventlog.Logger) *Detector { return newDetector(logger, suspendedTime) }

func newDetector(logger *eventlog.Logger, totalSuspended func() (time.Duration, error)) *Detector {
	d := &Detector{logger: logger, totalSuspended: totalSuspended, start: time.Now()}
	total, err := totalSuspended()
	if err != nil {
		logger.Warn("suspensions can't be told from steps of the wall clock", "error", err)
	}
	d.lastTotal = total
	return d
}

// Suspended reports whether the machine was suspended since the last call. now has both
// clocks, as time.Now returns it.
func (d *Detector) Suspended(now time.Time) bool {
	return d.checkOffset(now.Round(0).Sub(d.start.Round(0)) - now.Sub(d.start))
}

// checkOffset asks for the suspended time after a step of the wall clock alone.
func (d *Detector) checkOffset(offset time.Duration) bool {
	step := offset - d.offset
	d.offset = offset
	if step < minStep {
		return false
	}
	total, err := d.totalSuspended()
	if err != nil {
		d.logger.Warn("wall clock went ahead: taken for a suspension", "step", step, "error", err)
		return true
	}
	suspended := total - d.lastTotal
	d.lastTotal = total
	d.logger.Info("wall clock went ahead", "step", step, "suspended", suspended)
	return suspended >= minStep
}
