package front

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/inifile"
	"mimosafront/internal/memnet"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
	"mimosafront/internal/settings"
	"mimosafront/internal/status"
	"mimosafront/internal/verdict"
)

var testHeaders = RouteHeaders{
	RequestID: "X-Id", Deadline: "X-Deadline", Key: "X-Key", Organisation: "X-Organisation", Server: "X-Server",
	NotRun: "X-Not-Run", Leaving: "X-Leaving", Limit: "X-Limit", Tokens: "X-Tokens", OutputHint: "X-Hint", LastEvent: "X-Last-Event", Prefix: "X-Parts", Withheld: []string{"X-Pin"},
}

const routeSections = `
[zone b]
[model narrator]
event_tokens = 4
[service registry]
[route stories]
host = coins.example
prefix = /stories/
targets = narrator
streaming = true
resumable = true
max_attempts = 2
timeout_ms = 5000
[route drafts]
host = coins.example
prefix = /drafts/
targets = narrator
streaming = true
timeout_ms = 5000
[route lookups]
host = coins.example
prefix = /lookups/
targets = registry
repeatable = true
max_attempts = 2
timeout_ms = 1000
[route orders]
host = coins.example
prefix = /orders/
targets = registry
timeout_ms = 10000
[route briefs]
host = coins.example
prefix = /briefs/
targets = narrator
streaming = true
timeout_ms = 10000
[route handovers]
host = coins.example
prefix = /handovers/
targets = registry
timeout_ms = 1000
`

// routeServer is a backend server of routes that records its requests; its answers are
// given by a test.
type routeServer struct {
	mu       sync.Mutex
	arrivals []*http.Request
	bodies   []string
}

func (s *routeServer) requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals
}

// startRouteServer starts a routeServer that answers each request with the given
// handler.
func startRouteServer(t testing.TB, n network, answer http.HandlerFunc) (*routeServer, string) {
	t.Helper()
	s := &routeServer{}
	listener := listen(t, n)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		s.arrivals, s.bodies = append(s.arrivals, r), append(s.bodies, string(body))
		s.mu.Unlock()
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		answer(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s, listener.Addr().String()
}

// startRoutes starts a front with routes. Each address serves both targets.
func startRoutes(t testing.TB, n network, addresses ...string) *host {
	t.Helper()
	return startRoutesWith(t, n, func(*settings.Front) {}, addresses...)
}

// startRoutesWith starts a front with routes and changed settings.
func startRoutesWith(t testing.TB, n network, change func(*settings.Front), addresses ...string) *host {
	t.Helper()
	text := ""
	for i, address := range addresses {
		text += routeServers(i+1, "a", address)
	}
	return startRoutesOn(t, n, change, text)
}

// routeServers returns the sections of a policy for a server of both targets.
func routeServers(number int, zone, address string) string {
	return fmt.Sprintf("[server n%d]\nzone = %s\naddress = %s\nkind = engine\nmodels = narrator\n", number, zone, address) +
		fmt.Sprintf("[server r%d]\nzone = %s\naddress = %s\nkind = service\nservices = registry\n", number, zone, address)
}

// startRoutesOn starts a front with routes to servers that are sections of a policy.
func startRoutesOn(t testing.TB, n network, change func(*settings.Front), servers string) *host {
	t.Helper()
	text := fmt.Sprintf(policyFormat, hash(testKey), hash("volunteer")) + routeSections + servers
	p, err := policy.Parse("routes.policy.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	s := testSettings()
	// Silent exchanges are ended by the timeouts of the routes.
	s.StreamIdleTimeoutMs = 60_000
	s.MaxBodyBytes = 512 << 10 // above what the network buffers
	change(&s)
	return startRoutedHost(t, n, p, s, &testHeaders)
}

// call sends a request on a route and returns the answer and its body. If the answer
// breaks off, it returns the body so far and an error.
func (h *host) call(t *testing.T, method, path, body string, headers ...string) (*http.Response, string, error) {
	t.Helper()
	conn := h.dial(t)
	defer conn.Close()
	head := append([]string{method + " " + path + " HTTP/1.1", "Host: coins.example", "X-Key: " + testKey,
		"Connection: close", fmt.Sprintf("Content-Length: %d", len(body))}, headers...)
	if !slices.ContainsFunc(headers, func(line string) bool { return strings.HasPrefix(line, "X-Id:") }) {
		head = append(head, "X-Id: id-1")
	}
	if _, err := io.WriteString(conn, strings.Join(head, "\r\n")+"\r\n\r\n"+body); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	answer, err := io.ReadAll(response.Body)
	return response, string(answer), err
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: part %d\n\n", id, id) }

// writeEvents sends the events with the IDs from first to last.
func writeEvents(w http.ResponseWriter, first, last int) {
	for id := first; id <= last; id++ {
		_, _ = io.WriteString(w, event(id))
		_ = http.NewResponseController(w).Flush()
	}
}

func events(first, last int) string {
	var all strings.Builder
	for id := first; id <= last; id++ {
		all.WriteString(event(id))
	}
	return all.String()
}

// TestRoutePassesStreamAndSetsHeaders checks the forwarded request and stream, that
// callers cannot forge or pass on internal headers, and the work that is asked for.
func TestRoutePassesStreamAndSetsHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		server, address := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 3) })
		h := startRoutes(t, n, address)
		response, body, err := h.call(t, "POST", "/stories/7?a=%2F", "a coin", "X-Pin: 5", "X-Organisation: forged",
			"X-Tokens: 300,1200", "X-Hint: 40", "X-Deadline: 4000")
		if err != nil || response.StatusCode != 200 || body != events(1, 3) {
			t.Fatalf("got %v, %q, %v", response, body, err)
		}
		got := server.requests()[0]
		if got.RequestURI != "/stories/7?a=%2F" || got.Host != "coins.example" || server.bodies[0] != "a coin" {
			t.Errorf("server got %s %s %q", got.Host, got.RequestURI, server.bodies[0])
		}
		for name, want := range map[string]string{
			"X-Key": "", "X-Pin": "", "X-Organisation": "engravers", "X-Server": "n1", "X-Id": "id-1", "X-Deadline": "4000",
		} {
			if value := got.Header.Get(name); value != want {
				t.Errorf("server got %s %q, want %q", name, value, want)
			}
		}
		asked := h.scheduler.requests[0]
		if asked.PromptTokens != 300 || asked.OutputTokens != 40 || asked.Claim != 1500 {
			t.Errorf("asked for %+v", asked)
		}
	})
}

