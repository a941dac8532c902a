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
	// minModelsInterval is the shortest time between two reads of the models of an
	// engine. The interval grows to modelsIntervalPerEngine times the number of
	// engines, so that the reads of a large zone take a bounded share of a core.
	minModelsInterval       = time.Second
	modelsIntervalPerEngine = 50 * time.Millisecond
	// modelsTimeout bounds one read.
	modelsTimeout = 2 * time.Second
	// modelsLifetimeIntervals is the number of intervals for which a read is valid.
	modelsLifetimeIntervals = 6
)

// Engines sends placement orders to engines and reads which models they have loaded, by
// version. placement.Sender implements it.
type Engines interface {
	// Models returns the versions of the models that the engine at an address has
	// loaded, by model.
	Models(ctx context.Context, address string) (map[string]string, error)
	// Send sends an order to its engine and returns the result, at the latest after
	// timeout.
	Send(ctx context.Context, o placement.Order, timeout time.Duration) placement.Result
}

// loadedModels holds the versions of the models that an engine has loaded, by model.
type loadedModels struct {
	models      map[string]string
	readStarted time.Time
}

// modelsRead reports the versions of the models that an engine has loaded, by model.
type modelsRead struct {
	server string
	models map[string]string
	// readStarted is when the read began.
	readStarted time.Time
}

func (e modelsRead) apply(l *Loop, now time.Time) {
	l.placer.loadedModels[e.server] = loadedModels{models: e.models, readStarted: e.readStarted}
	l.coordinator.SetLoadedModels(now, e.server, e.models)
}

// orderDone reports the result of a placement order.
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
	orders := pool.New().WithMaxGoroutines(maxEngineRequests)
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

// modelsInterval returns the time between two reads of the models of one engine, given
// the number of engines to read.
func modelsInterval(engines int) time.Duration {
	return max(minModelsInterval, time.Duration(engines)*modelsIntervalPerEngine)
}

// readModels reads the models of the engines that watchModels set, once in each
// interval, with a random delay before each read.
func (l *Loop) readModels(ctx context.Context) {
	for ctx.Err() == nil {
		reads := pool.New().WithMaxGoroutines(maxEngineRequests)
		servers := *l.placer.servers.Load()
		spacing := modelsInterval(len(servers)) / time.Duration(len(servers)+1)
		for _, server := range servers {
			sleepOrDone(ctx, time.Duration(rand.Int64N(int64(2*spacing))))
			reads.Go(func() { l.readEngineModels(ctx, server) })
		}
		sleepOrDone(ctx, spacing)
		reads.Wait()
	}
}

func (l *Loop) readEngineModels(ctx context.Context, server policy.Server) {
	started := l.now()
	ctx, cancel := context.WithTimeout(ctx, modelsTimeout)
	defer cancel()
	models, err := l.placer.engines.Models(ctx, server.Address)
	if err != nil {
		return
	}
	l.tryPost(modelsRead{server: server.Name, models: models, readStarted: started})
}
