package control

import (
	"context"
	"errors"
	"time"

	"mimosafront/internal/epoch"
	"mimosafront/internal/inifile"
	"mimosafront/internal/message"
	"mimosafront/internal/policystore"
)

const (
	// policyQueueSize bounds the policy events that wait to be handled.
	policyQueueSize = 64
	// policyFetchTimeout is how long a peer may take to answer before another peer is
	// asked.
	policyFetchTimeout = time.Second
	// maxSectionBytesPerFrame bounds the text of the sections in one frame; a longer
	// section gets a frame of its own.
	maxSectionBytesPerFrame = 256 << 10
)

// policyExchange distributes the newest policy between hosts: a host that receives a
// heartbeat with a newer version, of a higher generation or a later epoch of the
// platform's store, fetches the manifest and the sections that it lacks. It has its own
// goroutine, since checking a policy would block the control goroutine for too long.
type policyExchange struct {
	loop  *Loop
	store *policystore.Store
	queue chan policyEvent
	fetch policyFetch
	// refused is the last version of a peer that was fetched and that the store refused, or
	// whose text has faults.
	refused policystore.Version
	// behindSince is when this host, at behindVersion, first received a newer version in a
	// heartbeat. The control goroutine owns both.
	behindSince   time.Time
	behindVersion policystore.Version
}

// policyEvent is a newer version in a heartbeat, or a policy frame.
type policyEvent struct {
	from    string
	version policystore.Version
	frame   *message.Frame
}

// policyFetch is the fetch in progress.
type policyFetch struct {
	from string
	// deadline is when another fetch may replace this one.
	deadline time.Time
	manifest *message.PolicyManifest
	written  epoch.Span
	sections []message.PolicySection
}

func newPolicyExchange(l *Loop) *policyExchange {
	return &policyExchange{loop: l, store: l.config.Policies, queue: make(chan policyEvent, policyQueueSize)}
}

// handleHeartbeat queues a fetch if the heartbeat names a newer version and a fetch is due.
func (x *policyExchange) handleHeartbeat(now time.Time, from string, h *message.Heartbeat) {
	offered := policystore.Version{Generation: h.PolicyGeneration, Written: epoch.Span{From: h.PolicyEpoch, End: h.PolicyEpochEnd}}
	if h.PolicyGeneration > 0 && offered.Written.Valid() && x.store.Supersedes(offered) && x.fetchDue(now) {
		x.enqueue(policyEvent{from: from, version: offered})
	}
}

// fetchDue reports whether this host has no policy, or has been behind at its version for
// PolicyFetchDelay.
func (x *policyExchange) fetchDue(now time.Time) bool {
	own := x.store.Version()
	if own.Generation == 0 {
		return true
	}
	if x.behindSince.IsZero() || x.behindVersion != own {
		x.behindSince, x.behindVersion = now, own
	}
	return now.Sub(x.behindSince) >= x.loop.config.PolicyFetchDelay
}

func (x *policyExchange) enqueueFrame(from string, f *message.Frame) {
	x.enqueue(policyEvent{from: from, frame: f})
}

// enqueue drops the event if the queue is full: heartbeats repeat the version.
func (x *policyExchange) enqueue(e policyEvent) {
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
		x.startFetch(e.from, e.version)
	case e.frame.PolicyGet != nil:
		x.answer(e.from, e.frame.PolicyGet)
	case e.frame.PolicyData != nil && e.from == x.fetch.from:
		x.addData(e.frame.PolicyData)
	}
}

// startFetch requests the manifest of a peer unless a fetch is in progress or the store
// refused this version.
func (x *policyExchange) startFetch(from string, offered policystore.Version) {
	now := x.loop.now()
	if now.Before(x.fetch.deadline) || !x.store.Supersedes(offered) || x.isRefused(offered) {
		return
	}
	x.fetch = policyFetch{from: from, deadline: now.Add(policyFetchTimeout)}
	x.loop.transport.Send(from, &message.Frame{PolicyGet: &message.PolicyGet{}})
}

func (x *policyExchange) isRefused(v policystore.Version) bool {
	return v.Generation == x.refused.Generation && v.Written == x.refused.Written
}

// answer sends the manifest in force, or the sections that the peer requested.
func (x *policyExchange) answer(to string, get *message.PolicyGet) {
	if len(get.Sections) == 0 {
		manifest, written := x.store.WrittenManifest()
		x.loop.transport.Send(to, &message.Frame{PolicyData: &message.PolicyData{
			Manifest: &manifest, Epoch: written.From, EpochEnd: written.End,
		}})
		return
	}
	var batch []message.PolicySection
	bytes := 0
	for _, digest := range get.Sections {
		text, ok := x.store.Section(digest)
		if !ok {
			continue
		}
		if bytes > 0 && bytes+len(text) > maxSectionBytesPerFrame {
			x.loop.transport.Send(to, &message.Frame{PolicyData: &message.PolicyData{Sections: batch}})
			batch, bytes = nil, 0
		}
		batch = append(batch, message.PolicySection{Digest: digest, Text: text})
		bytes += len(text)
	}
	x.loop.transport.Send(to, &message.Frame{PolicyData: &message.PolicyData{Sections: batch}})
}

// addData adds an answer to the fetch in progress. On the manifest it requests the
// missing sections; when no section is missing, it finishes the fetch.
func (x *policyExchange) addData(data *message.PolicyData) {
	if data.Manifest != nil {
		written := epoch.Span{From: data.Epoch, End: data.EpochEnd}
		offered := policystore.Version{Generation: data.Manifest.Generation, Digest: data.Manifest.Digest, Written: written}
		if !written.Valid() || !x.store.Supersedes(offered) {
			x.refused, x.fetch = offered, policyFetch{}
			return
		}
		x.fetch.manifest, x.fetch.written, x.fetch.sections = data.Manifest, written, nil
	}
	if x.fetch.manifest == nil {
		return
	}
	x.fetch.sections = append(x.fetch.sections, data.Sections...)
	missing := x.missingSections()
	if len(missing) > 0 && data.Manifest != nil {
		x.fetch.deadline = x.loop.now().Add(policyFetchTimeout)
		x.loop.transport.Send(x.fetch.from, &message.Frame{PolicyGet: &message.PolicyGet{Sections: missing}})
	}
	if len(missing) == 0 {
		x.finishFetch()
	}
}

// missingSections returns the digests of the sections that neither the store nor the
// fetch holds.
func (x *policyExchange) missingSections() []string {
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

// finishFetch offers the fetched policy to the store. A policy that fails the check
// changes nothing.
func (x *policyExchange) finishFetch() {
	f := x.fetch
	x.fetch = policyFetch{}
	p, err := x.store.Assemble(*f.manifest, f.sections)
	if err == nil {
		err = x.store.OfferWritten(p, "peer "+f.from, f.written)
	}
	if faults := inifile.Problems(nil); errors.As(err, &faults) {
		// Every host has the same text: another fetch would end alike.
		x.refused = policystore.Version{Generation: f.manifest.Generation, Written: f.written}
	}
	if err != nil {
		x.loop.config.Logger.Warn("policy from peer rejected", "host", f.from, "generation", f.manifest.Generation, "error", err)
		return
	}
	x.loop.config.Logger.Info("policy in force", "generation", p.Generation, "written", f.written, "source", "peer "+f.from)
}
