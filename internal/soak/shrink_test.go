package soak

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestShrinkFindsMinimalFailure draws a few faults that fail together only, and requires
// that exactly these are left.
func TestShrinkFindsMinimalFailure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.IntRange(1, 60).Draw(t, "faults")
		needed := rapid.SliceOfNDistinct(rapid.IntRange(0, faults-1), 1, min(3, faults), rapid.ID[int]).Draw(t, "needed")
		slices.Sort(needed)
		runs := 0
		got := Shrink(faults, 1000, func(kept []int) bool {
			runs++
			if !slices.IsSorted(kept) {
				t.Fatalf("the order was changed: %v", kept)
			}
			for _, i := range needed {
				if !slices.Contains(kept, i) {
					return false
				}
			}
			return true
		})
		if !slices.Equal(got, needed) {
			t.Fatalf("left %v, want %v", got, needed)
		}
		if runs > 200 {
			t.Fatalf("%d runs for %d faults", runs, faults)
		}
	})
}

func TestShrinkRespectsRunLimit(t *testing.T) {
	runs := 0
	got := Shrink(40, 7, func([]int) bool { runs++; return false })
	if runs != 7 || len(got) != 40 {
		t.Errorf("%d runs, %d faults left", runs, len(got))
	}
}

func TestSelect(t *testing.T) {
	all := Schedule(3, 10_000_000_000)
	if got := Select(all, nil); len(got) != len(all) {
		t.Errorf("%d of %d faults", len(got), len(all))
	}
	if got := Select(all, []int{0, 2, 1000}); len(got) != 2 || got[0] != all[0] || got[1] != all[2] {
		t.Errorf("kept %v", got)
	}
}
