package engine

import (
	"time"
)

// sequence is one request in the engine.
type sequence struct {
	id    string
	model string
	// version of the model when the request began.
	version string
	seed    uint64
	// blocks are chained hashes of the prompt's blocks.
	blocks []uint64
	prompt int
	output int
	poison bool

	admitted  bool
	cached    int
	prefilled int
	generated int
	outcome   Outcome
	// entry is the index of the journal entry.
	entry int
	// updated wakes the reader of the stream; it holds at most one signal.
	updated chan struct{}
	// reader counts the connections that read the stream, to replace older.
	reader int
	// lost is when the connection broke.
	lost time.Time
	// held is when the sequence was held; zero if it isn't.
	held time.Time
}

func (s *sequence) ended() bool { return s.outcome != OutcomeRunning && s.outcome != OutcomeHeld }

func (s *sequence) signal() {
	select {
	case s.updated <- struct{}{}:
	default:
	}
}

// kv returns the cache memory that the sequence needs, in tokens.
func (s *sequence) kv() int { return s.prompt + s.output }

// batch is the continuously batched work of an engine. It reads no clock.
type batch struct {
	config  Config
	cache   *prefixCache
	waiting []*sequence
	running []*sequence
	kvUsed  int
	// spent counts the tokens of prefill in all.
	spent int
}

func newBatch(c Config, onEvent func(kind string, block uint64)) *batch {
	return &batch{config: c, cache: newPrefixCache(c.CacheBlocks, onEvent)}
}

func (b *batch) add(s *sequence) { b.waiting = append(b.waiting, s) }

func (b *batch) idle() bool { return len(b.waiting)+len(b.running) == 0 }

// admit moves waiting sequences into the batch in the order of arrival while
// the cache memory lasts. A sequence larger than the memory runs alone.
func (b *batch) admit() {
	for len(b.waiting) > 0 {
		next := b.waiting[0]
		if len(b.running) > 0 && b.kvUsed+next.kv() > b.config.KVTokens {
			return
		}
		b.waiting = b.waiting[1:]
		b.running = append(b.running, next)
		b.kvUsed += next.kv()
		if next.admitted {
			continue
		}
		next.admitted = true
		next.cached = min(b.cache.match(next.blocks)*blockTokens, next.prompt-1)
		next.prefilled = next.cached
	}
}

// step runs one iteration within the token budget: one token for each decoding
// sequence, then prefill in the order of admission. It returns the iteration's
// time and the sequences that changed.
func (b *batch) step() (time.Duration, []*sequence) {
	b.admit()
	budget := b.config.StepTokens
	var decoded, prefilled int
	var changed []*sequence
	for _, s := range b.running {
		if s.prefilled < s.prompt {
			continue
		}
		s.generated++
		decoded++
		changed = append(changed, s)
	}
	budget -= decoded
	for _, s := range b.running {
		if s.prefilled == s.prompt || s.generated > 0 || budget <= 0 {
			continue
		}
		chunk := min(budget, s.prompt-s.prefilled)
		s.prefilled += chunk
		budget -= chunk
		prefilled += chunk
		if s.prefilled == s.prompt {
			b.cache.store(s.blocks)
			s.generated = 1
			changed = append(changed, s)
		}
	}
	b.spent += prefilled
	return b.duration(decoded, prefilled), changed
}

func (b *batch) duration(decoded, prefilled int) time.Duration {
	decode := time.Duration(float64(decoded) / b.config.DecodeTokensPerS * float64(time.Second))
	prefill := time.Duration(float64(prefilled) / b.config.PrefillTokensPerS * float64(time.Second))
	return max(decode, b.config.MinStep) + prefill
}

// remove takes a sequence out of the batch.
func (b *batch) remove(s *sequence) {
	for i, other := range b.waiting {
		if other == s {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return
		}
	}
	for i, other := range b.running {
		if other == s {
			b.running = append(b.running[:i], b.running[i+1:]...)
			b.kvUsed -= s.kv()
			return
		}
	}
}

// all returns every sequence in the batch.
func (b *batch) all() []*sequence {
	return append(append([]*sequence{}, b.running...), b.waiting...)
}
