package daemon

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mimosafront/internal/confsource"
	"mimosafront/internal/eventlog"
	"mimosafront/internal/front"
	"mimosafront/internal/policy"
	"mimosafront/internal/settings"
	"mimosafront/internal/standin/platform"
)

const policyText = `
[policy]
generation = %d
[zone a]
[tier brief]
rank = 0
[organisation engravers]
[caller head-engraver]
organisation = engravers
key_sha256 = 19551d6cc32c653eecb67ce2a39d7b3f442dad14f60165fc8efb69977f7964c8
[hardware g1]
prefill_tokens_per_s = 4000
decode_tokens_per_s = 700
tokens_in_flight = 16000
[model writer]
[server e1]
zone = a
kind = engine
hardware = g1
models = writer
address = %s
`

// testHost is a daemon with one engine and the policy file that names it.
type testHost struct {
	daemon        *Daemon
	policyPath    string
	engineAddress string
}

func startDaemon(t *testing.T, engine http.HandlerFunc) *testHost {
	t.Helper()
	server := httptest.NewServer(engine)
	t.Cleanup(server.Close)
	h := &testHost{policyPath: filepath.Join(t.TempDir(), "policy.ini"), engineAddress: server.Listener.Addr().String()}
	h.writePolicy(t, 1)
	h.daemon = newDaemon(t, fmt.Sprintf("[node]\nname = e1\nzone = a\npolicy_file = %s\n", h.policyPath), "", nil)
	return h
}

// newDaemon starts a daemon on free ports. frontText is added to the section [front]
// of the settings; p may be nil.
func newDaemon(t *testing.T, text, frontText string, p *policy.Policy) *Daemon {
	t.Helper()
	text += "[peer]\ninsecure = true\nlisten = 127.0.0.1:0\n[front]\nlisten = 127.0.0.1:0\nadmin_listen = 127.0.0.1:0\n" + frontText
	s, err := settings.Parse("settings.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	d := New(Config{Settings: s, Logger: eventlog.Discard(), Policy: p})
	if err := d.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return d
}

func (h *testHost) writePolicy(t *testing.T, generation int) {
	t.Helper()
	if err := os.WriteFile(h.policyPath, fmt.Appendf(nil, policyText, generation, h.engineAddress), 0o600); err != nil {
		t.Fatal(err)
	}
}

// chat sends a streamed completion and returns the status and the body.
func (h *testHost) chat() (int, string, error) {
	body := `{"model":"writer","stream":true,"messages":[{"role":"user","content":"Draft a brief."}]}`
	request, err := http.NewRequest(http.MethodPost, "http://"+h.daemon.Address()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Authorization", "Bearer demo-head-engraver")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

func get(t *testing.T, url string) (int, string) {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(text)
}

// streamAnswer is an engine that streams one token and the end of the stream.
func streamAnswer(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"An \"},\"finish_reason\":null}]}\n\n", id)
	fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", id)
}

// awaitMetric polls until the metrics contain a line, since their exposed values are
// updated at intervals.
func (h *testHost) awaitMetric(t *testing.T, line string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		_, text := get(t, "http://"+h.daemon.AdminAddress()+"/metrics")
		if strings.Contains(text, line) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("metrics have no line %s:\n%s", line, text)
		}
	}
}

func TestServesAndStops(t *testing.T) {
	h := startDaemon(t, streamAnswer)
	status, body, err := h.chat()
	if err != nil || status != http.StatusOK || !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Fatalf("status %d, body %q, error %v", status, body, err)
	}
	if status, _ := get(t, "http://"+h.daemon.AdminAddress()+"/readyz"); status != http.StatusOK {
		t.Errorf("readyz: status %d", status)
	}
	h.awaitMetric(t, `mimosafront_requests{code="ok",tier="brief",verdict="ran"} 1`)
	if err := h.daemon.Stop(t.Context()); err != nil {
		t.Errorf("stop: %v", err)
	}
	if _, err := net.Dial("tcp", h.daemon.Address()); err == nil {
		t.Error("the caller listener is still open after Stop")
	}
}

