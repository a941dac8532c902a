package peer

import (
	"fmt"
	"testing"
	"time"

	"mimosafront/internal/memnet"
)

// linkedPair returns two hosts with one link, which the first one dialed.
func linkedPair(t *testing.T, n *memnet.Network) (one, two *testLinks) {
	t.Helper()
	one, two = startHost(t, n, nil, "one"), startHost(t, n, nil, "two")
	one.SetLinked([]Target{{Host: "two", Address: two.Address()}})
	eventually(t, "both are linked", func() bool { return one.Connected("two") && two.Connected("one") })
	two.SetLinked([]Target{{Host: "one", Address: one.Address()}})
	return one, two
}

func TestReplacementLeavesOneLinkWhoeverDials(t *testing.T) {
	for _, replacing := range []string{"one", "two", "both"} {
		t.Run(replacing, func(t *testing.T) {
			memnet.Test(t, func(t *testing.T, n *memnet.Network) {
				one, two := linkedPair(t, n)
				oldOne, oldTwo := one.primaryLinks()[0], two.primaryLinks()[0]
				dialed := 0
				if replacing != "two" {
					dialed++
					go oldOne.replace(one.elapsed())
				}
				if replacing != "one" {
					dialed++
					go oldTwo.replace(two.elapsed())
				}
				time.Sleep(5 * time.Second)
				if one.linkUps() != 1+dialed || two.linkUps() != 1+dialed {
					t.Errorf("%d and %d links were opened, want 1 and %d replacements", one.linkUps(), two.linkUps(), dialed)
				}
				if one.openLinks() != 1 || two.openLinks() != 1 {
					t.Errorf("%d and %d links are open, want 1 at each host", one.openLinks(), two.openLinks())
				}
			})
		})
	}
}

func TestReplacingALiveLinkLosesNoFrames(t *testing.T) {
	for _, replacing := range []string{"one", "two"} {
		t.Run(replacing, func(t *testing.T) {
			memnet.Test(t, func(t *testing.T, n *memnet.Network) {
				one, two := linkedPair(t, n)
				hosts := map[string]*testLinks{"one": one, "two": two}
				const frames = 400
				for i := range frames {
					if i == frames/4 {
						k := hosts[replacing].primaryLinks()[0]
						go k.replace(k.links.elapsed())
					}
					one.Send("two", withdrawFrame(fmt.Sprint(i)))
					two.Send("one", withdrawFrame(fmt.Sprint(i)))
					time.Sleep(5 * time.Millisecond)
				}
				eventually(t, "the old link is closed", func() bool { return one.openLinks() == 1 && two.openLinks() == 1 })
				if one.received() != frames || two.received() != frames {
					t.Errorf("%d and %d frames arrived, want %d", one.received(), two.received(), frames)
				}
			})
		})
	}
}

func TestBusyHandlerDoesNotMakeItsLinkSilent(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		one, two := linkedPair(t, n)
		one.delayNext(3 * time.Second)
		for range 100 {
			two.Send("one", withdrawFrame("r"))
			time.Sleep(50 * time.Millisecond)
		}
		if silent := one.counter("peer_silent_links"); silent != 0 {
			t.Errorf("the host whose handler was busy found %d links silent, want 0", silent)
		}
		if silent := two.counter("peer_silent_links"); silent != 1 {
			t.Errorf("the other host replaced the silent link %d times, want 1", silent)
		}
	})
}

func TestLinkWithRegularFramesIsNotPinged(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		one, two := linkedPair(t, n)
		const interval = 340 * time.Millisecond
		one.SetSuspicion(3 * interval)
		for range 50 {
			two.Send("one", withdrawFrame("r"))
			time.Sleep(interval)
			k := one.primaryLinks()[0]
			// A ping would have been answered by a pong after the last frame.
			if silence := time.Duration(one.elapsed() - k.lastSeen.Load()); silence < interval-10*time.Millisecond {
				t.Fatalf("a link with a frame every %s was pinged: a pong or frame was received %s ago", interval, silence)
			}
		}
	})
}

// TestLinkOfARemovedHostIsNotReplaced guards against a dial to an unknown host: a link can
// end and its host be removed between the ping and the dial of a replacement.
func TestLinkOfARemovedHostIsNotReplaced(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		one, two := startHost(t, n, nil, "one"), startHost(t, n, nil, "two")
		one.SetKnown([]Target{{Host: "two", Address: two.Address()}})
		one.Send("two", withdrawFrame("r"))
		eventually(t, "the link is open", func() bool { return one.Connected("two") })
		k := one.primaryLinks()[0]
		k.cancel()
		eventually(t, "the link is closed", func() bool { return one.openLinks() == 0 })
		one.SetKnown(nil)
		k.replace(one.elapsed())
		if one.openLinks() != 0 {
			t.Error("a link to a removed host was opened")
		}
	})
}