// TestResumableStreamResumesElsewhere checks that a resumable stream which breaks off
// within an event is resumed on another server after the last whole event.
func TestResumableStreamResumesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		_, first := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) {
			writeEvents(w, 1, 2)
			_, _ = io.WriteString(w, "id: 3\nda")
			panic(http.ErrAbortHandler)
		})
		second, address := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 3, 5) })
		h := startRoutes(t, n, first, address)
		_, body, err := h.call(t, "POST", "/stories/7", "")
		if err != nil || body != events(1, 5) {
			t.Fatalf("got %q, %v", body, err)
		}
		if got := second.requests()[0].Header.Get("X-Last-Event"); got != "2" {
			t.Errorf("the second server was asked to resume after the event %q, want 2", got)
		}
	})
}

// TestStreamThatRunsOnceIsNotSentAgain checks that a broken stream of a route that may
// run only once ends as a broken answer and is not sent to a second server.
func TestStreamThatRunsOnceIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		_, first := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) {
			writeEvents(w, 1, 2)
			panic(http.ErrAbortHandler)
		})
		second, address := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 3, 5) })
		h := startRoutes(t, n, first, address)
		_, body, err := h.call(t, "POST", "/drafts/7", "")
		if err == nil || body != events(1, 2) {
			t.Fatalf("got %q, %v: want the first two events and a broken answer", body, err)
		}
		if len(second.requests()) > 0 {
			t.Error("the request was sent to a second server")
		}
	})
}

// TestStreamWithMissingEventIsAborted checks that the answer is broken off at a gap in
// the event IDs.
func TestStreamWithMissingEventIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		_, address := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) {
			writeEvents(w, 1, 2)
			writeEvents(w, 4, 4)
		})
		h := startRoutes(t, n, address)
		if _, body, err := h.call(t, "POST", "/drafts/7", ""); err == nil || body != events(1, 2) {
			t.Fatalf("got %q, %v", body, err)
		}
	})
}

