package sched

import (
	"container/list"
	"time"

	"github.com/bits-and-blooms/bitset"
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
	slot   uint
	byHash map[uint64]*list.Element
	// recent lists the prefixes, the most recently used first.
	recent list.List
	// tokens is the sum over the prefixes. runningTokens is the sum of the prefixes of
	// the running grants, with those that they share counted for each.
	tokens, runningTokens int
}

// heldPrefix is a prefix in the cache of a server.
type heldPrefix struct {
	hash uint64
	// tokens is the length of the last block, by which the prefix exceeds the one before
	// it.
	tokens int
	// users counts the running grants with the prefix. A prefix in use isn't evicted.
	users int
	// computed is set once a request with the prefix had its first token. Until then the
	// prefix is only expected: a grant with it is on its way or waits in the server.
	computed bool
	// since is when the prefix was first granted or, if it is computed, last known to be
	// held.
	since time.Time
}

func newPrefixIndex() *prefixIndex { return &prefixIndex{holders: map[uint64]*bitset.BitSet{}} }

// assignSlot gives a server a slot and an empty prefix list.
func (x *prefixIndex) assignSlot(s *server) {
	slot, ok := x.slots.NextClear(0)
	if !ok {
		slot = x.slots.Len()
	}
	x.slots.Set(slot)
	s.cached = &cachedPrefixes{slot: slot, byHash: map[uint64]*list.Element{}}
}

// add records prefixes that a server computes.
func (x *prefixIndex) add(s *server, prefixes []uint64) {
	if s.cached == nil {
		x.assignSlot(s)
	}
	for _, prefix := range prefixes {
		x.touch(s.cached, prefix)
		if len(s.cached.byHash) > maxCachedPrefixes {
			x.remove(s.cached, s.cached.recent.Back())
		}
	}
}

// touch makes a prefix the most recently used one of a server, and records it if it is
// unknown.
func (x *prefixIndex) touch(c *cachedPrefixes, prefix uint64) *heldPrefix {
	if element := c.byHash[prefix]; element != nil {
		c.recent.MoveToFront(element)
		return element.Value.(*heldPrefix)
	}
	holders := x.holders[prefix]
	if holders == nil {
		holders = bitset.New(x.slots.Len())
		x.holders[prefix] = holders
	}
	holders.Set(c.slot)
	held := &heldPrefix{hash: prefix}
	c.byHash[prefix] = c.recent.PushFront(held)
	return held
}

// remove drops one prefix of a server.
func (x *prefixIndex) remove(c *cachedPrefixes, element *list.Element) {
	held := c.recent.Remove(element).(*heldPrefix)
	c.tokens -= held.tokens
	delete(c.byHash, held.hash)
	x.removeHolder(c.slot, held.hash)
}

// purge drops all prefixes of a server.
func (x *prefixIndex) purge(s *server) {
	if s.cached != nil {
		for prefix := range s.cached.byHash {
			x.removeHolder(s.cached.slot, prefix)
		}
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
	x.foundBuffer = x.appendHolders(x.foundBuffer[:0], prefixes)
	return x.foundBuffer
}

// appendHolders appends the holders of prefixes to a buffer.
func (x *prefixIndex) appendHolders(buffer []*bitset.BitSet, prefixes []uint64) []*bitset.BitSet {
	for _, prefix := range prefixes {
		buffer = append(buffer, x.holders[prefix])
	}
	return buffer
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

// longest returns how many leading prefixes some server holds.
func (f foundPrefixes) longest() int {
	for i := len(f); i > 0; i-- {
		if f[i-1] != nil {
			return i
		}
	}
	return 0
}
