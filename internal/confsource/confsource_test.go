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

// fakeService is an in-memory http.RoundTripper that implements the configuration
// service, so that tests can run under a fake clock.
type fakeService struct {
	mu       sync.Mutex
	values   map[string][]byte
	versions map[string]int
	changed  chan struct{}
	// fault, if set, replaces every response.
	fault func() (*http.Response, error)
	calls []time.Time
}

func newFakeService() *fakeService {
	return &fakeService{values: map[string][]byte{}, versions: map[string]int{}, changed: make(chan struct{})}
}

func (s *fakeService) put(key string, body []byte) {
	s.putVersion(key, body, s.versions[key]+1)
}

func (s *fakeService) putVersion(key string, body []byte, version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[key], s.versions[key] = body, version
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeService) setFault(fault func() (*http.Response, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

func (s *fakeService) publish(p *policy.Policy) {
	b := p.Bundle()
	for digest, text := range b.Sections {
		s.put(KeySectionPrefix+digest, []byte(text))
	}
	body, _ := json.Marshal(b.Manifest)
	s.put(KeyManifest, body)
}

func (s *fakeService) RoundTrip(r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	s.calls = append(s.calls, time.Now())
	fault := s.fault
	s.mu.Unlock()
	if fault != nil {
		return fault()
	}
	if key, ok := strings.CutPrefix(r.URL.Path, "/v1/values/"); ok {
		return s.read(key), nil
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
			return s.read(key), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return newResponse(http.StatusNoContent, nil, 0), nil
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
}

func (s *fakeService) read(key string) *http.Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versions[key] == 0 {
		return newResponse(http.StatusNotFound, nil, 0)
	}
	return newResponse(http.StatusOK, s.values[key], s.versions[key])
}

func newResponse(status int, body []byte, version int) *http.Response {
	header := http.Header{}
	if version != 0 {
		header.Set("X-Version", strconv.Itoa(version))
	}
	return &http.Response{StatusCode: status, Status: strconv.Itoa(status), Header: header, Body: io.NopCloser(bytes.NewReader(body))}
}

// advance moves the fake clock forward and waits until the client is idle.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// newPolicy returns a small policy of generation n; extra is appended to its text.
func newPolicy(t *testing.T, n int, extra string) *policy.Policy {
	t.Helper()
	p, err := policy.Parse("test", fmt.Appendf(nil, "[policy]\ngeneration = %d\n[tier t]\nrank = 0\n%s", n, extra))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

type fixture struct {
	service   *fakeService
	store     *policystore.Store
	client    *Client
	logged    *bytes.Buffer
	hostLists []HostList
}

// startClient runs a client in the current synctest bubble until the test ends.
func startClient(t *testing.T, s *fakeService) *fixture {
	f := &fixture{service: s, store: policystore.New(), logged: &bytes.Buffer{}}
	f.client = New(Config{
		Platform: settings.Platform{Address: "192.0.2.1:1", WatchMs: 10_000, TimeoutMs: 2000, ReadsPerSecond: 4},
		Store:    f.store, HTTP: &http.Client{Transport: s},
		OnHosts: func(l HostList) { f.hostLists = append(f.hostLists, l) },
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

func (f *fixture) generation() int { return f.store.Manifest().Generation }

func TestPolicyAndHostsAreFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeService()
		s.publish(newPolicy(t, 1, ""))
		f := startClient(t, s)
		advance(time.Second)
		if f.generation() != 1 {
			t.Fatalf("generation %d in force, want 1", f.generation())
		}
		s.publish(newPolicy(t, 2, "[zone a]\n"))
		s.put(KeyHosts, []byte(`{"version":3,"hosts":[{"name":"e1","zone":"a","address":"127.0.0.1:1","kind":"entry","state":"leaving"}]}`))
		advance(time.Second)
		if f.generation() != 2 || len(f.hostLists) != 1 || f.hostLists[0].Hosts[0].State != HostStateLeaving {
			t.Errorf("generation %d, host lists %+v; want generation 2 and one list with a leaving host", f.generation(), f.hostLists)
		}
		before := f.client.Reads()
		advance(time.Minute)
		if calls := f.client.Reads() - before; calls > 14 {
			t.Errorf("%d calls in an idle minute, want two watches every 10 s", calls)
		}
	})
}

func TestOlderVersionsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeService()
		s.publish(newPolicy(t, 5, ""))
		s.put(KeyHosts, []byte(`{"version":7,"hosts":[]}`))
		f := startClient(t, s)
		advance(time.Second)
		old := newPolicy(t, 4, "").Bundle()
		body, _ := json.Marshal(old.Manifest)
		s.putVersion(KeyManifest, body, 1)
		s.putVersion(KeyHosts, []byte(`{"version":6,"hosts":[]}`), 1)
		advance(time.Minute)
		if f.generation() != 5 || len(f.hostLists) != 1 {
			t.Errorf("generation %d, %d host lists; want generation 5 and one list", f.generation(), len(f.hostLists))
		}
		s.publish(newPolicy(t, 6, ""))
		advance(time.Second)
		if f.generation() != 6 {
			t.Errorf("generation %d after the service recovered, want 6", f.generation())
		}
	})
}

