// Package suspend distinguishes suspensions of the machine from steps of its wall
// clock. Both move the wall clock ahead of the monotonic clock.
package suspend

import (
	"time"

	"mimosafront/internal/eventlog"
)

// minStep is the smallest change of the offset between the clocks that is examined.
// Smaller changes come from the slewing of the wall clock.
const minStep = 100 * time.Millisecond

// Detector detects suspensions of the machine. It is not safe for concurrent use.
type Detector struct {
	logger *eventlog.Logger
	// totalSuspended returns how long the machine was suspended since it was started.
	totalSuspended func() (time.Duration, error)
	start          time.Time
	// offset is the wall clock time since start minus the monotonic time since start,
	// at the last call.
	offset time.Duration
	// lastTotal is the last result of totalSuspended.
	lastTotal time.Duration
}

// New returns a Detector for this machine.
func New(logger *eventlog.Logger) *Detector { return newDetector(logger, suspendedTime) }

func newDetector(logger *eventlog.Logger, totalSuspended func() (time.Duration, error)) *Detector {
	d := &Detector{logger: logger, totalSuspended: totalSuspended, start: time.Now()}
	total, err := totalSuspended()
	if err != nil {
		logger.Warn("suspensions can't be distinguished from steps of the wall clock", "error", err)
	}
	d.lastTotal = total
	return d
}

// Suspended reports whether the machine was suspended since the last call. now must
// hold a reading of both clocks, as time.Now returns it.
func (d *Detector) Suspended(now time.Time) bool {
	return d.checkOffset(now.Round(0).Sub(d.start.Round(0)) - now.Sub(d.start))
}

// checkOffset reports whether the growth of the offset since the last call came from a
// suspension. It reads the suspended time only if the offset grew by minStep.
func (d *Detector) checkOffset(offset time.Duration) bool {
	step := offset - d.offset
	d.offset = offset
	if step < minStep {
		return false
	}
	total, err := d.totalSuspended()
	if err != nil {
		d.logger.Warn("wall clock went ahead: treated as a suspension", "step", step, "error", err)
		return true
	}
	suspended := total - d.lastTotal
	d.lastTotal = total
	d.logger.Info("wall clock went ahead", "step", step, "suspended", suspended)
	return suspended >= minStep
}
