package daemon

import (
	"fmt"
	"testing"

	"mimosafront/internal/discovery"
	"mimosafront/internal/epoch"
	"mimosafront/internal/policy"
)

// TestListedPolicyWrittenAfterTheReturn replays drills after which the operator writes
// before a host has listed the store: the revision tells the host that a policy with no
// higher generation isn't the copy's.
func TestListedPolicyWrittenAfterTheReturn(t *testing.T) {
	for name, c := range map[string]struct {
		generation  int
		association string
		revision    int64
		want        epoch.Span
	}{
		"the copy's":                           {4, "a", 80, epoch.Until(2)},
		"the same at a higher revision":        {5, "a", 120, epoch.Until(2)},
		"lower generation, higher revision":    {4, "b", 120, epoch.In(2)},
		"other content, higher revision":       {5, "b", 120, epoch.In(2)},
		"lower generation, reused revision":    {4, "b", 90, epoch.Until(2)},
		"higher generation, may be the copy's": {6, "b", 120, epoch.Until(2)},
	} {
		parse := func(generation int, association string) *policy.Policy {
			text := fmt.Sprintf("[policy]\ngeneration = %d\nassociation = %s\n[tier t]\nrank = 0\n", generation, association)
			p, err := policy.Parse("policy", []byte(text))
			if err != nil {
				t.Fatal(err)
			}
			return p
		}
		var reads policyReads
		reads.written(parse(5, "a"), discovery.PublishedPolicy{Revision: 100, Written: epoch.In(1)})
		got := reads.written(parse(c.generation, c.association), discovery.PublishedPolicy{Revision: c.revision, Written: epoch.Until(2)})
		if got != c.want {
			t.Errorf("%s: written in epoch %s, want %s", name, got, c.want)
		}
	}
}
