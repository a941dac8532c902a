//go:build !linux

package suspend

import (
	"errors"
	"time"
)

func suspendedTime() (time.Duration, error) { return 0, errors.ErrUnsupported }
