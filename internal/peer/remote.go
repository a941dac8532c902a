package peer

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"

	"mimosafront/internal/message"
	"mimosafront/internal/sleep"
)

// remote holds the state of another entry host and the links to it.
type remote struct {
	host string
	// address is the advertised address of the host. seed is the address in the
	// settings at which it answered, if any, which is dialed first. seedFailed is set
	// when the next dial uses address instead; it toggles at each failed dial.
	address, seed string
	seedFailed    bool
	// persistent is set for hosts to keep a link to; links to others are on demand.
	persistent bool
	// dialing is set while a dial waits or runs.
	dialing bool
	// links are the open links. Frames are sent on the first one, the primary link.
	links []*link
	// generation is the highest generation of a link to the host.
	generation int
	// pending are frames that wait for a link.
	pending []outgoing
	backoff *backoff.ExponentialBackOff
	// notBefore is the earliest time of the next dial.
	notBefore time.Time
}

// Limits of the exponential backoff between dials to a host.
const (
	minDialDelay = 50 * time.Millisecond
	maxDialDelay = 2 * time.Second
)

func newRemote(host string) *remote {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = minDialDelay, maxDialDelay
	return &remote{host: host, backoff: delays}
}

// primary returns the link that frames are sent on, or nil.
func (r *remote) primary() *link {
	if len(r.links) == 0 {
		return nil
	}
	return r.links[0]
}

// dialAddress returns the address to dial next, or an empty string if none is known.
func (r *remote) dialAddress() string {
	if r.seed != "" && (!r.seedFailed || r.address == "") {
		return r.seed
	}
	return r.address
}

// dialLocked starts to dial a host unless it is linked or being dialed, or its address
// is unknown.
func (l *Links) dialLocked(r *remote) {
	if l.ctx == nil || l.ctx.Err() != nil || r.dialing || len(r.links) > 0 || r.dialAddress() == "" {
		return
	}
	r.dialing = true
	wait, address := time.Until(r.notBefore), r.dialAddress()
	l.wg.Go(func() {
		if !sleep.For(l.ctx, wait) {
			return
		}
		_, err := l.connect(l.ctx, address, r.host)
		l.dialDone(r, address, err)
	})
}

// dialDone records the end of a dial to an address. After a failure, it drops the
// pending frames and dials a persistent host again.
func (l *Links) dialDone(r *remote, address string, err error) {
	l.mu.Lock()
	r.dialing = false
	failed := err != nil && len(r.links) == 0
	if failed {
		r.notBefore = time.Now().Add(r.backoff.NextBackOff())
		r.seedFailed = !r.seedFailed
		r.pending = nil
		if r.persistent {
			l.dialLocked(r)
		}
	}
	l.mu.Unlock()
	if failed && l.ctx.Err() == nil {
		l.counters.dialFailed()
		l.config.Logger.Debug("no link", "host", r.host, "address", address, "error", err)
		l.config.Handler.LinkFailed(r.host, errors.Is(err, syscall.ECONNREFUSED))
	}
}

// register adds an open link and sends the pending frames on it. It cancels links to an
// earlier incarnation of the host. Both ends of a pair choose the same primary link; the
// others are closed after surplusDelay.
func (l *Links) register(k *link) error {
	l.mu.Lock()
	r := l.ensureRemoteLocked(Target{Host: k.hello.Host, Address: k.hello.Address})
	if l.openCount >= l.config.Settings.MaxLinks && !l.closeUnusedLocked() {
		l.mu.Unlock()
		return errTooManyLinks
	}
	l.openCount++
	r.generation = max(r.generation, k.generation)
	for _, old := range r.links {
		if old.hello.Incarnation < k.hello.Incarnation {
			old.cancel()
		}
	}
	l.addLinkLocked(r, k)
	r.backoff.Reset()
	r.notBefore = time.Time{}
	for _, o := range r.pending {
		k.enqueue(o)
	}
	r.pending = nil
	l.mu.Unlock()
	l.config.Handler.LinkUp(k.hello)
	return nil
}

// minUnusedTime is how long a link on demand must be unused before another takes its place.
// A host that joins gets the view within that time.
const minUnusedTime = 500 * time.Millisecond

// closeUnusedLocked closes the link on demand that has been unused for the longest time,
// and reports whether there was one.
func (l *Links) closeUnusedLocked() bool {
	var unused *link
	for _, r := range l.hosts {
		for _, k := range r.links {
			if !r.persistent && k.ctx.Err() == nil && (unused == nil || k.lastUsed.Load() < unused.lastUsed.Load()) {
				unused = k
			}
		}
	}
	if unused == nil || time.Duration(l.elapsed()-unused.lastUsed.Load()) < minUnusedTime {
		return false
	}
	unused.cancel()
	return true
}

// addLinkLocked makes a link the primary one if it supersedes the current one, and
// schedules the close of the other.
func (l *Links) addLinkLocked(r *remote, k *link) {
	surplus := k
	if first := r.primary(); first == nil || k.supersedes(first) {
		surplus = first
		r.links = append([]*link{k}, r.links...)
	} else {
		r.links = append(r.links, k)
	}
	if surplus != nil {
		time.AfterFunc(surplusDelay, func() { l.closeSurplus(surplus) })
	}
}

// closeSurplus closes a link unless it has become the primary link.
func (l *Links) closeSurplus(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.hosts[k.hello.Host]; r == nil || r.primary() != k {
		k.cancel()
	}
}

// nextGeneration returns the generation of the next link to dial to a host. For a seed
// whose host isn't known yet, the name is empty.
func (l *Links) nextGeneration(host string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.hosts[host]; r != nil {
		return r.generation + 1
	}
	return 1
}

// unregister removes a closed link and dials a persistent host that has no other link.
func (l *Links) unregister(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openCount--
	r := l.hosts[k.hello.Host]
	for i, other := range r.links {
		if other == k {
			r.links = append(r.links[:i:i], r.links[i+1:]...)
			break
		}
	}
	if len(r.links) == 0 && r.persistent {
		l.dialLocked(r)
	}
}

func (l *Links) isPersistent(host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.hosts[host]
	return r != nil && r.persistent
}

// connectSeed dials a seed address until a host answers, and again whenever that host is
// neither linked nor persistent and this host needs seeds. It returns when ctx ends or the
// address is this host's own.
func (l *Links) connectSeed(ctx context.Context, address string) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = minDialDelay, maxDialDelay
	host := ""
	for ctx.Err() == nil {
		if host != "" && (!l.needsSeeds.Load() || l.linkedOrPersistent(host)) {
			delays.Reset()
			sleep.For(ctx, maxDialDelay)
			continue
		}
		name, err := l.connect(ctx, address, "")
		if errors.Is(err, errSelf) {
			return
		}
		if err == nil {
			host = name
			l.preferSeed(host, address)
		}
		sleep.For(ctx, delays.NextBackOff())
	}
}

// preferSeed makes the seed address the next one to dial for its host.
func (l *Links) preferSeed(host, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.hosts[host]; r != nil {
		r.seed, r.seedFailed = address, false
	}
}

func (l *Links) linkedOrPersistent(host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.hosts[host]
	return r != nil && (r.persistent || len(r.links) > 0)
}

// outgoing is an encoded frame to send.
type outgoing struct {
	kind    message.Kind
	payload []byte
}
