package suspend

import (
	"syscall"
	"time"
	"unsafe"
)

// The ids of the clocks of clock_gettime(2).
const (
	clockMonotonic = 1
	clockBoottime  = 7
)

// suspendedTime returns how long the machine was suspended since it was started: the
// boot time clock runs during a suspension, the monotonic clock stops.
func suspendedTime() (time.Duration, error) {
	monotonic, err := readClock(clockMonotonic)
	if err != nil {
		return 0, err
	}
	boot, err := readClock(clockBoottime)
	if err != nil {
		return 0, err
	}
	return boot - monotonic, nil
}

// readClock returns the reading of a clock as the time since the clock's epoch.
func readClock(clockID uintptr) (time.Duration, error) {
	var ts syscall.Timespec
	_, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockID, uintptr(unsafe.Pointer(&ts)), 0)
	if errno != 0 {
		return 0, errno
	}
	return time.Duration(ts.Nano()), nil
}
