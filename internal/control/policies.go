package control

import (
	"context"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/policystore"
)

const (
	// policyQueueSize bounds the policy frames that wait to be handled.
	policyQueueSize = 64
	// policyFetchTimeout is how long one peer may take to answer before the
	// next one is asked.
	policyFetchTimeout = time.Second
	// sectionBytesPerFrame bounds the text of sections in one frame.
	sectionBytesPerFrame = 256 << 10
)

// policyExchange passes the newest policy between hosts: a host that hears of a
// higher generation fetches the manifest and the sections that it lacks. It has
// its own goroutine, since checking a policy takes a while.
type policyExchange struct {
	loop  *Loop
	store *policystore.Store
	queue chan policyEvent
	fetch policyFetch
	// behind is since when this host has heard of a higher generation than the one that
	// it has, behindAt. The control goroutine owns both.
	behind   time.Time
	behindAt int
}

// policyEvent is a heartbeat that named a higher generation, or a frame.
type policyEvent struct {
	from       string
	generation int
	frame      *message.Frame
}

// policyFetch is the fetch in progress.
type policyFetch struct {
	from     string
	until    time.Time
	manifest *message.PolicyManifest
	sections []message.PolicySection
}

func newPolicyExchange(l *Loop) *policyExchange {
	return &policyExchange{loop: l, store: l.config.Policies, queue: make(chan policyEvent, policyQueueSize)}
}

func (x *policyExchange) generation() int {
	if p := x.store.Current(); p != nil {
		return p.Generation
	}
	return 0
}

// heard notes the generation that a peer's heartbeat names.
func (x *policyExchange) heard(now time.Time, from string, h *message.Heartbeat) {
	if own := x.generation(); h.PolicyGeneration > own && x.overdue(now, own) {
		x.add(policyEvent{from: from, generation: h.PolicyGeneration})
	}
}

// overdue reports whether this host has stayed at a generation for longer than it
// takes to read a newer one itself.
func (x *policyExchange) overdue(now time.Time, own int) bool {
	if own == 0 {
		return true
	}
	if x.behind.IsZero() || x.behindAt != own {
		x.behind, x.behindAt = now, own
	}
	return now.Sub(x.behind) >= x.loop.config.PolicyPatience
}

func (x *policyExchange) received(from string, f *message.Frame) {
	x.add(policyEvent{from: from, frame: f})
}

// add drops the event if the queue is full: heartbeats repeat the news.
func (x *policyExchange) add(e policyEvent) {
	select {
	case x.queue <- e:
	default:
	}
}

func (x *policyExchange) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-x.queue:
			x.handle(e)
		}
	}
}

func (x *policyExchange) handle(e policyEvent) {
	switch {
	case e.frame == nil:
		x.start(e.from, e.generation)
	case e.frame.PolicyGet != nil:
		x.answer(e.from, e.frame.PolicyGet)
	case e.frame.PolicyData != nil && e.from == x.fetch.from:
		x.take(e.frame.PolicyData)
	}
}

// start asks a peer for its manifest unless a fetch is in progress.
func (x *policyExchange) start(from string, generation int) {
	now := x.loop.now()
	if generation <= x.generation() || now.Before(x.fetch.until) {
		return
	}
	x.fetch = policyFetch{from: from, until: now.Add(policyFetchTimeout)}
	x.loop.peers.Send(from, &message.Frame{PolicyGet: &message.PolicyGet{}})
}

// answer sends the manifest in force or the named sections.
func (x *policyExchange) answer(to string, get *message.PolicyGet) {
	if len(get.Sections) == 0 {
		manifest := x.store.Manifest()
		x.loop.peers.Send(to, &message.Frame{PolicyData: &message.PolicyData{Manifest: &manifest}})
		return
	}
	var batch []message.PolicySection
	bytes := 0
	for _, digest := range get.Sections {
		text, ok := x.store.Section(digest)
		if !ok {
			continue
		}
		if bytes > 0 && bytes+len(text) > sectionBytesPerFrame {
			x.loop.peers.Send(to, &message.Frame{PolicyData: &message.PolicyData{Sections: batch}})
			batch, bytes = nil, 0
		}
		batch = append(batch, message.PolicySection{Digest: digest, Text: text})
		bytes += len(text)
	}
	x.loop.peers.Send(to, &message.Frame{PolicyData: &message.PolicyData{Sections: batch}})
}

// take adds an answer to the fetch in progress and offers the policy once it is
// whole. A policy that fails the check changes nothing.
func (x *policyExchange) take(data *message.PolicyData) {
	if data.Manifest != nil {
		if data.Manifest.Generation <= x.generation() {
			x.fetch = policyFetch{}
			return
		}
		x.fetch.manifest, x.fetch.sections = data.Manifest, nil
	}
	if x.fetch.manifest == nil {
		return
	}
	x.fetch.sections = append(x.fetch.sections, data.Sections...)
	missing := x.lacking()
	if len(missing) > 0 && data.Manifest != nil {
		x.fetch.until = x.loop.now().Add(policyFetchTimeout)
		x.loop.peers.Send(x.fetch.from, &message.Frame{PolicyGet: &message.PolicyGet{Sections: missing}})
	}
	if len(missing) == 0 {
		x.offer()
	}
}

// lacking returns the sections that neither the store nor the fetch holds.
func (x *policyExchange) lacking() []string {
	fetched := map[string]bool{}
	for _, section := range x.fetch.sections {
		fetched[section.Digest] = true
	}
	var missing []string
	for _, digest := range x.store.Missing(*x.fetch.manifest) {
		if !fetched[digest] {
			missing = append(missing, digest)
		}
	}
	return missing
}

func (x *policyExchange) offer() {
	f := x.fetch
	x.fetch = policyFetch{}
	p, err := x.store.Assemble(*f.manifest, f.sections)
	if err == nil {
		err = x.store.Offer(p, "peer "+f.from)
	}
	if err != nil {
		x.loop.config.Logger.Warn("policy from a peer not taken", "host", f.from, "generation", f.manifest.Generation, "error", err)
		return
	}
	x.loop.config.Logger.Info("policy in force", "generation", p.Generation, "source", "peer "+f.from)
}
