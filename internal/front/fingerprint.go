package front

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixBlockBytes is the length of a block of the prompt that is hashed as a unit.
	prefixBlockBytes = 1024
	// maxPrefixBlocks limits the prefix hashes of one request.
	maxPrefixBlocks = 16
)

// prefixHashes returns the chained hashes of the leading blocks of a prompt, the
// shortest prefix first. Two prompts have a hash in common only if they share the model
// and the whole prefix up to that block. An incomplete last block is left out.
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

// contentHash identifies the content of a request for poison quarantine. It covers the
// model and the messages, and omits the fields that a caller may vary between retries.
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
