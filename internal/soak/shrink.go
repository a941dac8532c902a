package soak

// Shrink minimizes a failing schedule by delta debugging. It returns the indexes of a
// subset of the faults with which a run still fails, removing ever smaller parts until
// no single fault can be removed or the given number of runs is used up. A run with all
// faults must have failed.
func Shrink(faults, runs int, fails func(kept []int) bool) []int {
	kept := make([]int, faults)
	for i := range kept {
		kept[i] = i
	}
	parts := 2
	for len(kept) > 1 && runs > 0 {
		shorter, used := removeOnePart(kept, parts, runs, fails)
		runs -= used
		switch {
		case shorter != nil:
			kept, parts = shorter, max(parts-1, 2)
		case parts >= len(kept):
			return kept
		default:
			parts = min(2*parts, len(kept))
		}
	}
	return kept
}

// removeOnePart divides kept into parts and returns it without the first part whose
// removal still lets a run fail, or nil if there is none. used is the number of runs.
func removeOnePart(kept []int, parts, runs int, fails func(kept []int) bool) (shorter []int, used int) {
	for i := range parts {
		if used == runs {
			return nil, used
		}
		from, to := i*len(kept)/parts, (i+1)*len(kept)/parts
		if from == to {
			continue
		}
		rest := append(append([]int{}, kept[:from]...), kept[to:]...)
		used++
		if len(rest) > 0 && fails(rest) {
			return rest, used
		}
	}
	return nil, used
}

// Select returns the faults of a schedule with the given indexes; nil keeps all.
func Select(faults []Fault, kept []int) []Fault {
	if kept == nil {
		return faults
	}
	var selected []Fault
	for _, i := range kept {
		if i >= 0 && i < len(faults) {
			selected = append(selected, faults[i])
		}
	}
	return selected
}
