package peer

import (
	"context"
	"time"

	"mimosafront/internal/settings"
)

// elapsed returns the time since the links were created, in nanoseconds. Steps of the wall
// clock don't change it.
func (l *Links) elapsed() int64 { return int64(time.Since(l.created)) }

// SetSuspicion sets the silence after which other hosts are suspected; it follows the
// interval of heartbeats.
func (l *Links) SetSuspicion(silence time.Duration) { l.suspicion.Store(int64(silence)) }

// pingTimeout returns the silence after which a link is pinged, and the time that it has
// for the pong: a dead link is found in the time after which its host is suspected.
func (l *Links) pingTimeout() time.Duration { return time.Duration(l.suspicion.Load()) / 2 }

// runProbes looks for links that are unused or silent until ctx ends: one look for all
// links, so that a host with many of them doesn't wake for each.
func (l *Links) runProbes(ctx context.Context) {
	interval := settings.Milliseconds(l.config.Settings.SuspectMs) / 4
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	last := l.elapsed()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := l.elapsed()
		delayed := time.Duration(now-last) > l.pingTimeout()
		last = now
		// A process that was late itself has frames left to read.
		if delayed {
			continue
		}
		for _, k := range l.primaryLinks() {
			l.probe(k)
		}
	}
}

// primaryLinks returns the links to send on, one for each linked host. The others are closed
// soon whatever they carry.
func (l *Links) primaryLinks() []*link {
	l.mu.Lock()
	defer l.mu.Unlock()
	var links []*link
	for _, r := range l.hosts {
		if k := r.primary(); k != nil {
			links = append(links, k)
		}
	}
	return links
}

// probe closes a link that is unused, and pings one that is silent. When the pong is
// missing, a fresh dial is the proof.
func (l *Links) probe(k *link) {
	if k.idle() {
		k.cancel()
		return
	}
	if !k.silent(l.pingTimeout()) || !k.probing.CompareAndSwap(false, true) {
		return
	}
	l.wg.Go(func() {
		defer k.probing.Store(false)
		since := l.elapsed()
		if !k.ping(l.pingTimeout()) && !k.receivedSince(since) {
			k.replace(since)
		}
	})
}

// silent reports whether nothing arrived for a while though the link was read.
func (k *link) silent(minSilence time.Duration) bool {
	return !k.handling.Load() && time.Duration(k.links.elapsed()-k.lastReceived.Load()) >= minSilence
}

func (k *link) receivedSince(since int64) bool {
	return k.handling.Load() || k.lastReceived.Load() > since
}

func (k *link) idle() bool {
	unused := time.Duration(k.links.elapsed() - k.lastUsed.Load())
	return unused > idleTimeout && !k.links.isPersistent(k.hello.Host)
}

// ping reports whether the pong came, or the link ended meanwhile.
func (k *link) ping(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(k.ctx, timeout)
	defer cancel()
	if err := k.conn.Ping(ctx); err != nil {
		return k.ctx.Err() != nil
	}
	k.lastReceived.Store(k.links.elapsed())
	return true
}

// replace opens a fresh link beside one that is silent since a time. Both ends send on
// the fresh one from then on; what still arrives on the old one is read for a while.
// Without a fresh link, the old one is closed if it stays silent, and the host is
// reported as unreachable.
func (k *link) replace(since int64) {
	l := k.links
	l.counters.silent()
	l.config.Logger.Warn("link is silent", "host", k.hello.Host, "generation", k.generation)
	address := l.addressOf(k.hello.Host)
	if address == "" {
		return // the link has ended meanwhile, and its host was forgotten
	}
	_, err := l.connect(l.ctx, address, k.hello.Host)
	if err == nil || k.receivedSince(since) {
		return
	}
	k.cancel()
	if l.ctx.Err() == nil {
		l.config.Handler.LinkFailed(k.hello.Host, false)
	}
}

// addressOf returns the address to dial a host at; empty for an unknown host.
func (l *Links) addressOf(host string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.hosts[host]; r != nil {
		return r.dialAddress()
	}
	return ""
}
