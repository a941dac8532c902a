package peer

import (
	"context"
	"time"

	"mimosafront/internal/settings"
)

// elapsed returns the monotonic time since the Links were created, in nanoseconds. Steps
// of the wall clock don't change it.
func (l *Links) elapsed() int64 { return int64(time.Since(l.created)) }

// SetSuspicion sets the time without frames after which other hosts are suspected. The
// caller derives it from the heartbeat interval.
func (l *Links) SetSuspicion(silence time.Duration) { l.suspicion.Store(int64(silence)) }

// pingTimeout returns the time without frames after which a link is pinged, which is also
// the time allowed for the pong. It is half of the suspicion time, so that a dead link is
// detected by the time its host is suspected.
func (l *Links) pingTimeout() time.Duration { return time.Duration(l.suspicion.Load()) / 2 }

// runProbes checks all links periodically until ctx ends, and closes idle and probes
// silent ones. A single timer serves all links, so that a host with many links doesn't
// wake up for each.
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
		// After a pause of this process, received frames may still wait to be read, so the
		// links only seem silent.
		if delayed {
			continue
		}
		for _, k := range l.primaryLinks() {
			l.probe(k)
		}
	}
}

// primaryLinks returns the primary link of each linked host. The other links need no
// probe: they are closed after surplusDelay.
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

// probe closes a link that is idle and pings one that is silent. If no pong or frame
// arrives, it dials a replacement, which shows whether the host is reachable.
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
		if !k.ping(l.pingTimeout()) && !k.seenSince(since) {
			k.replace(since)
		}
	})
}

// silent reports whether nothing was received for at least minSilence while the link
// was being read.
func (k *link) silent(minSilence time.Duration) bool {
	return !k.handling.Load() && time.Duration(k.links.elapsed()-k.lastSeen.Load()) >= minSilence
}

// seenSince reports whether a frame or pong was received after a time of
// Links.elapsed, or a frame is being handled.
func (k *link) seenSince(since int64) bool { return k.handling.Load() || k.lastSeen.Load() > since }

// idle reports whether a link on demand carried no frames for idleTimeout.
func (k *link) idle() bool {
	unused := time.Duration(k.links.elapsed() - k.lastUsed.Load())
	return unused > idleTimeout && !k.links.isPersistent(k.hello.Host)
}

// ping sends a ping and reports whether the pong arrived in time. It also reports true
// if the link ended meanwhile.
func (k *link) ping(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(k.ctx, timeout)
	defer cancel()
	if err := k.conn.Ping(ctx); err != nil {
		return k.ctx.Err() != nil
	}
	k.lastSeen.Store(k.links.elapsed())
	return true
}

// replace opens a new link beside one that has received nothing since a time of
// Links.elapsed. Both ends then send on the new link; frames that still arrive on the
// old one are read for surplusDelay. If the dial fails and the old link has still
// received nothing, the old link is closed and the host reported as unreachable.
func (k *link) replace(since int64) {
	l := k.links
	l.counters.silent()
	l.config.Logger.Warn("link is silent", "host", k.hello.Host, "generation", k.generation)
	address := l.addressOf(k.hello.Host)
	if address == "" {
		return // the link ended meanwhile, and its host was removed
	}
	_, err := l.connect(l.ctx, address, k.hello.Host)
	if err == nil || k.seenSince(since) {
		return
	}
	k.cancel()
	if l.ctx.Err() == nil {
		l.config.Handler.LinkFailed(k.hello.Host, false)
	}
}

// addressOf returns the address to dial for a host, or an empty string if the host is
// unknown.
func (l *Links) addressOf(host string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.hosts[host]; r != nil {
		return r.dialAddress()
	}
	return ""
}
