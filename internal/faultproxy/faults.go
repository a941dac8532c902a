package faultproxy

import (
	"math/rand/v2"
	"time"
)

// Faults are the faults injected into one direction of a connection. The zero value
// forwards all bytes without delay.
type Faults struct {
	// Blackhole drops all bytes; the connection stays open.
	Blackhole bool
	// ResetAfter resets the connection after this number of bytes in this direction,
	// counted from the start of the connection; 0 disables it.
	ResetAfter int
	// CloseAfter closes the connection without a reset after this number of bytes; 0
	// disables it.
	CloseAfter int
	// Delay is added to each chunk of data, plus a random duration below Jitter.
	Delay  time.Duration
	Jitter time.Duration
	// BytesPerSecond limits the throughput; 0 sets no limit.
	BytesPerSecond int
}

// delayOf returns the delay of a chunk of n bytes.
func (f Faults) delayOf(n int) time.Duration {
	d := f.Delay
	if f.Jitter > 0 {
		d += rand.N(f.Jitter)
	}
	if f.BytesPerSecond > 0 {
		d += time.Duration(float64(n) / float64(f.BytesPerSecond) * float64(time.Second))
	}
	return d
}

// limit returns how many of the next n bytes may be forwarded after sent bytes, and
// how the connection is closed after them.
func (f Faults) limit(sent, n int) (allowed int, then closeMode) {
	if f.ResetAfter > 0 && sent+n >= f.ResetAfter {
		return max(0, f.ResetAfter-sent), closeReset
	}
	if f.CloseAfter > 0 && sent+n >= f.CloseAfter {
		return max(0, f.CloseAfter-sent), closeOrderly
	}
	return n, closeNone
}

// closeMode is the way in which a connection is closed.
type closeMode int

const (
	closeNone closeMode = iota
	closeOrderly
	closeReset
)

// Direction is a direction of the data of a connection.
type Direction int

const (
	// ToTarget is the direction from the client to the target.
	ToTarget Direction = iota
	// ToClient is the direction from the target to the client.
	ToClient
)

// Scope selects the connections that a change applies to.
type Scope int

const (
	// All selects open and new connections.
	All Scope = iota
	// NewOnly selects connections accepted after the change.
	NewOnly
	// ExistingOnly selects connections that are open at the time of the change.
	ExistingOnly
)
