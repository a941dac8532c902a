package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/message"
	"mimosafront/internal/operation"
	"mimosafront/internal/policy"
	"mimosafront/internal/verdict"
)

// faults are the shares of what goes wrong, between 0 and 1.
type faults struct {
	// answerLost breaks the connection after the host received the call.
	answerLost float64
	// linkDown makes a host unable to forward to another.
	linkDown float64
	// hostDown refuses connections from callers.
	hostDown float64
	// restart starts one of the hosts anew before a call.
	restart float64
	// shed refuses the call before it runs.
	shed float64
}

// fleet is three entry hosts that callers reach in memory, and the registry
// behind them.
type fleet struct {
	mu       sync.Mutex
	policy   *policy.Policy
	random   *rand.Rand
	faults   faults
	services map[string]*operation.Service
	members  []message.Member
	runs     map[string]int
	shed     map[string]bool
	starts   int
}

func newFleet(t testing.TB, f faults) *fleet {
	t.Helper()
	text, err := os.ReadFile("../../examples/consortium.policy.ini")
	if err != nil {
		t.Fatal(err)
	}
	p, err := policy.Parse("consortium", text)
	if err != nil {
		t.Fatal(err)
	}
	fl := &fleet{policy: p, faults: f, random: rand.New(rand.NewPCG(1, 2)), services: map[string]*operation.Service{}, runs: map[string]int{}, shed: map[string]bool{}}
	for _, name := range []string{"e1", "e2", "e3"} {
		fl.start(name)
	}
	return fl
}

func (f *fleet) start(name string) {
	f.starts++
	s := operation.NewService(operation.Config{
		Host: name, Zone: "lisbon-a", Incarnation: f.starts, Key: fmt.Append(nil, name, f.starts), Forwarder: f,
		Policy: func() *policy.Policy { return f.policy },
	})
	s.SetRunner(f)
	f.services[name] = s
}

func (f *fleet) chance(share float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < share
}

