package sched

import (
	"github.com/bits-and-blooms/bitset"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxCachedPrefixes bounds the prefixes remembered for one server.
const maxCachedPrefixes = 2048

// prefixIndex remembers which prompt prefixes each server has computed lately.
// It guesses what the servers' own caches hold.
type prefixIndex struct {
	// holders are the servers of a prefix, by slot.
	holders map[uint64]*bitset.BitSet
	// slots tells which slots are taken.
	slots bitset.BitSet
	// foundBuffer is scratch: the holders of each prefix that was looked up, or nil.
	foundBuffer []*bitset.BitSet
}

// cachedPrefixes are the prefixes of one server.
type cachedPrefixes struct {
	// slot is the server's place in the sets of holders.
	slot uint
	lru  *simplelru.LRU[uint64, struct{}]
}

func newPrefixIndex() *prefixIndex { return &prefixIndex{holders: map[uint64]*bitset.BitSet{}} }

// assignSlot gives a server a slot.
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

// add notes that a server computes prefixes.
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

// removeHolder drops one holder of a prefix.
func (x *prefixIndex) removeHolder(slot uint, prefix uint64) {
	holders := x.holders[prefix]
	holders.Clear(slot)
	if holders.None() {
		delete(x.holders, prefix)
	}
}

// find looks prefixes up. The result is valid until the next call.
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