// TestNotRunRequestIsSentElsewhere checks that a request that a server marked as not
// run is sent to another server, even if it may run only once.
func TestNotRunRequestIsSentElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		_, first := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		second, address := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "recorded") })
		h := startRoutes(t, n, first, address)
		response, body, err := h.call(t, "POST", "/handovers/7", "coin 7")
		if err != nil || response.StatusCode != 200 || body != "recorded" || len(second.requests()) != 1 {
			t.Fatalf("got %v, %q, %v", response, body, err)
		}
		if outcome := h.scheduler.lease(0).outcome(); outcome != message.ReleaseOutcomeRejected {
			t.Errorf("the first lease ended with the outcome %s", outcome)
		}
	})
}

// TestServerErrorIsRetriedIfRepeatable checks that a request with an error status of
// 500 is sent to another server only if its route allows it.
func TestServerErrorIsRetriedIfRepeatable(t *testing.T) {
	for _, c := range []struct {
		path, body string
		status     int
		arrivals   int
	}{
		{path: "/lookups/7", body: "found", status: 200, arrivals: 1},
		{path: "/handovers/7", body: "failed", status: 500, arrivals: 0},
	} {
		t.Run(c.path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.New()
				_, first := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) {
					w.WriteHeader(http.StatusInternalServerError)
					_, _ = io.WriteString(w, "failed")
				})
				second, address := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "found") })
				h := startRoutes(t, n, first, address)
				response, body, err := h.call(t, "GET", c.path, "")
				if err != nil || response.StatusCode != c.status || body != c.body || len(second.requests()) != c.arrivals {
					t.Fatalf("got %v, %q, %v; %d arrivals at the second server", response, body, err, len(second.requests()))
				}
			})
		})
	}
}

// TestBrokenCallReturnsBadGateway checks that a call whose connection broke is answered
// with 502, which does not guarantee that it has not run.
func TestBrokenCallReturnsBadGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		first, address := startRouteServer(t, n, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		h := startRoutes(t, n, address)
		response, _, err := h.call(t, "POST", "/handovers/7", "coin 7")
		if err != nil || response.StatusCode != http.StatusBadGateway || len(first.requests()) != 1 {
			t.Fatalf("got %v, %v; %d arrivals", response, err, len(first.requests()))
		}
	})
}

// TestRouteTimeout checks that a call without an answer ends with 504 after the timeout
// of its route.
func TestRouteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		_, address := startRouteServer(t, n, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		h := startRoutes(t, n, address)
		began := time.Now()
		response, _, err := h.call(t, "POST", "/handovers/7", "coin 7")
		if err != nil || response.StatusCode != http.StatusGatewayTimeout {
			t.Fatalf("got %v, %v", response, err)
		}
		if took := time.Since(began); took < time.Second || took > 1500*time.Millisecond {
			t.Errorf("answered after %s, the timeout is 1 s", took)
		}
	})
}

// TestRouteRefusals checks the status and the Retry-After header of refused requests.
func TestRouteRefusals(t *testing.T) {
	refusal := apierror.New(apierror.CodeShed, verdict.NotRun, "shed").WithRetry(1250 * time.Millisecond)
	limit := apierror.New(apierror.CodeQuota, verdict.NotRun, "rate limit").WithRetry(time.Second)
	late := apierror.New(apierror.CodeDeadline, verdict.NotRun, "hopeless").WithRetry(2 * time.Second)
	for _, c := range []struct {
		name, path, key string
		refuse          *apierror.Error
		status          int
		retryAfter      string
	}{
		{name: "no route", path: "/coins/7", key: testKey, status: 404},
		{name: "unknown key", path: "/stories/7", key: "unknown", status: 401},
		{name: "shed", path: "/stories/7", key: testKey, refuse: refusal, status: 503, retryAfter: "1.250"},
		{name: "rate limit", path: "/stories/7", key: testKey, refuse: limit, status: 429, retryAfter: "1.000"},
		{name: "hopeless", path: "/stories/7", key: testKey, refuse: late, status: 503, retryAfter: "2.000"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.New()
				server, address := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 1) })
				h := startRoutes(t, n, address)
				h.scheduler.refuse = c.refuse
				response, _, err := h.call(t, "POST", c.path, "", "X-Key: "+c.key)
				if c.key != testKey {
					response, _, err = h.callWithKey(t, c.path, c.key)
				}
				if err != nil || response.StatusCode != c.status || response.Header.Get("Retry-After") != c.retryAfter {
					t.Fatalf("got %v, %v", response, err)
				}
				if len(server.requests()) > 0 && c.refuse != nil {
					t.Error("a refused request reached a server")
				}
			})
		})
	}
}