// TestReload checks that an invalid file or one with a lower generation leaves the
// policy in force.
func TestReload(t *testing.T) {
	h := startDaemon(t, streamAnswer)
	defer func() { _ = h.daemon.Stop(t.Context()) }()
	steps := []struct {
		text string
		want int
	}{
		{fmt.Sprintf(policyText, 3, h.engineAddress), 3},
		{fmt.Sprintf(policyText, 2, h.engineAddress), 3},
		{fmt.Sprintf(policyText, 4, h.engineAddress) + "[server e2]\nzone = nowhere\naddress = 127.0.0.1:1\n", 3},
		{"[policy", 3},
		{"", 3},
		{"\x00\xff\x17", 3},
		{fmt.Sprintf(policyText, 4, h.engineAddress) + strings.Repeat("# more than a policy may hold\n", 110_000), 3},
		{fmt.Sprintf(policyText, 5, h.engineAddress), 5},
	}
	for i, step := range steps {
		if err := os.WriteFile(h.policyPath, []byte(step.text), 0o600); err != nil {
			t.Fatal(err)
		}
		h.daemon.Reload()
		if got := h.daemon.policies.Current().Generation; got != step.want {
			t.Errorf("step %d: generation %d in force, want %d", i, got, step.want)
		}
	}
	if status, body, err := h.chat(); err != nil || status != http.StatusOK {
		t.Errorf("status %d, body %q, error %v", status, body, err)
	}
}

// TestPolicyFromPlatform checks that a host without a policy is not ready and refuses
// requests with the verdict not_run, and that it serves once the configuration
// service publishes a policy.
func TestPolicyFromPlatform(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(streamAnswer))
	defer engine.Close()
	service := platform.New(platform.Config{})
	if err := service.Start(""); err != nil {
		t.Fatal(err)
	}
	defer service.Close()
	text := fmt.Sprintf("[node]\nname = e1\nzone = a\n[platform]\naddress = %s\n", service.Address())
	h := &testHost{daemon: newDaemon(t, text, "", nil)}
	defer func() { _ = h.daemon.Stop(t.Context()) }()
	ready := "http://" + h.daemon.AdminAddress() + "/readyz"
	if status, _ := get(t, ready); status != http.StatusServiceUnavailable {
		t.Errorf("readyz without a policy: status %d", status)
	}
	if status, body, _ := h.chat(); status != http.StatusServiceUnavailable || !strings.Contains(body, `"not_run"`) {
		t.Errorf("without a policy: status %d, body %q", status, body)
	}
	publish(t, service, fmt.Sprintf(policyText, 1, engine.Listener.Addr()))
	for end := time.Now().Add(10 * time.Second); h.daemon.front.State() != front.StateReady; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the published policy is not in force")
		}
	}
	if status, body, err := h.chat(); err != nil || status != http.StatusOK {
		t.Errorf("status %d, body %q, error %v", status, body, err)
	}
}

// publish stores the sections and then the manifest of a policy on the configuration
// service.
func publish(t *testing.T, service *platform.Platform, text string) {
	t.Helper()
	p, err := policy.Parse("policy", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	bundle := p.Bundle()
	for digest, section := range bundle.Sections {
		put(t, service, confsource.KeySectionPrefix+digest, []byte(section))
	}
	manifest, err := json.Marshal(bundle.Manifest)
	if err != nil {
		t.Fatal(err)
	}
	put(t, service, confsource.KeyManifest, manifest)
}

func put(t *testing.T, service *platform.Platform, key string, body []byte) {
	t.Helper()
	if _, err := service.Publish(key, body); err != nil {
		t.Fatal(err)
	}
}

// TestSlowHandoverDoesNotExtendTheStop guards against a stopping host that takes requests,
// and runs them, for as much longer as its handover takes: its process is killed before
// their answers end. The handover waits for an operation that takes two seconds.
func TestSlowHandoverDoesNotExtendTheStop(t *testing.T) {
	orders := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(2 * time.Second) }))
	t.Cleanup(orders.Close)
	engine := httptest.NewServer(http.HandlerFunc(streamAnswer))
	t.Cleanup(engine.Close)
	text := fmt.Sprintf(policyText, 1, engine.Listener.Addr()) +
		fmt.Sprintf("[service orders]\n[server s1]\nzone = a\nkind = service\nservices = orders\naddress = %s\n", orders.Listener.Addr())
	p, err := policy.Parse("policy", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	h := &testHost{daemon: newDaemon(t, "[node]\nname = e1\nzone = a\npolicy_file = unused\n", "leave_ms = 200\n", p)}
	running := make(chan error, 1)
	go func() { running <- h.callOperation() }()
	time.Sleep(500 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- h.daemon.Stop(t.Context()) }()
	time.Sleep(600 * time.Millisecond)
	if status, body, err := h.chat(); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("status %d, body %q, error %v, want 503: the host no longer takes requests", status, body, err)
	}
	if err := <-running; err != nil {
		t.Errorf("the operation: %v", err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: %v", err)
	}
}

