package coordinator

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mimosafront/internal/message"
)

// BenchmarkAsk measures an ask, the release of an older grant and the grant that
// follows, by the number of organisations and waiting requests.
func BenchmarkAsk(b *testing.B) {
	for _, organisations := range []int{10, 100, 400, 1600} {
		for _, waiting := range []int{100, 1000, 4000, 16000} {
			b.Run(fmt.Sprintf("organisations=%d/waiting=%d", organisations, waiting), func(b *testing.B) {
				l := newLoadedState(b, organisations, waiting)
				asks := make([]*message.Ask, b.N)
				for i := range asks {
					asks[i] = l.newAsk()
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					l.ask(asks[i])
					l.releaseOldest()
				}
			})
		}
	}
}

// loadedState is a coordinator with full servers and a number of waiting requests.
type loadedState struct {
	*State
	organisations, requestCount int
	grants                      []*message.Grant
}

func newLoadedState(b *testing.B, organisations, waiting int) *loadedState {
	l := &loadedState{State: newState(b, "e1", "lisbon-a"), organisations: organisations}
	l.config.Scheduler.MaxWaiting = 1 << 30
	l.config.Scheduler.MaxWaitingTokens = 1 << 40
	l.SetOwned(start, nil)
	l.SetOwned(start, []message.Pool{pool})
	l.SetFronts(start, nil)
	for len(l.pools[pool].entries)-len(l.grants) < waiting {
		l.ask(l.newAsk())
	}
	return l
}

func (l *loadedState) newAsk() *message.Ask {
	l.requestCount++
	a := ask(fmt.Sprintf("request-%08d", l.requestCount))
	a.Organisation = fmt.Sprint("organisation-", l.requestCount%l.organisations)
	a.Tier, a.DeadlineMs = l.requestCount%4, 3_600_000
	a.PromptTokens, a.OutputTokens = 300, 200
	a.Fingerprint = uint64(l.requestCount)
	for i := range uint64(8) {
		a.Prefixes = append(a.Prefixes, uint64(l.requestCount%64)<<32|i)
	}
	return a
}

func (l *loadedState) ask(a *message.Ask) {
	l.Handle(start, fmt.Sprint("e", 2+l.requestCount%7), &message.Frame{Ask: a})
	l.collect()
}

func (l *loadedState) collect() {
	for _, o := range l.TakeOutput() {
		if o.Frame.Grant != nil {
			l.grants = append(l.grants, o.Frame.Grant)
		}
	}
	l.TakeDecisions()
}

func (l *loadedState) releaseOldest() {
	if len(l.grants) == 0 {
		return
	}
	g := l.grants[0]
	l.grants = l.grants[1:]
	l.Handle(start, l.State.grants[g.Grant].request.Host, &message.Frame{Release: &message.Release{
		Request: g.Request, Grant: g.Grant, Pool: pool, Outcome: message.ReleaseOutcomeFinished, PromptTokens: 300, OutputTokens: 200,
	}})
	l.collect()
}

// BenchmarkProgress measures one progress report, by its number of running grants.
func BenchmarkProgress(b *testing.B) {
	for _, entries := range []int{1, 10, 50, 200} {
		b.Run(fmt.Sprint("entries=", entries), func(b *testing.B) {
			l := newLoadedState(b, 10, 100)
			p := &message.Progress{}
			for i := range entries {
				p.Entries = append(p.Entries, message.ProgressEntry{Grant: l.grants[i%len(l.grants)].Grant, Pool: pool, FirstTokenMs: 30, GapMs: 20})
			}
			size := encodedSize(b, &message.Frame{Progress: p})
			b.ResetTimer()
			for i := range b.N {
				for j := range p.Entries {
					p.Entries[j].OutputTokens = i
				}
				l.Handle(start.Add(time.Duration(i)*200*time.Millisecond), "e2", &message.Frame{Progress: p})
				l.TakeOutput()
				l.TakeDecisions()
			}
			b.ReportMetric(float64(size), "frame-bytes")
		})
	}
}

// BenchmarkHeartbeat measures one full heartbeat of a front with as many asks as
// grants.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []int{10, 50, 100, 400} {
		b.Run(fmt.Sprint("size=", size), func(b *testing.B) {
			s := newState(b, "e1", "lisbon-a")
			h := &message.Heartbeat{Host: "e2", Reports: true}
			for i := range 2 * size {
				a := ask(fmt.Sprintf("request-%08d", i))
				a.PromptTokens = 10
				if i >= size {
					a.PromptTokens = 200000
				}
				if g := send(s, start, "e2", a).Grant; g != nil {
					h.Grants = append(h.Grants, message.HeldGrant{
						Grant: g.Grant, Request: a.Request, Organisation: a.Organisation, Caller: a.Caller, Pool: pool, Server: g.Server,
						Tier: 1, PromptTokens: 10, ExpectedTokens: 50, Dispatched: true, OutputTokens: 20,
					})
					continue
				}
				h.Asks = append(h.Asks, a.Request)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				s.Handle(start, "e2", &message.Frame{Heartbeat: h})
			}
			b.ReportMetric(float64(encodedSize(b, &message.Frame{Heartbeat: h})), "frame-bytes")
		})
	}
}

