package backend

import (
	"testing"
	"time"
)

func TestParseRetryAfter(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"":                              0,
		"2":                             2 * time.Second,
		"0.25":                          250 * time.Millisecond,
		"-1":                            0,
		"NaN":                           0,
		"1e300":                         maxRetryAfter,
		"Inf":                           maxRetryAfter,
		"soon":                          0,
		"Fri, 31 Dec 1999 23:59:59 GMT": 0,
	} {
		if got := parseRetryAfter(value); got != want {
			t.Errorf("Retry-After %q: %s, want %s", value, got, want)
		}
	}
}
