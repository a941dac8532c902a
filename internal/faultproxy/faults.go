package faultproxy

import (
	"math/rand/v2"
	"time"
)

// Faults are what the proxy does to one direction of its connections. The zero
// value passes all bytes at once.
type Faults struct {
	// Blackhole swallows all bytes; the connection stays open.
	Blackhole bool
	// ResetAfter resets the connection after that many bytes of this
	// direction; 0 never does. Bytes are counted from the connection's start.
	ResetAfter int
	// CloseAfter closes the connection in order after that many bytes.
	CloseAfter int
	// Delay holds each piece of data back, plus a random part of Jitter.
	Delay  time.Duration
	Jitter time.Duration
	// BytesPerSecond bounds the speed; 0 sets no bound.
	BytesPerSecond int
}

// delayOf returns how long a piece of n bytes is held back.
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

// limit returns how many of n bytes may pass after sent bytes, and what happens
// behind them.
func (f Faults) limit(sent, n int) (allowed int, then closeMode) {
	if f.ResetAfter > 0 && sent+n >= f.ResetAfter {
		return max(0, f.ResetAfter-sent), closeReset
	}
	if f.CloseAfter > 0 && sent+n >= f.CloseAfter {
		return max(0, f.CloseAfter-sent), closeOrderly
	}
	return n, closeNone
}

// closeMode is how a connection ends.
type closeMode int

const (
	closeNone closeMode = iota
	closeOrderly
	closeReset
)

// Direction is one of the two ways of a connection.
type Direction int

const (
	// ToTarget is from the client to the target.
	ToTarget Direction = iota
	// ToClient is from the target to the client.
	ToClient
)

// Scope says which connections a change applies to.
type Scope int

const (
	// All connections, open and future.
	All Scope = iota
	// NewOnly are connections accepted after the change.
	NewOnly
	// ExistingOnly are connections open at the change.
	ExistingOnly
)
