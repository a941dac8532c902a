// Package memlimit bounds the memory that is held of messages from outside while they
// arrive or wait to be passed on, over all of them together: a limit for a single message
// alone doesn't help when many senders are faulty at once.
package memlimit

import (
	"errors"
	"io"
	"sync/atomic"
)

// Pool is an amount of memory that messages share. It is safe for concurrent use.
type Pool struct {
	limit, free int64
	used        atomic.Int64
}

// NewPool returns a pool of limit bytes. The first bytes of each message, as many as free,
// don't count.
func NewPool(limit, free int) *Pool { return &Pool{limit: int64(limit), free: int64(free)} }

// Reserve returns a reservation of nothing. If p is nil, the reservation has no limit.
func (p *Pool) Reserve() *Reservation { return &Reservation{pool: p} }

// Used returns the bytes that are reserved.
func (p *Pool) Used() int { return int(p.used.Load()) }

// Reservation is the memory that one message holds. It must be used by a single goroutine.
type Reservation struct {
	pool  *Pool
	bytes int64
}

// Cover extends the reservation to a message of the given size, in bytes, and reports
// whether there was enough memory.
func (r *Reservation) Cover(size int) bool {
	if r.pool == nil {
		return true
	}
	missing := int64(size) - r.pool.free - r.bytes
	if missing <= 0 {
		return true
	}
	if r.pool.used.Add(missing) > r.pool.limit {
		r.pool.used.Add(-missing)
		return false
	}
	r.bytes += missing
	return true
}

// Release frees the memory.
func (r *Reservation) Release() {
	if r.bytes > 0 {
		r.pool.used.Add(-r.bytes)
		r.bytes = 0
	}
}

// Errors of ReadAll.
var (
	ErrTooLong  = errors.New("the message exceeds its size limit")
	ErrNoMemory = errors.New("no memory is left beside other messages")
)

// firstBytes is the size of the first buffer of ReadAll.
const firstBytes = 512

// ReadAll reads a message of at most limit bytes as a whole. Its buffer, which doubles as
// it grows, is covered by the reservation, also after an error.
func ReadAll(from io.Reader, limit int, memory *Reservation) ([]byte, error) {
	message := make([]byte, 0, firstBytes)
	for {
		if len(message) == cap(message) {
			grown := 2 * cap(message)
			if !memory.Cover(grown) {
				return nil, ErrNoMemory
			}
			message = append(make([]byte, 0, grown), message...)
		}
		n, err := from.Read(message[len(message):cap(message)])
		message = message[:len(message)+n]
		switch {
		case len(message) > limit:
			return nil, ErrTooLong
		case err == io.EOF:
			return message, nil
		case err != nil:
			return nil, err
		}
	}
}
