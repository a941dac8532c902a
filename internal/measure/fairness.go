// Package measure computes the project's measures from what callers saw and
// from the engines' journals. See docs/MEASURES.md for their definitions.
package measure

import (
	"math"
	"sort"
)

// Jain returns Jain's fairness index of shares: 1 when all are equal, 1/n when
// one has everything. It is 1 for less than two shares.
func Jain(shares []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, share := range shares {
		sum += share
		squares += share * share
	}
	if len(shares) < 2 || squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(shares)) * squares)
}

// MaxMin returns the max-min fair allocation of a capacity to demands: no share
// can grow without a smaller or equal one shrinking.
func MaxMin(demands []float64, capacity float64) []float64 {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(a, b int) bool { return demands[order[a]] < demands[order[b]] })
	shares := make([]float64, len(demands))
	left := capacity
	for n, i := range order {
		level := left / float64(len(order)-n)
		shares[i] = math.Min(demands[i], level)
		left -= shares[i]
	}
	return shares
}

// backlogTolerance is the part of its demand that a party may miss and still
// count as satisfied.
const backlogTolerance = 0.02

// Fairness compares what parties got with the max-min fair allocation of what
// all got together.
type Fairness struct {
	// Worst is the lowest ratio of what a party got to its fair allocation,
	// and WorstParty its name.
	Worst      float64
	WorstParty string
	// Jain is the index of what the backlogged parties got, and Backlogged
	// their number.
	Jain       float64
	Backlogged int
}

// Share is the work that one party asked for and got.
type Share struct {
	Party  string
	Demand float64
	Got    float64
}

// CompareToMaxMin computes the fairness of shares.
func CompareToMaxMin(shares []Share) Fairness {
	demands := make([]float64, len(shares))
	capacity := 0.0
	for i, share := range shares {
		demands[i] = share.Demand
		capacity += share.Got
	}
	fair := MaxMin(demands, capacity)
	result := Fairness{Worst: 1}
	var backlogged []float64
	for i, share := range shares {
		if fair[i] < share.Demand*(1-backlogTolerance) {
			backlogged = append(backlogged, share.Got)
		}
		if fair[i] > 0 && share.Got/fair[i] < result.Worst {
			result.Worst = share.Got / fair[i]
			result.WorstParty = share.Party
		}
	}
	result.Backlogged = len(backlogged)
	result.Jain = Jain(backlogged)
	return result
}
