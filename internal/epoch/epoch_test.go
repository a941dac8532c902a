package epoch

import (
	"math"
	"testing"
)

func TestSpansThatOverlapHaveNoOrder(t *testing.T) {
	for _, c := range []struct {
		a, b   Span
		before bool
	}{
		{In(1), In(2), true},
		{Until(1), In(2), true},
		{In(2), In(1), false},
		{In(2), In(2), false},
		// What was listed in epoch 2 may be the copy's.
		{In(1), Until(2), false},
		{Until(2), In(1), false},
		// Policies from files and from hosts of earlier builds.
		{Span{}, In(2), false},
		{In(2), Span{}, false},
	} {
		if got := c.a.Before(c.b); got != c.before {
			t.Errorf("%s before %s: %t, want %t", c.a, c.b, got, c.before)
		}
	}
}

func TestMerge(t *testing.T) {
	for _, c := range []struct{ first, again, want Span }{
		{In(1), In(2), In(2)},
		{Until(1), In(2), In(2)},
		{In(2), In(1), In(2)},
		{Until(1), In(1), In(1)},
		// A copy that holds it too doesn't show that it was written again.
		{In(1), Until(2), In(1)},
		{Span{}, In(1), In(1)},
		{In(1), Span{}, In(1)},
		{Span{}, Span{}, Span{}},
		{Span{From: 1}, Until(3), Span{From: 1, End: 4}},
	} {
		if got := c.first.Merge(c.again); got != c.want {
			t.Errorf("%s merged with %s: %s, want %s", c.first, c.again, got, c.want)
		}
	}
}

func TestValid(t *testing.T) {
	for s, want := range map[Span]bool{
		{}: true, In(0): true, Until(7): true, {From: 3}: true,
		{From: -1}: false, {From: 2, End: 2}: false, {From: 2, End: -1}: false, In(math.MaxInt64): false,
	} {
		if s.Valid() != want {
			t.Errorf("%s valid %t, want %t", s, s.Valid(), want)
		}
	}
}
