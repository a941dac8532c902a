package sched

import (
	"github.com/bits-and-blooms/bitset"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxCachedPrefixes limits the prefixes recorded for one server.
const maxCachedPrefixes = 2048

// prefixIndex estimates which prompt prefixes each server's own cache holds, from the
// prefixes of its recent grants. It keeps an LRU list for each server.
type prefixIndex struct {
	// holders are the servers that hold a prefix, as bit sets of slots.
	holders map[uint64]*bitset.BitSet
	// slots are the slots in use.
	slots bitset.BitSet
	// foundBuffer is a reused buffer for the result of find.
	foundBuffer []*bitset.BitSet
}

// cachedPrefixes are the prefixes recorded for one server.
type cachedPrefixes struct {
	// slot is the server's index in the bit sets of holders.
	slot uint
	lru  *simplelru.LRU[uint64, struct{}]
}

func newPrefixIndex() *prefixIndex { return &prefixIndex{holders: map[uint64]*bitset.BitSet{}} }

// assignSlot gives a server a slot and an empty prefix list.
func (x *prefixIndex) assignSlot(s *server) {
	slot, ok := x.slots.NextClear(0)
	if !ok {
		slot = x.slots.Len()
	}
	x.slots.Set(slot)
	c := &cachedPrefixes{slot: slot}
	evicted := func(prefix uint64, _ struct{}) { x.removeHolder(c.slot, prefix) }
	c.lru, _ = simplelru.NewLRU[uint64, struct{}](maxCachedPrefixes, evicted)
	s.cached = c
}

// add records prefixes that a server computes.
func (x *prefixIndex) add(s *server, prefixes []uint64) {
	if s.cached == nil {
		x.assignSlot(s)
	}
	for _, prefix := range prefixes {
		if _, known := s.cached.lru.Get(prefix); known {
			continue
		}
		holders := x.holders[prefix]
		if holders == nil {
			holders = bitset.New(x.slots.Len())
			x.holders[prefix] = holders
		}
		holders.Set(s.cached.slot)
		s.cached.lru.Add(prefix, struct{}{})
	}
}

// purge drops all prefixes of a server.
func (x *prefixIndex) purge(s *server) {
	if s.cached != nil {
		s.cached.lru.Purge()
		x.slots.Clear(s.cached.slot)
		s.cached = nil
	}
}

// removeHolder removes one server from the holders of a prefix.
func (x *prefixIndex) removeHolder(slot uint, prefix uint64) {
	holders := x.holders[prefix]
	holders.Clear(slot)
	if holders.None() {
		delete(x.holders, prefix)
	}
}

// find looks up the holders of prefixes. The result is valid until the next call.
func (x *prefixIndex) find(prefixes []uint64) foundPrefixes {
	x.foundBuffer = x.foundBuffer[:0]
	for _, prefix := range prefixes {
		x.foundBuffer = append(x.foundBuffer, x.holders[prefix])
	}
	return x.foundBuffer
}

// foundPrefixes are the holders of each prefix of a prompt; nil where there are none.
type foundPrefixes []*bitset.BitSet

// hitsOn returns how many leading prefixes a server holds.
func (f foundPrefixes) hitsOn(s *server) int {
	if s.cached == nil {
		return 0
	}
	for i := len(f); i > 0; i-- {
		if f[i-1] != nil && f[i-1].Test(s.cached.slot) {
			return i
		}
	}
	return 0
}
