package soak

import "time"

// Case describes a run. A repeated run has the same faults, but the timing of
// processes differs.
type Case struct {
	Seed     uint64
	Duration time.Duration
	// Cause is the cause of a failure seen in this run; empty for other runs.
	Cause string
}

// Regression lists runs that failed in the past.
var Regression = []Case{
	{
		Seed: 12, Duration: 30 * time.Second,
		Cause: "the tier rule counted work that was revoked before its engine had finished it; the rule was fixed",
	},
	{
		Seed: 2, Duration: 3 * time.Second,
		Cause: "the same, in CI beside other tests",
	},
}

// ViolatesSameRule reports whether both runs violated a common rule.
func (r *Result) ViolatesSameRule(other *Result) bool {
	broken := map[Rule]bool{}
	for _, v := range other.Violations {
		broken[v.Rule] = true
	}
	for _, v := range r.Violations {
		if broken[v.Rule] {
			return true
		}
	}
	return false
}