// BenchmarkDigest measures the digest of a pool, by the number of organisations that
// were served since the last one.
func BenchmarkDigest(b *testing.B) {
	for _, organisations := range []int{1, 4, 16, 1600} {
		b.Run(fmt.Sprint("organisations=", organisations), func(b *testing.B) {
			l := newLoadedState(b, organisations, 200)
			for range 4 * organisations {
				l.ask(l.newAsk())
				l.releaseOldest()
			}
			ps := l.pools[pool]
			load := ps.sched.Load(start)
			d := l.newDigest(ps, &load)
			b.ResetTimer()
			for range b.N {
				load := ps.sched.Load(start)
				l.newDigest(ps, &load)
			}
			b.ReportMetric(float64(encodedSize(b, &message.Frame{Digest: d})), "frame-bytes")
		})
	}
}

// BenchmarkMoves measures one move check that moves nothing because the sibling has as
// much load, and the size of one redirection.
func BenchmarkMoves(b *testing.B) {
	for _, organisations := range []int{10, 1600} {
		for _, waiting := range []int{100, 4000} {
			b.Run(fmt.Sprintf("organisations=%d/waiting=%d", organisations, waiting), func(b *testing.B) {
				l := newLoadedState(b, organisations, waiting)
				l.SetSiblings(start, map[message.Pool][]string{pool: {"e9"}})
				deliverDigest(l.State, start, 1, 0)
				l.pools[pool].siblings["e9"].redirectedTokens = 1 << 30
				b.ReportAllocs()
				for b.Loop() {
					l.movePool(start, l.pools[pool])
				}
				redirect := &message.Redirect{Request: "dc95sg1ksduavbnak7cg", Attempt: 1, Pool: pool, Zone: "lisbon-b", Kept: true}
				b.ReportMetric(float64(encodedSize(b, &message.Frame{Redirect: redirect})), "frame-bytes")
			})
		}
	}
}

func encodedSize(b *testing.B, f *message.Frame) int {
	data, err := cbor.Marshal(f)
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}

// BenchmarkStateBytes measures the memory per waiting request, per organisation and per
// running request.
func BenchmarkStateBytes(b *testing.B) {
	for _, size := range []int{1000, 2000, 4000, 8000, 16000} {
		b.Run(fmt.Sprint("waiting=", size), func(b *testing.B) {
			for range b.N {
				base := newLoadedState(b, 10, 1)
				before := heapBytes()
				for range size {
					base.ask(base.newAsk())
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(size), "B/waiting")
				runtime.KeepAlive(base)
			}
		})
	}
	for _, size := range []int{100, 400, 1600, 6400} {
		b.Run(fmt.Sprint("organisations=", size), func(b *testing.B) {
			for range b.N {
				few, many := newLoadedState(b, 10, 8000), newLoadedState(b, size, 8000)
				fewBytes := retained(&few)
				manyBytes := retained(&many)
				b.ReportMetric(float64(manyBytes-fewBytes)/float64(size), "B/organisation")
			}
		})
	}
	for _, size := range []int{1000, 2000, 4000, 8000} {
		b.Run(fmt.Sprint("running=", size), func(b *testing.B) {
			for range b.N {
				s := newState(b, "e1", "lisbon-a")
				h := &message.Heartbeat{Host: "e2", Reports: true}
				for i := range size {
					h.Grants = append(h.Grants, message.HeldGrant{
						Grant: fmt.Sprintf("e1.1.1.%d", i), Request: fmt.Sprintf("request-%08d", i), Organisation: "aurora", Caller: "c",
						Pool: pool, Server: "lisbon-a-engine-3", PromptTokens: 10, ExpectedTokens: 50,
					})
				}
				before := heapBytes()
				s.Handle(start, "e2", &message.Frame{Heartbeat: h})
				b.ReportMetric(float64(heapBytes()-before)/float64(size), "B/running")
				runtime.KeepAlive(s)
				runtime.KeepAlive(h)
			}
		})
	}
}

// retained sets *l to nil and returns the bytes that this frees.
func retained(l **loadedState) int {
	with := heapBytes()
	*l = nil
	return with - heapBytes()
}

func heapBytes() int {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}