// TestNamesInHeaders guards against a server that is told another organisation than the
// caller's, because its name holds what a header can't.
func TestNamesInHeaders(t *testing.T) {
	for name, status := range map[string]int{
		"Crew #2": 200, "équipe, 2": 200, "a\tb": 200, " Crew": 200, "Crew\t": 200,
		"a\r\nX-Key: b": 503, "a\x00": 503, "a\x7f": 503, "volunteers ": 503, " \tvolunteers": 503, "\t": 503,
	} {
		synctest.Test(t, func(t *testing.T) {
			n := memnet.New()
			server, address := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 1) })
			text := fmt.Sprintf(policyFormat, hash(testKey), hash("volunteer")) + routeSections + routeServers(1, "a", address)
			text = strings.ReplaceAll(text, "engravers", inifile.Quote(name))
			p, err := policy.Parse("names.policy.ini", []byte(strings.Replace(text, "[policy]", "[policy]\nformat = 2", 1)))
			if err != nil {
				t.Fatal(err)
			}
			h := startRoutedHost(t, n, p, testSettings(), &testHeaders)
			response, _, err := h.call(t, "POST", "/stories/7", "")
			if err != nil || response.StatusCode != status {
				t.Errorf("%q: %v, %v", name, response, err)
			}
			for _, r := range server.requests() {
				if got, want := r.Header.Get("X-Organisation"), strings.Trim(name, " \t"); got != want {
					t.Errorf("a server is told %q, want %q", got, want)
				}
			}
		})
	}
}

// callWithKey sends a request on a route with the given key.
func (h *host) callWithKey(t *testing.T, path, key string) (*http.Response, string, error) {
	t.Helper()
	conn := h.dial(t)
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: coins.example\r\nX-Id: id-2\r\nX-Key: "+key+"\r\nConnection: close\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return response, "", err
}

// TestConnectionsAreReused checks that successive requests share one connection to
// their server.
func TestConnectionsAreReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		server, address := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Keep-Alive", "timeout=10")
			_, _ = io.WriteString(w, "found")
		})
		h := startRoutes(t, n, address)
		for range 3 {
			if _, body, err := h.call(t, "GET", "/lookups/7", ""); err != nil || body != "found" {
				t.Fatalf("got %q, %v", body, err)
			}
		}
		remotes := map[string]bool{}
		for _, r := range server.requests() {
			remotes[r.RemoteAddr] = true
		}
		if len(remotes) != 1 {
			t.Errorf("three requests used %d connections, want 1", len(remotes))
		}
	})
}

// Servers fail some requests of an organisation near its rate limit. A request that a
// server ran is sent again without a claim, since its tokens were claimed by the first
// send. A request that was not run is claimed again.
func TestSecondSendClaimsNothing(t *testing.T) {
	for name, c := range map[string]struct {
		fail   func(w http.ResponseWriter)
		claims []int
	}{
		"failed": {func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }, []int{1320, 0}},
		"not run": {func(w http.ResponseWriter) {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, []int{1320, 1320}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.New()
				failed := false
				answer := func(w http.ResponseWriter, _ *http.Request) {
					if !failed {
						failed = true
						c.fail(w)
					}
				}
				_, first := startRouteServer(t, n, answer)
				_, second := startRouteServer(t, n, answer)
				h := startRoutes(t, n, first, second)
				response, _, err := h.call(t, "GET", "/lookups/7", "", "X-Tokens: 1200,120")
				if err != nil || response.StatusCode != http.StatusOK {
					t.Fatalf("got %v, %v", response, err)
				}
				var claims []int
				for _, r := range h.scheduler.requests {
					claims = append(claims, r.Claim)
				}
				if !slices.Equal(claims, c.claims) {
					t.Errorf("the sends claimed %v tokens, want %v", claims, c.claims)
				}
			})
		})
	}
}

