package memnet

import (
	"testing"
	"testing/synctest"
)

// Test runs a test in a synctest bubble, under a fake clock, with a new Network.
func Test(t *testing.T, test func(t *testing.T, n *Network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, New()) })
}
