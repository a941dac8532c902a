package memnet

import (
	"testing"
	"testing/synctest"
)

// Test runs a test under a fake clock, with a network of its own.
func Test(t *testing.T, test func(t *testing.T, n *Network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, New()) })
}
