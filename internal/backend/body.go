package backend

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// freeBodyBytes of each body are read without a reservation of memory.
	freeBodyBytes = 64 << 10
	// maxBodyMemory limits the memory for the bodies of answers beyond freeBodyBytes, over
	// all exchanges, in bytes: many servers may answer with bodies that don't end.
	maxBodyMemory = 32 << 20
)

// errBodyTooLong is returned for a body that exceeds maxAnswerBytes or for which no memory
// is left.
var errBodyTooLong = errors.New("the body of the answer is too long")

// bodyMemory counts the memory reserved for bodies.
type bodyMemory struct{ used atomic.Int64 }

// reserve reserves memory and reports whether there was enough.
func (m *bodyMemory) reserve(bytes int64) bool {
	if m.used.Add(bytes) <= maxBodyMemory {
		return true
	}
	m.used.Add(-bytes)
	return false
}

func (m *bodyMemory) release(bytes int64) { m.used.Add(-bytes) }

// readBody reads a whole body, up to maxAnswerBytes. It reserves memory as the body grows
// and adds to *reserved what it has reserved, also on an error.
func readBody(r io.Reader, memory *bodyMemory, reserved *int64) ([]byte, error) {
	body := make([]byte, 0, 512)
	for {
		if len(body) == cap(body) {
			grown := int64(cap(body)) // doubles the capacity
			if cap(body) > freeBodyBytes {
				if !memory.reserve(grown) {
					return nil, fmt.Errorf("%w: no memory is left beside other answers", errBodyTooLong)
				}
				*reserved += grown
			}
			body = append(make([]byte, 0, 2*cap(body)), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxAnswerBytes:
			return nil, fmt.Errorf("%w: over %d bytes", errBodyTooLong, maxAnswerBytes)
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}
