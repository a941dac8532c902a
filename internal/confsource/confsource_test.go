package confsource

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mimosafront/internal/eventlog"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
	"mimosafront/internal/policystore"
	"mimosafront/internal/settings"
)

// service answers the client's calls in memory, so that tests run under a fake
// clock.
type service struct {
	mu       sync.Mutex
	values   map[string][]byte
	versions map[string]int
	changed  chan struct{}
	// fault, if set, answers in place of the service.
	fault func() (*http.Response, error)
	calls []time.Time
}

func newService() *service {
	return &service{values: map[string][]byte{}, versions: map[string]int{}, changed: make(chan struct{})}
}

func (s *service) put(key string, body []byte) {
	s.putVersion(key, body, s.versions[key]+1)
}

func (s *service) putVersion(key string, body []byte, version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[key], s.versions[key] = body, version
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *service) setFault(fault func() (*http.Response, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

func (s *service) publish(p *policy.Policy) {
	b := p.Bundle()
	for digest, text := range b.Sections {
		s.put(KeySection+digest, []byte(text))
	}
	body, _ := json.Marshal(b.Manifest)
	s.put(KeyManifest, body)
}

func (s *service) RoundTrip(r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	s.calls = append(s.calls, time.Now())
	fault := s.fault
	s.mu.Unlock()
	if fault != nil {
		return fault()
	}
	if key, ok := strings.CutPrefix(r.URL.Path, "/v1/values/"); ok {
		return s.answer(key), nil
	}
	key := strings.TrimPrefix(r.URL.Path, "/v1/watch/")
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		version, changed := s.versions[key], s.changed
		s.mu.Unlock()
		if version != 0 && version != after {
			return s.answer(key), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return reply(http.StatusNoContent, nil, 0), nil
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
}

func (s *service) answer(key string) *http.Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versions[key] == 0 {
		return reply(http.StatusNotFound, nil, 0)
	}
	return reply(http.StatusOK, s.values[key], s.versions[key])
}

func reply(status int, body []byte, version int) *http.Response {
	header := http.Header{}
	if version != 0 {
		header.Set("X-Version", strconv.Itoa(version))
	}
	return &http.Response{StatusCode: status, Status: strconv.Itoa(status), Header: header, Body: io.NopCloser(bytes.NewReader(body))}
}

// settle lets time pass and waits until the client has acted on it.
func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// generation returns a small policy of a generation.
func generation(t *testing.T, n int, extra string) *policy.Policy {
	t.Helper()
	p, err := policy.Parse("test", fmt.Appendf(nil, "[policy]\ngeneration = %d\n[tier t]\nrank = 0\n%s", n, extra))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

type fixture struct {
	service *service
	store   *policystore.Store
	client  *Client
	logged  *bytes.Buffer
	lists   []HostList
}

// run starts a client inside a synctest bubble.
func run(t *testing.T, s *service) *fixture {
	f := &fixture{service: s, store: policystore.New(), logged: &bytes.Buffer{}}
	f.client = New(Config{
		Platform: settings.Platform{Address: "192.0.2.1:1", WatchMs: 10_000, TimeoutMs: 2000, ReadsPerSecond: 4},
		Store:    f.store, HTTP: &http.Client{Transport: s},
		OnHosts: func(l HostList) { f.lists = append(f.lists, l) },
		Logger:  eventlog.NewDirect(f.logged),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.client.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

func (f *fixture) inForce() int { return f.store.Manifest().Generation }

func TestPolicyAndHostsAreFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		s.publish(generation(t, 1, ""))
		f := run(t, s)
		settle(time.Second)
		if f.inForce() != 1 {
			t.Fatalf("generation %d in force, want 1", f.inForce())
		}
		s.publish(generation(t, 2, "[zone a]\n"))
		s.put(KeyHosts, []byte(`{"version":3,"hosts":[{"name":"e1","zone":"a","address":"127.0.0.1:1","kind":"entry","state":"leaving"}]}`))
		settle(time.Second)
		if f.inForce() != 2 || len(f.lists) != 1 || f.lists[0].Hosts[0].State != HostStateLeaving {
			t.Errorf("generation %d, lists %+v", f.inForce(), f.lists)
		}
		before := f.client.Reads()
		settle(time.Minute)
		if calls := f.client.Reads() - before; calls > 14 {
			t.Errorf("%d calls in an idle minute, want two watches each 10 s", calls)
		}
	})
}

func TestServiceThatGoesBackRevertsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		s.publish(generation(t, 5, ""))
		s.put(KeyHosts, []byte(`{"version":7,"hosts":[]}`))
		f := run(t, s)
		settle(time.Second)
		old := generation(t, 4, "").Bundle()
		body, _ := json.Marshal(old.Manifest)
		s.putVersion(KeyManifest, body, 1)
		s.putVersion(KeyHosts, []byte(`{"version":6,"hosts":[]}`), 1)
		settle(time.Minute)
		if f.inForce() != 5 || len(f.lists) != 1 {
			t.Errorf("generation %d, %d lists", f.inForce(), len(f.lists))
		}
		s.publish(generation(t, 6, ""))
		settle(time.Second)
		if f.inForce() != 6 {
			t.Errorf("generation %d after the service recovered, want 6", f.inForce())
		}
	})
}