func TestPeerPolicyIsKeptWhileServiceIsStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeService()
		s.publish(newPolicy(t, 4, ""))
		f := startClient(t, s)
		if err := f.store.Offer(newPolicy(t, 9, ""), "peer"); err != nil {
			t.Fatal(err)
		}
		advance(time.Minute)
		if f.generation() != 9 {
			t.Errorf("generation %d in force, want 9", f.generation())
		}
	})
}

// TestServiceFaultsKeepPolicyAndLimitCalls keeps each fault up for ten minutes and
// checks that the policy stays in force, that retries are limited by backoff, and that
// the client picks up the new policy after the fault.
func TestServiceFaultsKeepPolicyAndLimitCalls(t *testing.T) {
	faults := map[string]func() (*http.Response, error){
		"down":                  func() (*http.Response, error) { return nil, errors.New("connection refused") },
		"not JSON":              func() (*http.Response, error) { return newResponse(200, []byte("<html>"), 9), nil },
		"no version":            func() (*http.Response, error) { return newResponse(200, []byte("{}"), 0), nil },
		"oversized":             func() (*http.Response, error) { return newResponse(200, make([]byte, maxValueBytes+1), 9), nil },
		"empty":                 func() (*http.Response, error) { return newResponse(200, []byte("{}"), 9), nil },
		"error":                 func() (*http.Response, error) { return newResponse(500, nil, 0), nil },
		"watch returns at once": func() (*http.Response, error) { return newResponse(200, []byte(`{"version":1,"hosts":[]}`), 1), nil },
		"busy": func() (*http.Response, error) {
			busy := newResponse(429, nil, 0)
			busy.Header.Set("Retry-After", "20")
			return busy, nil
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeService()
				s.publish(newPolicy(t, 1, ""))
				f := startClient(t, s)
				advance(time.Second)
				s.setFault(fault)
				s.publish(newPolicy(t, 2, ""))
				before := f.client.Reads()
				advance(10 * time.Minute)
				if f.generation() != 1 {
					t.Errorf("generation %d in force, want 1", f.generation())
				}
				if calls := f.client.Reads() - before; calls > 200 {
					t.Errorf("%d calls in ten minutes of the fault, want at most 200", calls)
				}
				s.setFault(nil)
				advance(time.Minute)
				if f.generation() != 2 {
					t.Errorf("generation %d after the fault, want 2; log:\n%s", f.generation(), f.logged)
				}
			})
		})
	}
}

func TestReadRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeService()
		f := startClient(t, s)
		for i := range 600 {
			s.publish(newPolicy(t, i+1, fmt.Sprintf("[zone z%d]\n", i)))
			advance(100 * time.Millisecond)
		}
		if limit := readBurst + 4*60 + 2; f.client.Reads() > limit {
			t.Errorf("%d reads in a minute, want at most %d", f.client.Reads(), limit)
		}
		advance(time.Minute)
		if f.generation() != 600 {
			t.Errorf("generation %d in force, want 600", f.generation())
		}
	})
}

