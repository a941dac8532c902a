package control

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"

	"mimosafront/internal/policy"
	"mimosafront/internal/sched"
)

const (
	// loadInterval is the time between two reads of the load report of a server.
	loadInterval = time.Second
	// loadTimeout bounds the read of one load report.
	loadTimeout = 2 * time.Second
	// maxEngineRequests is the limit of concurrent reads of load reports, of concurrent
	// reads of models and of concurrent orders, each counted separately.
	maxEngineRequests = 8
)

// LoadReader reads the load report of a backend server.
type LoadReader interface {
	// Load returns the current load report of a server.
	Load(ctx context.Context, server policy.Server) (sched.LoadReport, error)
}

// loadPoller reads the load reports of the engines whose pools this host
// coordinates.
type loadPoller struct {
	reader  LoadReader
	servers atomic.Pointer[[]policy.Server]
}

func newLoadPoller(reader LoadReader) *loadPoller {
	p := &loadPoller{reader: reader}
	p.watch(nil)
	return p
}

// watch sets the servers whose load reports are read.
func (p *loadPoller) watch(servers []policy.Server) { p.servers.Store(&servers) }

// run reads the load reports of all servers once in each interval, with a random delay
// before each read.
func (p *loadPoller) run(ctx context.Context, l *Loop) {
	if p.reader == nil {
		return
	}
	for ctx.Err() == nil {
		reads := pool.New().WithMaxGoroutines(maxEngineRequests)
		servers := *p.servers.Load()
		spacing := loadInterval / time.Duration(len(servers)+1)
		for _, server := range servers {
			sleepOrDone(ctx, time.Duration(rand.Int64N(int64(2*spacing))))
			reads.Go(func() { p.read(ctx, l, server) })
		}
		sleepOrDone(ctx, spacing)
		reads.Wait()
	}
}

func (p *loadPoller) read(ctx context.Context, l *Loop, server policy.Server) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	report, err := p.reader.Load(ctx, server)
	if err != nil {
		return
	}
	l.tryPost(loadRead{server: server.Name, report: report})
}

// sleepOrDone waits for a time or until ctx ends.
func sleepOrDone(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
