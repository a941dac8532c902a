package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"mimosafront/internal/placement"
	"mimosafront/internal/policy"
)

const (
	// modelsIntervalMin is the shortest time between two reads of the models of
	// an engine. It grows by modelsReadShare for each engine beyond, so that the
	// reads of a large zone cost a bounded share of a core.
	modelsIntervalMin = time.Second
	modelsReadShare   = 50 * time.Millisecond
	modelsTimeout     = 2 * time.Second
	// modelsLifetime is for how many intervals a read counts.
	modelsLifetime = 6
)

// Engines carries placement orders to engines and reads which models they have
// loaded, by version. placement.Sender implements it.
type Engines interface {
	Models(ctx context.Context, address string) (map[string]string, error)
	Send(ctx context.Context, o placement.Order, timeout time.Duration) placement.Result
}

// loadedModels is what an engine reported.
type loadedModels struct {
	models map[string]string
	at     time.Time
}

// modelsRead is which models an engine has loaded, and their versions.
type modelsRead struct {
	server string
	models map[string]string
	// at is when the read began.
	at time.Time
}

func (e modelsRead) apply(l *Loop, now time.Time) {
	l.placer.models[e.server] = loadedModels{models: e.models, at: e.at}
	l.coordinator.SetLoadedModels(now, e.server, e.models)
}

// orderDone is what came of a placement order.
type orderDone struct {
	order  placement.Order
	result placement.Result
}

func (e orderDone) apply(l *Loop, now time.Time) { l.placer.state.HandleResult(now, e.order, e.result) }

// runPlacement reads models and sends orders until ctx ends.
func (l *Loop) runPlacement(ctx context.Context) {
	if l.placer.engines == nil {
		return
	}
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { l.readModels(ctx) })
	orders := pool.New().WithMaxGoroutines(maxLoadReads)
	defer orders.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case order := <-l.placer.orders:
			orders.Go(func() { l.sendOrder(ctx, order) })
		}
	}
}

func (l *Loop) sendOrder(ctx context.Context, order placement.Order) {
	result := l.placer.engines.Send(ctx, order, orderTimeout)
	_ = l.post(ctx, orderDone{order: order, result: result})
}

// modelsInterval returns the time between two reads of the models of each of
// some engines.
func modelsInterval(engines int) time.Duration {
	return max(modelsIntervalMin, time.Duration(engines)*modelsReadShare)
}

// readModels reads all watched engines once in each interval, each after a
// random part of it.
func (l *Loop) readModels(ctx context.Context) {
	for ctx.Err() == nil {
		reads := pool.New().WithMaxGoroutines(maxLoadReads)
		servers := *l.placer.servers.Load()
		pause := modelsInterval(len(servers)) / time.Duration(len(servers)+1)
		for _, server := range servers {
			sleepOrDone(ctx, time.Duration(rand.Int64N(int64(2*pause))))
			reads.Go(func() { l.readModelsOf(ctx, server) })
		}
		sleepOrDone(ctx, pause)
		reads.Wait()
	}
}

func (l *Loop) readModelsOf(ctx context.Context, server policy.Server) {
	began := l.now()
	ctx, cancel := context.WithTimeout(ctx, modelsTimeout)
	defer cancel()
	models, err := l.placer.engines.Models(ctx, server.Address)
	if err != nil {
		return
	}
	l.notify(modelsRead{server: server.Name, models: models, at: began})
}
