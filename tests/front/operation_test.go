package front

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"

	"mimosafront/internal/apierror"
	"mimosafront/internal/faultproxy"
	"mimosafront/internal/standin/service"
	"mimosafront/internal/verdict"
)

// operationFault is a fault between the entry host and a plain service.
type operationFault struct {
	name    string
	before  func(*faultproxy.Proxy, *service.Service)
	verdict verdict.Verdict
	code    apierror.Code
	runs    int
}

func operationFaults() []operationFault {
	return []operationFault{
		{name: "none", verdict: verdict.Ran, runs: 1},
		{name: "refused", verdict: verdict.NotRun, code: apierror.CodeNoServer,
			before: func(p *faultproxy.Proxy, _ *service.Service) { p.Refuse() }},
		{name: "reset within the request", verdict: verdict.MayHaveRun, code: apierror.CodeServerFailed,
			before: func(p *faultproxy.Proxy, _ *service.Service) {
				p.Set(faultproxy.ToTarget, faultproxy.All, faultproxy.Faults{ResetAfter: 30})
			}},
		{name: "reply dropped", verdict: verdict.MayHaveRun, code: apierror.CodeServerFailed, runs: 1,
			before: func(_ *faultproxy.Proxy, s *service.Service) { s.DropReplies(1) }},
		{name: "reply silent", verdict: verdict.MayHaveRun, code: apierror.CodeServerSilent, runs: 1,
			before: func(p *faultproxy.Proxy, _ *service.Service) {
				p.Set(faultproxy.ToClient, faultproxy.All, faultproxy.Faults{Blackhole: true})
			}},
		{name: "reply cut", verdict: verdict.MayHaveRun, code: apierror.CodeServerFailed, runs: 1,
			before: func(p *faultproxy.Proxy, _ *service.Service) {
				p.Set(faultproxy.ToClient, faultproxy.All, faultproxy.Faults{CloseAfter: 100})
			}},
	}
}

// TestOperationFaults checks that a payment capture that its caller sends three
// times under one ticket runs at most once, whatever happens to the first
// attempt, and that each answer agrees with the service's journal.
func TestOperationFaults(t *testing.T) {
	for _, f := range operationFaults() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			testOperation(t, f)
		})
	}
}

func testOperation(t *testing.T, f operationFault) {
	standin := service.New(service.Config{Name: "orders-1"})
	if err := standin.Start(""); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(standin.Close)
	proxy, err := faultproxy.New(standin.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	p := startHost(t, hostConfig{service: proxy.Addr(), silence: silence, logBytes: defaultLogBytes})
	ticket := p.ticket(t)
	if f.before != nil {
		f.before(proxy, standin)
	}
	first := p.capture(t, ticket)
	if first.verdict != f.verdict || first.code != f.code {
		t.Errorf("verdict %s, code %q; want %s, %q", first.verdict, first.code, f.verdict, f.code)
	}
	if err := proxy.ClearFaults(); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if again := p.capture(t, ticket); again.verdict != f.verdict {
			t.Errorf("sent again: verdict %s, code %q; want %s", again.verdict, again.code, f.verdict)
		}
	}
	if n := len(standin.Journal()); n != f.runs {
		t.Errorf("the capture ran %d times, want %d", n, f.runs)
	}
}

// ticket mints an operation ticket.
func (p *process) ticket(t *testing.T) string {
	t.Helper()
	response, err := p.post("/services/orders/tickets", "")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var minted struct{ Ticket string }
	if err := json.NewDecoder(response.Body).Decode(&minted); err != nil || minted.Ticket == "" {
		t.Fatalf("status %d, ticket %q, error %v", response.StatusCode, minted.Ticket, err)
	}
	return minted.Ticket
}

// capture sends a payment capture under a ticket.
func (p *process) capture(t *testing.T, ticket string) answer {
	t.Helper()
	response, err := p.post("/services/orders/captures", `{"order":7}`, "Mimosa-Ticket", ticket)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	a := answer{status: response.StatusCode, verdict: verdict.Verdict(response.Header.Get("Mimosa-Verdict"))}
	var body apierror.Body
	if json.Unmarshal(text, &body) == nil {
		a.code = body.Error.Code
	}
	if a.code == "" && response.StatusCode != http.StatusCreated {
		t.Errorf("status %d, body %s", response.StatusCode, fmt.Sprintf("%.200s", text))
	}
	return a
}
