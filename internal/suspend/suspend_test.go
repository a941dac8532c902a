package suspend

import (
	"errors"
	"testing"
	"time"

	"mimosafront/internal/eventlog"
)

func TestSuspensionsDifferFromClockSteps(t *testing.T) {
	for _, c := range []struct {
		name             string
		ahead, suspended time.Duration
		err              error
		want             bool
	}{
		{name: "none", suspended: time.Minute},
		{name: "slewed", ahead: minStep / 2},
		{name: "set ahead", ahead: 4 * time.Second},
		{name: "set back", ahead: -4 * time.Second},
		{name: "suspended", ahead: 4 * time.Second, suspended: 4 * time.Second, want: true},
		{name: "suspended and set ahead", ahead: time.Minute, suspended: time.Second, want: true},
		{name: "unknown", ahead: 4 * time.Second, err: errors.ErrUnsupported, want: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var total time.Duration
			d := newDetector(eventlog.Discard(), func() (time.Duration, error) { return total, c.err })
			total = c.suspended
			if got := d.checkOffset(c.ahead); got != c.want {
				t.Errorf("suspended: %t, want %t", got, c.want)
			}
			if d.checkOffset(c.ahead) {
				t.Error("the same step counted twice")
			}
		})
	}
}

func TestRunningMachineIsNotSuspended(t *testing.T) {
	d := New(eventlog.Discard())
	if d.Suspended(time.Now()) {
		t.Error("a running machine is reported as suspended")
	}
	if _, err := suspendedTime(); err != nil {
		t.Errorf("the clocks can't be read: %v", err)
	}
}
