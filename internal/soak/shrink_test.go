package soak

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestShrinkFindsMinimalFailure draws 1 to 3 faults that fail only in combination and
// requires that Shrink returns exactly these.
func TestShrinkFindsMinimalFailure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.IntRange(1, 60).Draw(t, "faults")
		needed := rapid.SliceOfNDistinct(rapid.IntRange(0, faults-1), 1, min(3, faults), rapid.ID[int]).Draw(t, "needed")
		slices.Sort(needed)
		runs := 0
		got := Shrink(faults, 1000, func(kept []int) bool {
			runs++
			if !slices.IsSorted(kept) {
				t.Fatalf("faults are out of order: %v", kept)
			}
			for _, i := range needed {
				if !slices.Contains(kept, i) {
					return false
				}
			}
			return true
		})
		if !slices.Equal(got, needed) {
			t.Fatalf("Shrink returned %v, want %v", got, needed)
		}
		if runs > 200 {
			t.Fatalf("Shrink used %d runs for %d faults", runs, faults)
		}
	})
}

func TestShrinkRespectsRunLimit(t *testing.T) {
	runs := 0
	got := Shrink(40, 7, func([]int) bool { runs++; return false })
	if runs != 7 || len(got) != 40 {
		t.Errorf("Shrink used %d runs and kept %d faults, want 7 and 40", runs, len(got))
	}
}

func TestSelect(t *testing.T) {
	all := Schedule(3, 10_000_000_000)
	if got := Select(all, nil); len(got) != len(all) {
		t.Errorf("Select kept %d of %d faults, want all", len(got), len(all))
	}
	if got := Select(all, []int{0, 2, 1000}); len(got) != 2 || got[0] != all[0] || got[1] != all[2] {
		t.Errorf("kept %v", got)
	}
}