func TestInvalidPolicyIsLoggedOnceWithReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeService()
		s.publish(newPolicy(t, 1, ""))
		f := startClient(t, s)
		advance(time.Second)
		bad := message.PolicyManifest{Generation: 2}
		for name, text := range map[string]string{"policy": "[policy]\ngeneration = 2\n", "tier": "[tier t]\nrank = many\n"} {
			s.put(KeySectionPrefix+policy.SectionDigest(text), []byte(text))
			bad.Sections = append(bad.Sections, message.PolicySectionRef{Name: name, Digest: policy.SectionDigest(text)})
		}
		bad.Digest = policy.ManifestDigest(bad)
		body, _ := json.Marshal(bad)
		s.put(KeyManifest, body)
		advance(time.Minute)
		if f.generation() != 1 || strings.Count(f.logged.String(), `section tier:2: rank = \"many\" is not a whole number`) != 1 {
			t.Errorf("generation %d, want 1 and one logged reason; log:\n%s", f.generation(), f.logged)
		}
	})
}

// TestMostHostsReadNothingOfAChange checks that MaxFetchDelay reduces reads: a host
// that fetches a policy passes it to all peers within a second, and hosts with a
// longer random delay then fetch nothing.
func TestMostHostsReadNothingOfAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, fetchDelay = 40, 4 * time.Second
		s := newFakeService()
		first, second := newPolicy(t, 1, ""), newPolicy(t, 2, "[zone a]\n")
		s.publish(first)
		var fleet []*fixture
		for range hosts {
			fleet = append(fleet, startClient(t, s))
		}
		advance(time.Second)
		before := 0
		for _, f := range fleet {
			f.client.config.MaxFetchDelay = fetchDelay
			before += f.client.Reads()
		}
		for _, f := range fleet {
			f.store.Subscribe(func(p *policy.Policy) {
				if p.Generation != 2 || f.store.Source() != sourceName {
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
		advance(fetchDelay + time.Second)
		after, outdated := 0, 0
		for _, f := range fleet {
			after += f.client.Reads()
			if f.generation() != 2 {
				outdated++
			}
		}
		// Each host starts one watch, and a fetch costs one read for each of the
		// two changed sections. A quarter of the hosts is expected to fetch; three
		// quarters are practically impossible by chance.
		if sections := after - before - hosts; outdated > 0 || sections > 2*hosts*3/4 {
			t.Errorf("%d hosts without the new policy, %d sections read by %d hosts", outdated, sections, hosts)
		}
	})
}

func TestSectionThatArrivesAfterItsManifest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeService()
		p := newPolicy(t, 1, "").Bundle()
		body, _ := json.Marshal(p.Manifest)
		s.put(KeyManifest, body)
		f := startClient(t, s)
		advance(time.Second)
		for digest, text := range p.Sections {
			s.put(KeySectionPrefix+digest, []byte(text))
		}
		advance(5 * time.Second)
		if f.generation() != 1 {
			t.Errorf("generation %d in force, want 1; log:\n%s", f.generation(), f.logged)
		}
	})
}

// TestOutageIsLoggedOnce checks that a long outage of the service is logged in two
// lines for each key: one at its start and one at its end.
func TestOutageIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		keyOutage := &outage{key: "hosts", logger: eventlog.NewDirect(&log)}
		keyOutage.recordSuccess()
		for range 5 {
			keyOutage.recordFailure(errors.New("connection refused"), time.Second)
			time.Sleep(time.Second)
		}
		keyOutage.recordSuccess()
		keyOutage.recordSuccess()
		text := log.String()
		if strings.Count(text, "\n") != 2 || !strings.Contains(text, `msg="configuration service lost" key=hosts`) {
			t.Errorf("log:\n%s", text)
		}
		if !strings.Contains(text, `msg="configuration service back" key=hosts failed_calls=5 lost_for_ms=5000`) {
			t.Errorf("log:\n%s", text)
		}
	})
}
