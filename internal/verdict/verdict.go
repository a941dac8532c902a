// Package verdict says whether a request may have run on a backend server.
package verdict

// Verdict is what is known of the execution of one request.
type Verdict string

const (
	// NotRun means that no byte of the request reached a backend server that
	// could have executed it. Only such a request may be retried.
	NotRun Verdict = "not_run"
	// MayHaveRun means that at least one byte of the request may have reached
	// a backend server and that its answer is incomplete or unknown.
	MayHaveRun Verdict = "may_have_run"
	// Ran means that a backend server answered the request as a whole.
	Ran Verdict = "ran"
)

// Retryable reports whether the request may be sent again without a risk that
// it runs twice.
func (v Verdict) Retryable() bool { return v == NotRun }

// Valid reports whether v is one of the three verdicts.
func (v Verdict) Valid() bool {
	return v == NotRun || v == MayHaveRun || v == Ran
}

// Merge returns the verdict that admits more of the two: MayHaveRun before Ran
// before NotRun. It joins what two attempts of one request know.
func Merge(a, b Verdict) Verdict {
	if a == MayHaveRun || b == MayHaveRun {
		return MayHaveRun
	}
	if a == Ran || b == Ran {
		return Ran
	}
	return NotRun
}
