package control

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mimosafront/internal/placement"
)

const placedPolicy = `
[policy]
generation = 3
weight_loads_per_minute = 60
[zone a]
[tier brief]
rank = 0
[organisation north]
[caller n1]
organisation = north
key_sha256 = 19551d6cc32c653eecb67ce2a39d7b3f442dad14f60165fc8efb69977f7964c8
[model m]
replicas = 2
[server e1]
zone = a
models = m
address = 127.0.0.1:1
checks_fencing = true
[server e2]
zone = a
models = m
address = 127.0.0.1:2
[server e3]
zone = a
models = m
address = 127.0.0.1:3
checks_fencing = true
`

// fakeEngines holds the loaded models of engines by address.
type fakeEngines struct {
	mu     sync.Mutex
	loaded map[string]map[string]string
	down   map[string]bool
	orders []placement.Order
}

func (f *fakeEngines) Models(_ context.Context, address string) (map[string]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[address] {
		return nil, errors.New("connection refused")
	}
	return maps.Clone(f.loaded[address]), nil
}

func (f *fakeEngines) Send(_ context.Context, o placement.Order, _ time.Duration) placement.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, o)
	if f.loaded[o.Address] == nil {
		f.loaded[o.Address] = map[string]string{}
	}
	delete(f.loaded[o.Address], o.Model)
	if o.Action == placement.ActionLoad {
		f.loaded[o.Address][o.Model] = o.Version
	}
	return placement.ResultDone
}

// withModel returns the sorted addresses of the live engines that have loaded a model.
func (f *fakeEngines) withModel(model string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for address, models := range f.loaded {
		if _, ok := models[model]; ok && !f.down[address] {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

func TestModelsArePlacedAndMoveFromADeadEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{loaded: map[string]map[string]string{}, down: map[string]bool{}}
		loop := startLoopWith(t, placedPolicy, engines)
		time.Sleep(time.Minute)
		first := engines.withModel("m")
		if len(first) != 2 {
			t.Fatalf("the model is loaded on %v after a minute, want two engines", first)
		}
		lease, err := loop.Acquire(t.Context(), testRequest("r1"))
		if err != nil {
			t.Fatal(err)
		}
		if !slices.Contains(first, lease.Server().Address) {
			t.Errorf("granted on %s, which lacks the model", lease.Server().Address)
		}
		engines.mu.Lock()
		engines.down[first[0]] = true
		engines.mu.Unlock()
		time.Sleep(5 * time.Second)
		if n := len(engines.withModel("m")); n != 1 {
			t.Errorf("a short absence moved the model: %d engines have it, want one", n)
		}
		time.Sleep(time.Minute)
		if after := engines.withModel("m"); len(after) != 2 {
			t.Errorf("the model is loaded on %v a minute after an engine died, want two engines", after)
		}
	})
}

func TestNoGrantOnEngineWithoutTheModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{loaded: map[string]map[string]string{}, down: map[string]bool{}}
		loop := startLoopWith(t, placedPolicy, engines)
		time.Sleep(time.Minute)
		loaded := engines.withModel("m")
		if len(loaded) != 2 {
			t.Fatalf("the model is loaded on %v, want two of three engines", loaded)
		}
		for _, id := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8"} {
			lease, err := loop.Acquire(t.Context(), testRequest(id))
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Contains(loaded, lease.Server().Address) {
				t.Errorf("%s granted on %s, which lacks the model", id, lease.Server().Name)
			}
		}
	})
}
