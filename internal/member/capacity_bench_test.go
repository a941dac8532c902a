package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mimosafront/internal/message"
)

// Size and durations of the fleet benchmark.
const (
	benchZones   = 11
	benchWarmup  = 6 * time.Second
	benchMeasure = 4 * time.Second
)

// benchFleet is a fleet of States that exchange frames without loss or delay.
type benchFleet struct {
	now    time.Time
	hosts  map[string]*State
	names  []string
	linked map[[2]string]bool
	// sent and frames count the bytes and frames sent by each host while counting
	// is set.
	sent, frames map[string]int
	counting     bool
}

func newBenchFleet(hosts int) *benchFleet {
	f := &benchFleet{now: time.Unix(1_700_000_000, 0), hosts: map[string]*State{}, linked: map[[2]string]bool{}, sent: map[string]int{}, frames: map[string]int{}}
	var list []PublishedHost
	for i := range hosts {
		name := fmt.Sprintf("%c-%03d", 'a'+i%benchZones, i/benchZones)
		f.names = append(f.names, name)
		list = append(list, PublishedHost{Name: name, Zone: name[:1], Address: "192.0.2.1:1", Entry: true})
	}
	for _, name := range f.names {
		s := New(f.now, Config{
			Host: name, Zone: name[:1], Address: "192.0.2.1:1", Incarnation: 1,
			Heartbeat: testHeartbeat, Suspect: testSuspect, Dead: testDead, ExpectsPeers: true,
		})
		s.SetHosts(f.now, 1, list)
		f.hosts[name] = s
	}
	return f
}

func (f *benchFleet) run(b *testing.B, d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for _, name := range f.names {
			f.hosts[name].Tick(f.now)
			f.hosts[name].TakeEvents()
		}
		for _, name := range f.names {
			f.deliver(b, name)
		}
	}
}

func (f *benchFleet) deliver(b *testing.B, from string) {
	for _, o := range f.hosts[from].TakeOutput() {
		if f.counting {
			data, err := cbor.Marshal(o.Frame)
			if err != nil {
				b.Fatal(err)
			}
			f.sent[from] += len(data)
			f.frames[from]++
		}
		f.link(from, o.To)
		to := f.hosts[o.To]
		switch {
		case o.Frame.Beat != nil:
			if h := to.HandleBeat(f.now, from, o.Frame.Beat); h != nil {
				to.HandleHeartbeat(f.now, from, h)
			}
		case o.Frame.Heartbeat != nil:
			to.HandleHeartbeat(f.now, from, o.Frame.Heartbeat)
		case o.Frame.Members != nil:
			to.HandleMembers(f.now, from, o.Frame.Members)
		}
	}
}

// link opens a link between two hosts unless they have one.
func (f *benchFleet) link(from, to string) {
	if f.linked[[2]string{from, to}] {
		return
	}
	f.linked[[2]string{from, to}], f.linked[[2]string{to, from}] = true, true
	for _, pair := range [][2]string{{from, to}, {to, from}} {
		f.hosts[pair[0]].LinkUp(f.now, &message.Hello{
			Host: pair[1], Zone: pair[1][:1], Address: "192.0.2.1:1", Incarnation: 1, Protocol: message.Protocol,
		})
	}
}

// BenchmarkFleet measures the cost of membership per host of a fleet in 11 zones:
// CPU time per second, bytes sent per second by the average and by the busiest
// host, and the highest number of frames sent per second by a host.
func BenchmarkFleet(b *testing.B) {
	for _, hosts := range []int{22, 55, 110, 205, 410} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			f := newBenchFleet(hosts)
			f.run(b, benchWarmup)
			f.counting = true
			f.run(b, benchMeasure)
			f.counting = false
			total, most, frames := 0, 0, 0
			for host, bytes := range f.sent {
				total += bytes
				most = max(most, bytes)
				frames = max(frames, f.frames[host])
			}
			b.ResetTimer()
			for range b.N {
				f.run(b, benchMeasure)
			}
			hostSeconds := float64(hosts) * benchMeasure.Seconds()
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/hostSeconds, "us/s")
			b.ReportMetric(float64(total)/hostSeconds, "mean-bytes/s")
			b.ReportMetric(float64(most)/benchMeasure.Seconds(), "most-bytes/s")
			b.ReportMetric(float64(frames)/benchMeasure.Seconds(), "most-frames/s")
		})
	}
}