// callOperation mints a ticket of the service orders and calls an operation with it.
func (h *testHost) callOperation() error {
	minted, err := h.post("/services/orders/tickets", nil)
	if err != nil {
		return err
	}
	var ticket struct {
		Ticket string `json:"ticket"`
	}
	if err := json.Unmarshal(minted, &ticket); err != nil {
		return err
	}
	_, err = h.post("/services/orders/captures", http.Header{front.HeaderTicket: {ticket.Ticket}})
	return err
}

// post sends a request as a caller and returns the body of a successful answer.
func (h *testHost) post(path string, header http.Header) ([]byte, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+h.daemon.Address()+path, strings.NewReader("{}"))
	if err != nil {
		return nil, err
	}
	if header != nil {
		request.Header = header
	}
	request.Header.Set("Authorization", "Bearer demo-head-engraver")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode >= http.StatusMultipleChoices {
		err = fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	return body, err
}

// TestFailedStartLeavesNoListenerOpen guards against ports that stay taken by a host whose
// start failed at its last listener.
func TestFailedStartLeavesNoListenerOpen(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	var free []string
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		free = append(free, l.Addr().String())
		_ = l.Close()
	}
	text := fmt.Sprintf("[node]\nname = e1\nzone = a\npolicy_file = unused\n[peer]\ninsecure = true\nlisten = %s\n[front]\nlisten = %s\nadmin_listen = %s\nready_listen = %s\n",
		taken.Addr(), free[0], free[1], free[2])
	s, err := settings.Parse("settings.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	p, err := policy.Parse("policy.ini", fmt.Appendf(nil, policyText, 1, "127.0.0.1:1"))
	if err != nil {
		t.Fatal(err)
	}
	if err := New(Config{Settings: s, Logger: eventlog.Discard(), Policy: p}).Start(t.Context()); err == nil {
		t.Fatal("the host started without its peer listener")
	}
	for _, address := range free {
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Errorf("%s is still taken: %v", address, err)
			continue
		}
		_ = l.Close()
	}
}

// TestExplainsWhereARequestWouldGo checks queries to the admin listener, and that they show
// nowhere.
func TestExplainsWhereARequestWouldGo(t *testing.T) {
	h := startDaemon(t, streamAnswer)
	url := "http://" + h.daemon.AdminAddress()
	_, before := get(t, url+"/status")
	for _, c := range []struct {
		query, want string
		status      int
	}{
		{`{"key":"demo-head-engraver","target":"writer","prompt_tokens":100}`, `"server":"e1","first_token_ms"`, http.StatusOK},
		{`{"organisation":"engravers","target":"writer","tier":"brief"}`, `"tier":"brief"`, http.StatusOK},
		{`{"key":"wrong","target":"writer"}`, "the key is unknown", http.StatusUnauthorized},
		{`{"organisation":"nobody","target":"writer"}`, "no such organisation", http.StatusUnauthorized},
		{`{"organisation":"engravers","target":"reader"}`, "no such model or service", http.StatusNotFound},
		{`{"organisation":"engravers","host":"a.example","path":"/"}`, "no route leads there", http.StatusNotFound},
		{`{"organisation":"engravers","target":"writer","zone":"b"}`, "no pool of writer can be reached there", http.StatusServiceUnavailable},
		{`{"organization":"engravers"}`, "unknown field", http.StatusBadRequest},
	} {
		response, err := http.Post(url+"/explain", "application/json", strings.NewReader(c.query))
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if response.StatusCode != c.status || !strings.Contains(string(text), c.want) {
			t.Errorf("%s: %d %s, want %d with %s", c.query, response.StatusCode, text, c.status, c.want)
		}
	}
	if _, after := get(t, url+"/status"); after != before {
		t.Errorf("the status changed from %s to %s", before, after)
	}
}