func TestHostStartedWhileTheServiceIsStaleTakesThePeersPolicy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		s.publish(generation(t, 4, ""))
		f := run(t, s)
		if err := f.store.Offer(generation(t, 9, ""), "peer"); err != nil {
			t.Fatal(err)
		}
		settle(time.Minute)
		if f.inForce() != 9 {
			t.Errorf("generation %d in force, want 9", f.inForce())
		}
	})
}

// TestFaultsChangeNothingAndCostFewCalls breaks the service for ten minutes in
// each way, then repairs it.
func TestFaultsChangeNothingAndCostFewCalls(t *testing.T) {
	faults := map[string]func() (*http.Response, error){
		"down":      func() (*http.Response, error) { return nil, errors.New("connection refused") },
		"garbage":   func() (*http.Response, error) { return reply(200, []byte("<html>"), 9), nil },
		"no number": func() (*http.Response, error) { return reply(200, []byte("{}"), 0), nil },
		"oversized": func() (*http.Response, error) { return reply(200, make([]byte, maxValueBytes+1), 9), nil },
		"empty":     func() (*http.Response, error) { return reply(200, []byte("{}"), 9), nil },
		"error":     func() (*http.Response, error) { return reply(500, nil, 0), nil },
		"no wait":   func() (*http.Response, error) { return reply(200, []byte(`{"version":1,"hosts":[]}`), 1), nil },
		"busy": func() (*http.Response, error) {
			busy := reply(429, nil, 0)
			busy.Header.Set("Retry-After", "20")
			return busy, nil
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newService()
				s.publish(generation(t, 1, ""))
				f := run(t, s)
				settle(time.Second)
				s.setFault(fault)
				s.publish(generation(t, 2, ""))
				before := f.client.Reads()
				settle(10 * time.Minute)
				if f.inForce() != 1 {
					t.Errorf("generation %d in force, want 1", f.inForce())
				}
				if calls := f.client.Reads() - before; calls > 200 {
					t.Errorf("%d calls in ten minutes of the fault", calls)
				}
				s.setFault(nil)
				settle(time.Minute)
				if f.inForce() != 2 {
					t.Errorf("generation %d after the repair, want 2; log:\n%s", f.inForce(), f.logged)
				}
			})
		})
	}
}

func TestReadsStayWithinTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		f := run(t, s)
		for i := range 600 {
			s.publish(generation(t, i+1, fmt.Sprintf("[zone z%d]\n", i)))
			settle(100 * time.Millisecond)
		}
		if limit := readBurst + 4*60 + 2; f.client.Reads() > limit {
			t.Errorf("%d reads in a minute, want at most %d", f.client.Reads(), limit)
		}
		settle(time.Minute)
		if f.inForce() != 600 {
			t.Errorf("generation %d in force, want 600", f.inForce())
		}
	})
}

func TestBadPolicyIsRefusedOnceAndNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		s.publish(generation(t, 1, ""))
		f := run(t, s)
		settle(time.Second)
		bad := message.PolicyManifest{Generation: 2}
		for name, text := range map[string]string{"policy": "[policy]\ngeneration = 2\n", "tier": "[tier t]\nrank = many\n"} {
			s.put(KeySection+policy.SectionDigest(text), []byte(text))
			bad.Sections = append(bad.Sections, message.PolicySectionRef{Name: name, Digest: policy.SectionDigest(text)})
		}
		bad.Digest = policy.ManifestDigest(bad)
		body, _ := json.Marshal(bad)
		s.put(KeyManifest, body)
		settle(time.Minute)
		if f.inForce() != 1 || strings.Count(f.logged.String(), `section tier:2: rank = \"many\" is not a whole number`) != 1 {
			t.Errorf("generation %d, log:\n%s", f.inForce(), f.logged)
		}
	})
}

// TestMostHostsReadNothingOfAChange lets peers pass a policy on within a second
// of the first host's having it.
func TestMostHostsReadNothingOfAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, spread = 40, 4 * time.Second
		s := newService()
		first, second := generation(t, 1, ""), generation(t, 2, "[zone a]\n")
		s.publish(first)
		var fleet []*fixture
		for range hosts {
			fleet = append(fleet, run(t, s))
		}
		settle(time.Second)
		before := 0
		for _, f := range fleet {
			f.client.config.Spread = spread
			before += f.client.Reads()
		}
		for _, f := range fleet {
			f.store.Subscribe(func(p *policy.Policy) {
				if p.Generation != 2 || f.store.Source() != source {
					return
				}
				time.AfterFunc(time.Second, func() {
					for _, other := range fleet {
						_ = other.store.Offer(second, "peer")
					}
				})
			})
		}
		s.publish(second)
		settle(spread + time.Second)
		after, late := 0, 0
		for _, f := range fleet {
			after += f.client.Reads()
			if f.inForce() != 2 {
				late++
			}
		}
		// Each host begins its next watch; a fetch costs one read for each of
		// the two changed sections. A quarter of the hosts is expected to fetch;
		// three quarters are out of the reach of chance.
		if sections := after - before - hosts; late > 0 || sections > 2*hosts*3/4 {
			t.Errorf("%d hosts are late, %d sections read by %d hosts", late, sections, hosts)
		}
	})
}

func TestSectionThatArrivesAfterItsManifest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		p := generation(t, 1, "").Bundle()
		body, _ := json.Marshal(p.Manifest)
		s.put(KeyManifest, body)
		f := run(t, s)
		settle(time.Second)
		for digest, text := range p.Sections {
			s.put(KeySection+digest, []byte(text))
		}
		settle(5 * time.Second)
		if f.inForce() != 1 {
			t.Errorf("generation %d in force, want 1; log:\n%s", f.inForce(), f.logged)
		}
	})
}

// TestOutageIsLoggedOnce checks that a configuration service that is away for long
// leaves one line at its loss and one at its return, for each key.
func TestOutageIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		lost := &outage{key: "hosts", logger: eventlog.NewDirect(&log)}
		lost.success()
		for range 5 {
			lost.failure(errors.New("connection refused"), time.Second)
			time.Sleep(time.Second)
		}
		lost.success()
		lost.success()
		text := log.String()
		if strings.Count(text, "\n") != 2 || !strings.Contains(text, `msg="configuration service lost" key=hosts`) {
			t.Errorf("log:\n%s", text)
		}
		if !strings.Contains(text, `msg="configuration service back" key=hosts failed_calls=5 lost_for_ms=5000`) {
			t.Errorf("log:\n%s", text)
		}
	})
}
