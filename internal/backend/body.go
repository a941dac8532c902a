package backend

import (
	"errors"
	"fmt"
	"io"

	"mimosafront/internal/memlimit"
)

const (
	// freeAnswerBytes is the size of answers, and of parts of them, that don't count
	// towards the memory of all answers.
	freeAnswerBytes = 64 << 10
	// maxAnswerMemory limits the memory for what is held of answers, over all exchanges, in
	// bytes: many servers may answer without an end, and many callers may read slowly.
	maxAnswerMemory = 32 << 20
)

// NewAnswerMemory returns the pool of memory for the answers of all exchanges of a process.
// It counts buffers, which double as they grow.
func NewAnswerMemory() *memlimit.Pool { return memlimit.NewPool(maxAnswerMemory, 2*freeAnswerBytes) }

// errBodyTooLong is returned for a body that exceeds maxAnswerBytes or for which no memory
// is left.
var errBodyTooLong = errors.New("the body of the answer is too long")

// readBody reads a whole body, up to maxAnswerBytes. It reserves memory as the body grows,
// also on an error.
func readBody(r io.Reader, memory *memlimit.Reservation) ([]byte, error) {
	body, err := memlimit.ReadAll(r, maxAnswerBytes, memory)
	if errors.Is(err, memlimit.ErrTooLong) || errors.Is(err, memlimit.ErrNoMemory) {
		return nil, fmt.Errorf("%w: %w", errBodyTooLong, err)
	}
	return body, err
}
