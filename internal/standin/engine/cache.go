package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// blockTokens and blockBytes are the size of a block of the prefix cache.
const (
	blockTokens = 16
	blockBytes  = blockTokens * 4
)

// blockHashes returns the chained hashes of the prompt's whole blocks. Two
// prompts share the first n hashes if they share the first n blocks.
func blockHashes(model, prompt string) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	previous := xxhash.Sum64String(model)
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		var link [8]byte
		binary.LittleEndian.PutUint64(link[:], previous)
		digest := xxhash.New()
		_, _ = digest.Write(link[:])
		_, _ = digest.WriteString(prompt[start : start+blockBytes])
		previous = digest.Sum64()
		hashes = append(hashes, previous)
	}
	return hashes
}

// prefixCache holds the blocks of recent prompts; the least recently used are
// evicted first.
type prefixCache struct {
	blocks  *lru.Cache[uint64, struct{}]
	onEvent func(kind string, block uint64)
}

func newPrefixCache(size int, onEvent func(kind string, block uint64)) *prefixCache {
	c := &prefixCache{onEvent: onEvent}
	evicted := func(block uint64, _ struct{}) { onEvent(eventEvicted, block) }
	// The only error of the constructor is a size below 1.
	c.blocks, _ = lru.NewWithEvict(max(1, size), evicted)
	return c
}

// match returns the number of leading blocks that are cached.
func (c *prefixCache) match(blocks []uint64) int {
	for i, block := range blocks {
		if _, ok := c.blocks.Get(block); !ok {
			return i
		}
	}
	return len(blocks)
}

func (c *prefixCache) store(blocks []uint64) {
	for _, block := range blocks {
		if found, _ := c.blocks.ContainsOrAdd(block, struct{}{}); !found {
			c.onEvent(eventStored, block)
		}
	}
}

func (c *prefixCache) purge() { c.blocks.Purge() }
