// Package verdict classifies whether a request ran on a backend server.
package verdict

// Verdict says whether a request ran on a backend server.
type Verdict string

const (
	// NotRun means that no byte of the request reached a backend server that
	// could have executed it. Only such a request may be retried.
	NotRun Verdict = "not_run"
	// MayHaveRun means that at least one byte of the request may have reached a
	// backend server and that the answer is incomplete or unknown.
	MayHaveRun Verdict = "may_have_run"
	// Ran means that a backend server answered the request completely.
	Ran Verdict = "ran"
)

// Retryable reports whether the request may be sent again without the risk of
// running twice.
func (v Verdict) Retryable() bool { return v == NotRun }

// Valid reports whether v is one of the three verdicts.
func (v Verdict) Valid() bool {
	return v == NotRun || v == MayHaveRun || v == Ran
}

// Merge combines the verdicts of two attempts of one request. MayHaveRun takes
// precedence over Ran, and Ran over NotRun.
func Merge(a, b Verdict) Verdict {
	if a == MayHaveRun || b == MayHaveRun {
		return MayHaveRun
	}
	if a == Ran || b == Ran {
		return Ran
	}
	return NotRun
}
