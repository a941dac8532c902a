// Package heaptest helps tests to judge how much memory a host holds.
package heaptest

import "runtime"

// Limit is a third of the memory of the smallest hosts that the project is made for, which
// have 184 MB.
const Limit = 184 << 20 / 3

// InUse returns the size of the live heap, in bytes.
func InUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
