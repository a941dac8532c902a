//go:build !linux

package suspend

import (
	"errors"
	"time"
)

// suspendedTime returns an error: there is no portable clock of the suspended time.
func suspendedTime() (time.Duration, error) { return 0, errors.ErrUnsupported }
