package sched

import "container/heap"

// orderedHeap is a binary heap that tracks the index of each item, so that any item can
// be moved or removed. It implements heap.Interface.
type orderedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	// setIndex stores the index of an item, or absent when it leaves the heap.
	setIndex func(item T, index int)
}

// absent is the index of an item that is in no heap.
const absent = -1

// Len returns the number of items.
func (h *orderedHeap[T]) Len() int { return len(h.items) }

// Less compares the items at two indexes.
func (h *orderedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap swaps the items at two indexes.
func (h *orderedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}

// Push appends an item. Only container/heap calls it.
func (h *orderedHeap[T]) Push(item any) {
	h.items = append(h.items, item.(T))
	h.setIndex(item.(T), len(h.items)-1)
}

// Pop removes the last item. Only container/heap calls it.
func (h *orderedHeap[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	h.setIndex(item, absent)
	return item
}

func (h *orderedHeap[T]) add(item T)     { heap.Push(h, item) }
func (h *orderedHeap[T]) removeAt(i int) { heap.Remove(h, i) }
func (h *orderedHeap[T]) fix(i int)      { heap.Fix(h, i) }
func (h *orderedHeap[T]) top() (T, bool) {
	if len(h.items) == 0 {
		var zero T
		return zero, false
	}
	return h.items[0], true
}

// maxSmallest limits the number of items that smallest returns.
const maxSmallest = 8

// smallest fills dst with the smallest items in order and returns their number. The heap
// is not modified.
func (h *orderedHeap[T]) smallest(dst []T) int {
	var frontier [maxSmallest + 2]int
	size, n := 0, 0
	if len(h.items) > 0 {
		size = 1
	}
	for n < min(len(dst), maxSmallest) && size > 0 {
		best := 0
		for i := 1; i < size; i++ {
			if h.Less(frontier[i], frontier[best]) {
				best = i
			}
		}
		index := frontier[best]
		dst[n] = h.items[index]
		n++
		size--
		frontier[best] = frontier[size]
		for child := 2*index + 1; child <= 2*index+2 && child < len(h.items); child++ {
			frontier[size] = child
			size++
		}
	}
	return n
}
