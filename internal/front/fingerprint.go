package front

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixBlockBytes is the length of one block of a prompt's prefix.
	prefixBlockBytes = 1024
	// maxPrefixBlocks bounds the prefix hashes of one request.
	maxPrefixBlocks = 16
)

// prefixHashes returns the chained hashes of a prompt's leading blocks, the
// shortest prefix first. Two prompts share a hash if they share the whole
// prefix. Only whole blocks count.
func prefixHashes(model, prompt string) []uint64 {
	blocks := min(len(prompt)/prefixBlockBytes, maxPrefixBlocks)
	hashes := make([]uint64, 0, blocks)
	previous := xxhash.Sum64String(model)
	digest := xxhash.New()
	for i := range blocks {
		digest.Reset()
		writeUint64(digest, previous)
		_, _ = digest.WriteString(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		previous = digest.Sum64()
		hashes = append(hashes, previous)
	}
	return hashes
}

// contentHash identifies a request's content for poison quarantine: the model
// and the messages, without what a caller may vary between two sends.
func contentHash(c *chatRequest) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(c.Model)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(c.prompt)
	if c.nonTextParts > 0 {
		for _, message := range c.Messages {
			_, _ = digest.Write(message.Content)
		}
	}
	return digest.Sum64()
}

func writeUint64(digest *xxhash.Digest, value uint64) {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], value)
	_, _ = digest.Write(buffer[:])
}
