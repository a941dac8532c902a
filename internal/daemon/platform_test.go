package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"mimosafront/internal/discovery"
	"mimosafront/internal/eventlog"
	"mimosafront/internal/policy"
	"mimosafront/internal/settings"
)

// absentStore is a store that answers once back is closed.
type absentStore struct{ back chan struct{} }

var errAway = errors.New("the store is away")

func (s *absentStore) List(context.Context) (discovery.Snapshot, error) {
	select {
	case <-s.back:
		return discovery.Snapshot{Revision: 1, Evacuated: []string{"a"}}, nil
	default:
		return discovery.Snapshot{}, errAway
	}
}

func (s *absentStore) Watch(ctx context.Context, after int64, wait, _ time.Duration) (discovery.Update, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return discovery.Update{Revision: after}, nil
}

// Guards against hosts that start without the store, get the policy from other hosts, say
// that they are ready and refuse every request, and against hosts that are ready before they
// know which zones are evacuated.
func TestHostWithoutServersIsNotReady(t *testing.T) {
	store := &absentStore{back: make(chan struct{})}
	s, err := settings.Parse("settings.ini", []byte(`
[node]
name = e1
zone = a
[peer]
insecure = true
listen = 127.0.0.1:0
[platform]
protocol = store
address = 127.0.0.1:1
zones = a:north
[front]
listen = 127.0.0.1:0
admin_listen = 127.0.0.1:0
`))
	if err != nil {
		t.Fatal(err)
	}
	d := New(Config{Settings: s, Logger: eventlog.Discard(), Adapter: &Adapter{
		Source: func(settings.Platform, *eventlog.Logger) discovery.Source { return store },
	}})
	if err := d.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = d.Stop(context.Background()) }()
	p, err := policy.Parse("policy", fmt.Appendf(nil, policyText, 1, "127.0.0.1:1"))
	if err != nil {
		t.Fatal(err)
	}
	if err := d.policies.Offer(p, "peer e2"); err != nil {
		t.Fatal(err)
	}
	ready := "http://" + d.AdminAddress() + "/readyz"
	if status, _ := get(t, ready); status != http.StatusServiceUnavailable {
		t.Errorf("readyz before the store was read: status %d", status)
	}
	close(store.back)
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if status, _ := get(t, ready); status == http.StatusOK {
			if !d.evacuations.Has("a") {
				t.Error("the host is ready and doesn't know that its zone is evacuated")
			}
			return
		}
		if time.Now().After(end) {
			t.Fatal("the host knows policy and servers but is not ready")
		}
	}
}
