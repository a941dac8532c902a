package sched

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// With Config.PrefixWeighing, the pool follows what its servers hold of prompts as the
// servers do: a prefix is expected from the grant of a request with it, held from the
// first token on, kept after the request has ended, and evicted, the least recently used
// first, when running requests and cached prefixes together exceed the server's memory.
// It is gone with the server's process.

// maxWeighedPrefixes limits the prefixes that are followed on one server. A prefix takes
// about 250 bytes, so a pool of 150 servers takes 20 MB at most.
const maxWeighedPrefixes = 512

// ChainParts returns the prefixes of a prompt that consists of the given parts, the
// shortest first, and their lengths in tokens. Two prompts have a prefix in common only
// if they share all parts up to it. Lengths beyond the prompt are cut off.
func ChainParts(parts []uint64, lengths []int, promptTokens int) (prefixes []uint64, tokens []int) {
	prefixes, tokens = make([]uint64, len(parts)), make([]int, len(parts))
	hash, sum := uint64(0), 0
	var block [16]byte
	for i, part := range parts {
		binary.LittleEndian.PutUint64(block[:8], hash)
		binary.LittleEndian.PutUint64(block[8:], part)
		hash = xxhash.Sum64(block[:])
		sum += min(max(lengths[i], 0), max(promptTokens-sum, 0))
		prefixes[i], tokens[i] = hash, sum
	}
	return prefixes, tokens
}

// prefixLength returns the length of the first n prefixes in tokens.
func (r *Request) prefixLength(n int) int {
	switch {
	case n == 0:
		return 0
	case len(r.PrefixTokens) == len(r.Prefixes):
		return r.PrefixTokens[n-1]
	}
	return r.PromptTokens * n / (len(r.Prefixes) + 1)
}

// holdPrefixes records the prefixes of a new grant. The longest is touched first: it is
// then evicted before those that it begins with.
func (p *Pool) holdPrefixes(now time.Time, g *running) {
	if !p.config.PrefixWeighing || p.config.Service || len(g.Prefixes) == 0 {
		return
	}
	s := g.server
	if s.cached == nil {
		p.cache.assignSlot(s)
	}
	g.cached = s.cached
	for i := len(g.Prefixes); i > 0; i-- {
		held := p.cache.touch(s.cached, g.Prefixes[i-1])
		if held.since.IsZero() {
			held.since, held.tokens = now, g.prefixLength(i)-g.prefixLength(i-1)
			s.cached.tokens += held.tokens
		}
		held.users++
	}
	s.cached.runningTokens += g.prefixLength(len(g.Prefixes))
	p.evictPrefixes(s)
}

// eachHeld visits the prefixes of a grant that its server still holds.
func (g *running) eachHeld(visit func(held *heldPrefix)) {
	if g.cached == nil || g.cached != g.server.cached {
		return
	}
	for _, prefix := range g.Prefixes {
		if held := g.cached.find(prefix); held != nil {
			visit(held)
		}
	}
}

// prefixesComputed records that a server has computed the prompt of a grant.
func (p *Pool) prefixesComputed(now time.Time, g *running) {
	g.eachHeld(func(held *heldPrefix) { held.computed, held.since = true, now })
}

// releasePrefixes records the end of a grant. What it was expected to compute and didn't
// is dropped.
func (p *Pool) releasePrefixes(g *running) {
	g.eachHeld(func(held *heldPrefix) {
		if held.users--; held.users == 0 && !held.computed {
			p.cache.remove(g.cached, g.cached.byHash[held.hash])
		}
	})
	if g.cached != nil && g.cached == g.server.cached {
		g.cached.runningTokens -= g.prefixLength(len(g.Prefixes))
		p.evictPrefixes(g.server)
	}
	g.cached = nil
}

// find returns a prefix of the server, or nil if it isn't held.
func (c *cachedPrefixes) find(prefix uint64) *heldPrefix {
	if element := c.byHash[prefix]; element != nil {
		return element.Value.(*heldPrefix)
	}
	return nil
}

// usedMemory returns the memory that running requests and cached prefixes of a server
// take, in tokens. Prefixes that requests share count once.
func (s *server) usedMemory() int {
	if s.cached == nil {
		return s.tokens
	}
	return s.tokens - s.cached.runningTokens + s.cached.tokens
}

// evictPrefixes drops the least recently used prefixes that no request uses, as far as
// they exceed the server's memory or the limit of their number.
func (p *Pool) evictPrefixes(s *server) {
	element := s.cached.recent.Back()
	for element != nil && (s.usedMemory() > s.TokensInFlight || len(s.cached.byHash) > maxWeighedPrefixes) {
		previous := element.Prev()
		if element.Value.(*heldPrefix).users == 0 {
			p.cache.remove(s.cached, element)
		}
		element = previous
	}
}

// survivingHits returns how many of the leading prefixes that a server holds are still
// there once the request itself has its memory.
func (s *server) survivingHits(w *waiter, hits int) int {
	need := s.usedMemory() + w.tokens - w.prefixLength(hits) - s.TokensInFlight
	for element := s.cached.recent.Back(); element != nil && need > 0; element = element.Prev() {
		held := element.Value.(*heldPrefix)
		if held.users > 0 {
			continue
		}
		need -= held.tokens
		if i := slices.Index(w.Prefixes[:hits], held.hash); i >= 0 {
			hits = i
		}
	}
	return hits
}

// lostMemory reports whether a server as described now has lost the memory that it had: its
// process was replaced, or it turned cold.
func (s *server) lostMemory(now time.Time, described Server) bool {
	return s.Incarnation != described.Incarnation || now.Before(described.ColdUntil) && !now.Before(s.ColdUntil)
}

// ForgetPrefixes drops what is known of the prefixes that a server holds, because its
// memory was lost.
func (p *Pool) ForgetPrefixes(name string) {
	if s := p.byName[name]; s != nil {
		p.cache.purge(s)
	}
}
