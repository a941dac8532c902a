package coordinator

import (
	"os"
	"strings"
	"testing"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

// placedState returns a state whose policy places the model of the pool on all of its
// servers, with the given extra settings.
func placedState(t *testing.T, keys string) (*State, []policy.Server) {
	t.Helper()
	text, err := os.ReadFile("../../examples/consortium.policy.ini")
	if err != nil {
		t.Fatal(err)
	}
	placed := strings.Replace(string(text), "[model "+pool.Target+"]", "[model "+pool.Target+"]\nreplicas = 2\n"+keys, 1)
	p, err := policy.Parse("consortium", []byte(placed))
	if err != nil {
		t.Fatal(err)
	}
	s := newState(t, "e1", pool.Zone)
	s.SetPolicy(start, p)
	return s, p.PoolServers(pool)
}

func TestOnlyAcceptedVersionsGetWork(t *testing.T) {
	s, servers := placedState(t, "version = v2\naccepts = v1")
	for i, server := range servers {
		s.SetLoadedModels(start, server.Name, map[string]string{pool.Target: []string{"v0", "v1"}[min(i, 1)]})
	}
	for _, id := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8"} {
		if g := send(s, start, "e2", ask(id)).Grant; g == nil || g.Server == servers[0].Name {
			t.Errorf("%s: %+v, want a grant on another server than %s", id, g, servers[0].Name)
		}
	}
}

func TestDrainedServersAreIdleAndGetNoWork(t *testing.T) {
	s, servers := placedState(t, "version = v2")
	s.Tick(start.Add(time.Minute))
	g := send(s, start, "e2", ask("r1")).Grant
	busy := message.ServerModel{Server: g.Server, Model: pool.Target}
	s.SetDraining(start, map[message.ServerModel]bool{busy: true, {Server: g.Server, Model: "other"}: true})
	if drained := s.Drained(); len(drained) != 0 {
		t.Errorf("%v are reported as drained while a request runs", drained)
	}
	for _, id := range []string{"r2", "r3", "r4", "r5"} {
		if other := send(s, start, "e2", ask(id)).Grant; len(servers) < 2 || other == nil || other.Server == g.Server {
			t.Errorf("%s: %+v, want a grant on another server than %s", id, other, g.Server)
		}
	}
	release(s, start, "e2", g, message.ReleaseOutcomeFinished)
	if drained := s.Drained(); len(drained) != 1 || drained[0] != busy {
		t.Errorf("%v are reported as drained after the request ended, want %v", drained, busy)
	}
}

// A new coordinator must not report a server as drained before it has the grants of its
// predecessor on record.
func TestRebuildingPoolReportsNoDrainedServers(t *testing.T) {
	s, servers := placedState(t, "version = v2")
	s.pools[pool].rebuilding = true
	s.SetDraining(start, map[message.ServerModel]bool{{Server: servers[0].Name, Model: pool.Target}: true})
	if drained := s.Drained(); len(drained) != 0 {
		t.Errorf("%v are reported as drained", drained)
	}
}