func (f *fleet) RunOperation(_ context.Context, call message.OperationCall) message.OperationReply {
	if f.chance(f.faults.shed) {
		return message.OperationReply{Code: string(apierror.CodeShed), Verdict: message.OperationReplyVerdictNotRun}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[string(call.Body)]++
	return message.OperationReply{Status: http.StatusCreated, Verdict: message.OperationReplyVerdictRan, Body: call.Body}
}

func (f *fleet) Call(ctx context.Context, host string, call message.OperationCall) (message.OperationReply, error) {
	if f.chance(f.faults.linkDown) {
		return message.OperationReply{}, errors.New("unreachable")
	}
	f.mu.Lock()
	service := f.services[host]
	f.mu.Unlock()
	return service.Handle(ctx, "peer", call), nil
}

func (f *fleet) Hosts() []message.Member { return f.members }

func (f *fleet) HandoverKeys(context.Context, message.KeyHandover) bool { return false }

func (f *fleet) AcknowledgeHandover(string, message.KeyHandoverAck) {}

// RoundTrip is the network between callers and hosts.
func (f *fleet) RoundTrip(r *http.Request) (*http.Response, error) {
	host := r.URL.Hostname()
	if f.chance(f.faults.hostDown) {
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	if f.chance(f.faults.restart) {
		f.mu.Lock()
		f.start([]string{"e1", "e2", "e3"}[f.random.IntN(3)])
		f.mu.Unlock()
	}
	recorder := httptest.NewRecorder()
	f.serve(host, recorder, r)
	if f.chance(f.faults.answerLost) {
		return nil, errors.New("connection reset")
	}
	return recorder.Result(), nil
}

func (f *fleet) serve(host string, w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	service := f.services[host]
	f.mu.Unlock()
	if strings.HasSuffix(r.URL.Path, "/tickets") {
		w.WriteHeader(http.StatusCreated)
		_ = json.NewEncoder(w).Encode(map[string]string{"ticket": service.Mint(policy.Caller{Organisation: "aurora"}, "registry")})
		return
	}
	body, _ := io.ReadAll(r.Body)
	reply := service.Execute(r.Context(), message.OperationCall{
		Kind: message.OperationCallKindTicket, Operation: r.Header.Get(operation.HeaderTicket), Organisation: "aurora",
		Service: "registry", Method: r.Method, Path: r.URL.Path, Body: body,
	})
	for _, header := range reply.Headers {
		w.Header().Set(header.Name, header.Value)
	}
	w.Header().Set("Mimosa-Verdict", string(reply.Verdict))
	if reply.Code == "" {
		w.WriteHeader(reply.Status)
		_, _ = w.Write(reply.Body)
		return
	}
	err := apierror.New(apierror.Code(reply.Code), verdict.Verdict(reply.Verdict), "%s", reply.Body)
	w.WriteHeader(err.Status())
	_ = json.NewEncoder(w).Encode(err.Body())
}

func (f *fleet) client(redial bool) *Client {
	c := Config{Addresses: []string{"http://e1", "http://e2", "http://e3"}, HTTP: &http.Client{Transport: f}, Delay: time.Millisecond}
	if redial {
		c.Hosts = map[string]string{"e1": "http://e1", "e2": "http://e2", "e3": "http://e3"}
	}
	return New(c)
}

func handover(coin int) Call {
	return Call{Service: "registry", Method: http.MethodPost, Path: "/handovers", Body: fmt.Appendf(nil, `{"coin":"%d"}`, coin)}
}

// outcomes counts what callers were told.
type outcomes struct{ ran, notRun, unknown int }

// send makes calls one after the other and checks each verdict against what the
// registry ran.
func (f *fleet) send(t testing.TB, c *Client, calls int) outcomes {
	t.Helper()
	var o outcomes
	for coin := range calls {
		call := handover(coin)
		_, err := c.Do(t.Context(), call)
		runs := f.runs[string(call.Body)]
		switch {
		case runs > 1:
			t.Fatalf("coin %d ran %d times", coin, runs)
		case err == nil:
			o.ran++
			if runs != 1 {
				t.Fatalf("coin %d was told as ran, and did not run", coin)
			}
		case err.Verdict == verdict.NotRun:
			o.notRun++
			if runs != 0 {
				t.Fatalf("coin %d was told as not run, and ran: %v", coin, err)
			}
		default:
			o.unknown++
		}
	}
	return o
}

func TestVerdictsAreTrueUnderFaults(t *testing.T) {
	for name, f := range map[string]faults{
		"none":          {},
		"lost answers":  {answerLost: 0.3},
		"links down":    {linkDown: 0.5, answerLost: 0.1},
		"hosts down":    {hostDown: 0.5, answerLost: 0.1},
		"restarts":      {restart: 0.2, answerLost: 0.1},
		"shedding":      {shed: 0.5, answerLost: 0.2},
		"all at a time": {answerLost: 0.2, linkDown: 0.2, hostDown: 0.2, restart: 0.05, shed: 0.2},
	} {
		for _, redial := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/redial=%v", name, redial), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fleet := newFleet(t, f)
					o := fleet.send(t, fleet.client(redial), 400)
					if name == "none" && o.ran != 400 {
						t.Errorf("outcomes %+v", o)
					}
				})
			})
		}
	}
}

func TestDeadHostBeforeTheFirstAttemptCostsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, faults{hostDown: 0.3})
		if o := f.send(t, f.client(true), 200); o.unknown != 0 {
			t.Errorf("outcomes %+v: a refused connection leaves nothing open", o)
		}
	})
}

// BenchmarkUnknownShare measures the share of calls whose outcome stays unknown,
// with and without going first to the host that the ticket names.
func BenchmarkUnknownShare(b *testing.B) {
	for name, f := range map[string]faults{
		"lost answers 5%": {answerLost: 0.05},
		"and links 10%":   {answerLost: 0.05, linkDown: 0.10},
		"and links 30%":   {answerLost: 0.05, linkDown: 0.30},
		"and restarts 1%": {answerLost: 0.05, linkDown: 0.10, restart: 0.01},
		"and hosts 10%":   {answerLost: 0.05, linkDown: 0.10, hostDown: 0.10},
	} {
		for _, redial := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/redial=%v", name, redial), func(b *testing.B) {
				fleet := newFleet(b, f)
				c := fleet.client(redial)
				total, unknown := 0, 0
				for b.Loop() {
					const calls = 1000
					o := fleet.send(b, c, calls)
					total, unknown = total+calls, unknown+o.unknown
					clear(fleet.runs)
				}
				b.ReportMetric(100*float64(unknown)/float64(total), "%unknown")
			})
		}
	}
}