// TestPromptPartsAreToldApart checks that the scheduler gets an identifier for each part of
// a prompt, which depends on the part and the target alone.
func TestPromptPartsAreToldApart(t *testing.T) {
	first, second := promptParts("m", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"), promptParts("m", " 5C1E07A2:900, 91bd3f06")
	if len(first) != 3 || len(second) != 2 || first[0] != second[0] || first[1] != second[1] || first[0] == first[1] {
		t.Errorf("parts %v and %v, want the same first two", first, second)
	}
	if other := promptParts("n", "5c1e07a2:800"); other[0] == first[0] {
		t.Error("a part has the same identifier for another model")
	}
	if promptParts("m", "") != nil {
		t.Error("a request without parts has one")
	}
	if got := promptParts("m", strings.Repeat("a:1,", 500)+"last:1"); len(got) != maxPromptParts || got[maxPromptParts-1] != promptParts("m", "last")[0] {
		t.Errorf("%d parts of a long prompt, want the last %d", len(got), maxPromptParts)
	}
}

// TestRouteDeadlineBeyondItsTimeout guards against requests that end at once because their
// client states a time limit beyond what a duration holds.
func TestRouteDeadlineBeyondItsTimeout(t *testing.T) {
	for _, limit := range []string{"Inf", "+Inf", "1e300", "1e19", "9223372036854775807", "NaN", "-1", "none"} {
		t.Run(limit, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.New()
				_, address := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) {
					time.Sleep(500 * time.Millisecond)
					_, _ = io.WriteString(w, "recorded")
				})
				h := startRoutes(t, n, address)
				if _, body, err := h.call(t, "POST", "/handovers/7", "", "X-Deadline: "+limit); err != nil || body != "recorded" {
					t.Errorf("got %q, %v", body, err)
				}
			})
		})
	}
}

func TestHostName(t *testing.T) {
	for host, want := range map[string]string{
		"coins.example": "coins.example", "coins.example:8221": "coins.example", "127.0.0.1:80": "127.0.0.1",
		"[2001:db8::1]:80": "2001:db8::1", "[2001:db8::1]": "2001:db8::1", "": "",
	} {
		if got := hostName(host); got != want {
			t.Errorf("host name of %q is %q, want %q", host, got, want)
		}
	}
}

func TestPartLengthsAreKnownOrLeftOut(t *testing.T) {
	for header, want := range map[string][]int{
		"5c1e07a2:800, 91bd3f06:410,e4402b7d:250": {800, 410, 250},
		"5c1e07a2:800,91bd3f06":                   nil,
		"5c1e07a2:-800":                           nil,
		"":                                        nil,
		strings.Repeat("a:1,", maxPromptParts) + "last:1": nil,
	} {
		if got := partLengths(header); !slices.Equal(got, want) {
			t.Errorf("%.30q: lengths %v, want %v", header, got, want)
		}
	}
}

// What is explained for a request on a route is what is asked for when it comes.
func TestDescribedRequestIsTheOneAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		_, address := startRouteServer(t, n, func(http.ResponseWriter, *http.Request) {})
		h := startRoutes(t, n, address)
		if _, _, err := h.call(t, "GET", "/lookups/7", "", "X-Tokens: 1200,120", "X-Parts: a:1000,b:200"); err != nil {
			t.Fatal(err)
		}
		asked := h.scheduler.requests[0]
		described, route, err := h.front.Describe(status.Query{
			Key: testKey, Host: "coins.example", Path: "/lookups/7", PromptTokens: 1200, OutputTokens: 120, Parts: "a:1000,b:200",
		})
		if err != nil || route.Name == "" || !slices.Equal(asked.PartTokens, []int{1000, 200}) {
			t.Fatalf("asked for %+v, described as %v, %v", asked, route, err)
		}
		asked.ID, asked.Fingerprint, asked.EndWait = described.ID, 0, nil
		asked.Arrived, asked.Deadline = described.Arrived, described.Deadline
		if !reflect.DeepEqual(asked, described) {
			t.Errorf("asked for %+v, described as %+v", asked, described)
		}
	})
}
