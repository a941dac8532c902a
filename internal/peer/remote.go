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

// remote is another entry host and the links to it.
type remote struct {
	host string
	// address is what the host says of itself; seed is the address in the
	// settings at which it answered, which is tried first. seedFailed is set
	// while the other one is in turn.
	address, seed string
	seedFailed    bool
	persistent    bool
	dialing       bool
	// links are the open ones, the one to send on first.
	links []*link
	// generation is the highest one of a link to the host.
	generation int
	pending    []outgoing
	backoff    *backoff.ExponentialBackOff
	// notBefore is when the next dial may start.
	notBefore time.Time
}

const (
	minDialDelay = 50 * time.Millisecond
	maxDialDelay = 2 * time.Second
)

func newRemote(host string) *remote {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = minDialDelay, maxDialDelay
	return &remote{host: host, backoff: delays}
}

// primary returns the link to send on, or nil.
func (r *remote) primary() *link {
	if len(r.links) == 0 {
		return nil
	}
	return r.links[0]
}

// dialAddress returns the address to dial.
func (r *remote) dialAddress() string {
	if r.seed != "" && (!r.seedFailed || r.address == "") {
		return r.seed
	}
	return r.address
}

// dialLocked starts to open a link unless there is one or a dial runs.
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

// dialDone notes the end of a dial to an address. Kept hosts are dialed again.
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

// register adds an opened link. Of the links of a pair both ends send on the same one;
// the others are read for a while and closed.
func (l *Links) register(k *link) error {
	l.mu.Lock()
	r := l.ensureRemoteLocked(Target{Host: k.hello.Host, Address: k.hello.Address})
	if l.openCount >= l.config.Settings.MaxLinks {
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

// addLinkLocked puts a link first if it supersedes the one that frames are sent on.
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

// closeSurplus closes a link unless it has become the one to send on.
func (l *Links) closeSurplus(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.hosts[k.hello.Host]; r == nil || r.primary() != k {
		k.cancel()
	}
}

// nextGeneration returns the generation of a link to be dialed to a host; an empty name
// is a host not known yet.
func (l *Links) nextGeneration(host string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.hosts[host]; r != nil {
		return r.generation + 1
	}
	return 1
}

// unregister removes a closed link and replaces it where one is kept.
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

// connectSeed dials the address of a seed until a host with that address is known,
// and again whenever none is linked.
func (l *Links) connectSeed(ctx context.Context, address string) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = minDialDelay, maxDialDelay
	host := ""
	for ctx.Err() == nil {
		if host != "" && l.linkedOrPersistent(host) {
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

// preferSeed makes the address of a seed the first one to dial its host at.
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

// outgoing is an encoded frame.
type outgoing struct {
	kind    message.Kind
	payload []byte
}
