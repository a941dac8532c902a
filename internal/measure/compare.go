package measure

import "mimosafront/internal/load"

// smallestSample is the number of requests below which a party's ratio says
// nothing.
const smallestSample = 20

// Kept is what one set of requests keeps when others are added.
type Kept struct {
	Key Key
	// Goodput is the ratio of good answers with the others to that without.
	Goodput float64
	// FirstToken is the ratio of the 95th percentiles.
	FirstToken float64
	// Requests is the size of the sample.
	Requests int
}

// Comparison holds what the same requests got with and without others.
type Comparison struct {
	with    *Summary
	without *Summary
}

// Compare joins a run with the run that left out groups of streams. Only the
// requests of the second are compared.
func Compare(with, without *load.Result) Comparison {
	return Comparison{
		with:    Summarize(with, without.Skipped...),
		without: Summarize(without),
	}
}

// Keep returns what the requests of a key keep.
func (c Comparison) Keep(key Key) Kept {
	with, without := c.with.Group(key), c.without.Group(key)
	return Kept{
		Key:        key,
		Goodput:    ratio(float64(with.Good()), float64(without.Good())),
		FirstToken: ratio(with.FirstToken(95), without.FirstToken(95)),
		Requests:   without.Offered,
	}
}

// Worst returns the party that keeps least of its goodput, and the highest ratio
// of the first token's 95th percentiles, among the keys that satisfy a
// condition. Parties with few requests don't count.
func (c Comparison) Worst(wanted func(Key) bool) (least Kept, slowest Kept) {
	least, slowest = Kept{Goodput: 1}, Kept{FirstToken: 0}
	for _, key := range c.without.Keys(wanted) {
		kept := c.Keep(key)
		if kept.Requests < smallestSample {
			continue
		}
		if least.Requests == 0 || kept.Goodput < least.Goodput {
			least = kept
		}
		if kept.FirstToken > slowest.FirstToken {
			slowest = kept
		}
	}
	return least, slowest
}
