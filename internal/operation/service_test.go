package operation

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mimosafront/internal/eventlog"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

// network connects services within one process.
type network struct {
	mu          sync.Mutex
	policy      *policy.Policy
	members     []message.Member
	services    map[string]*Service
	unreachable map[string]bool
	log         bytes.Buffer
}

func newNetwork(t *testing.T) *network {
	t.Helper()
	text, err := os.ReadFile("../../examples/consortium.policy.ini")
	if err != nil {
		t.Fatal(err)
	}
	p, err := policy.Parse("consortium", text)
	if err != nil {
		t.Fatal(err)
	}
	return &network{policy: p, services: map[string]*Service{}, unreachable: map[string]bool{}}
}

func (n *network) Call(ctx context.Context, host string, call message.OperationCall) (message.OperationReply, error) {
	n.mu.Lock()
	service, unreachable := n.services[host], n.unreachable[host]
	n.mu.Unlock()
	if service == nil || unreachable {
		return message.OperationReply{}, errors.New("unreachable")
	}
	return service.Handle(ctx, "peer", call), nil
}

func (n *network) Hosts() []message.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]message.Member(nil), n.members...)
}

func (n *network) HandoverKeys(_ context.Context, h message.KeyHandover) bool {
	n.mu.Lock()
	service := n.services[h.To]
	n.mu.Unlock()
	service.ReceiveHandoverPart(h)
	return true
}

func (n *network) AcknowledgeHandover(host string, a message.KeyHandoverAck) {
	n.mu.Lock()
	service := n.services[host]
	n.mu.Unlock()
	service.ReceiveHandoverAck(a)
}

func (n *network) start(host, zone string, incarnation int, r Runner) *Service {
	s := NewService(Config{
		Host: host, Zone: zone, Incarnation: incarnation, Key: []byte(host), Forwarder: n,
		Policy: func() *policy.Policy { return n.policy },
		Logger: eventlog.NewDirect(&lockedWriter{n: n}),
	})
	s.SetRunner(r)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.services[host] = s
	n.members = append(n.members, message.Member{Host: host, Zone: zone, Incarnation: incarnation, State: message.MemberStateAlive})
	return s
}

func (n *network) leave(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range n.members {
		if n.members[i].Host == host {
			n.members[i].State = message.MemberStateLeaving
		}
	}
}

type lockedWriter struct{ n *network }

func (w *lockedWriter) Write(p []byte) (int, error) {
	w.n.mu.Lock()
	defer w.n.mu.Unlock()
	return w.n.log.Write(p)
}

// registry is a Runner that counts the executions of each operation.
type registry struct {
	mu    sync.Mutex
	runs  map[string]int
	delay time.Duration
	reply message.OperationReply
	panic bool
}

func newRegistry() *registry {
	return &registry{runs: map[string]int{}, reply: replyWith("ran")}
}

func (r *registry) RunOperation(ctx context.Context, call message.OperationCall) message.OperationReply {
	r.mu.Lock()
	r.runs[call.Operation]++
	r.mu.Unlock()
	if r.panic {
		panic("broken")
	}
	select {
	case <-time.After(r.delay):
		return r.reply
	case <-ctx.Done():
		return replyWith("may_have_run")
	}
}

func (r *registry) total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, runs := range r.runs {
		total += runs
	}
	return total
}

var aurora = policy.Caller{Name: "aurora-crew-1", Organisation: "aurora"}

func serviceCall(kind message.OperationCallKind, operation string) message.OperationCall {
	return message.OperationCall{
		Kind: kind, Operation: operation, Organisation: "aurora", Service: "registry", Method: "POST",
		Path: "/handovers", Body: []byte(`{"coin":"7"}`), DeadlineMs: 60_000,
	}
}

func TestConcurrentDuplicatesRunOnceOverTwoHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := newNetwork(t), newRegistry()
		r.delay = time.Second
		e1 := n.start("e1", "lisbon-a", 1, r)
		e2 := n.start("e2", "lisbon-b", 1, r)
		call := serviceCall(message.OperationCallKindTicket, e1.Mint(aurora, "registry"))
		replies := make(chan message.OperationReply, 20)
		for i := range cap(replies) {
			go func() { replies <- []*Service{e1, e2}[i%2].Execute(t.Context(), call) }()
		}
		fresh := 0
		for range cap(replies) {
			reply := <-replies
			if reply.Verdict != "ran" || string(reply.Body) != "answer" {
				t.Errorf("reply %+v", reply)
			}
			if !reply.Replayed {
				fresh++
			}
		}
		if r.total() != 1 || fresh != 1 {
			t.Errorf("%d runs, %d fresh answers, want 1", r.total(), fresh)
		}
	})
}

func TestAnswerIsKeptWhenTheCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := newNetwork(t), newRegistry()
		r.delay = time.Second
		e1 := n.start("e1", "lisbon-a", 1, r)
		call := serviceCall(message.OperationCallKindTicket, e1.Mint(aurora, "registry"))
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if reply := e1.Execute(ctx, call); reply.Code != "operation_in_progress" || reply.Verdict != "may_have_run" {
			t.Errorf("while in progress: %+v", reply)
		}
		if err := e1.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
		if reply := e1.Execute(t.Context(), call); reply.Verdict != "ran" || !reply.Replayed || r.total() != 1 {
			t.Errorf("after the execution: %+v, %d runs", reply, r.total())
		}
	})
}

func TestTicketOfAnUnreachableOrRestartedHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := newNetwork(t), newRegistry()
		e1 := n.start("e1", "lisbon-a", 1, r)
		e2 := n.start("e2", "lisbon-b", 1, r)
		call := serviceCall(message.OperationCallKindTicket, e1.Mint(aurora, "registry"))
		n.unreachable["e1"] = true
		if reply := e2.Execute(t.Context(), call); reply.Code != "ticket_host_gone" || reply.Verdict != "may_have_run" {
			t.Errorf("unreachable: %+v", reply)
		}
		n.unreachable["e1"] = false
		n.start("e1", "lisbon-a", 2, r)
		if reply := e2.Execute(t.Context(), call); reply.Code != "ticket_host_gone" || reply.Verdict != "may_have_run" {
			t.Errorf("restarted: %+v", reply)
		}
		if r.total() != 0 {
			t.Errorf("%d runs, want 0", r.total())
		}
	})
}

func TestNotRunVoidsTheTicket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := newNetwork(t), newRegistry()
		r.reply = message.OperationReply{Code: "shed", Status: 503, Verdict: "not_run"}
		e1 := n.start("e1", "lisbon-a", 1, r)
		call := serviceCall(message.OperationCallKindTicket, e1.Mint(aurora, "registry"))
		for range 3 {
			if reply := e1.Execute(t.Context(), call); reply.Verdict != "not_run" || reply.Code != "shed" {
				t.Errorf("reply %+v", reply)
			}
		}
		if r.total() != 1 {
			t.Errorf("handed to the runner %d times, want 1", r.total())
		}
	})
}

func TestPanicIsAnUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := newNetwork(t), newRegistry()
		r.panic = true
		e1 := n.start("e1", "lisbon-a", 1, r)
		call := serviceCall(message.OperationCallKindTicket, e1.Mint(aurora, "registry"))
		if reply := e1.Execute(t.Context(), call); reply.Verdict != "may_have_run" {
			t.Errorf("reply %+v", reply)
		}
	})
}

func TestKeyIsRunByOneKeeperAndHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := newNetwork(t), newRegistry()
		services := []*Service{
			n.start("e1", "lisbon-a", 1, r), n.start("e2", "lisbon-a", 1, r),
			n.start("e3", "lisbon-b", 1, r), n.start("e4", "lisbon-b", 1, r),
			n.start("e5", "lisbon-c", 1, r), n.start("e6", "lisbon-c", 1, r),
		}
		ctx, cancel := context.WithCancel(t.Context())
		for _, s := range services {
			go s.Run(ctx)
		}
		defer cancel()
		call := serviceCall(message.OperationCallKindKey, "order-17")
		if reply := services[0].Execute(t.Context(), call); reply.Verdict != "may_have_run" || r.total() != 0 {
			t.Errorf("in the first window: %+v", reply)
		}
		time.Sleep(time.Duration(n.policy.KeyRetryWindowMs)*time.Millisecond + time.Minute)
		for _, s := range services {
			if reply := s.Execute(t.Context(), call); reply.Verdict != "ran" {
				t.Errorf("reply %+v", reply)
			}
		}
		keeper := KeeperOfKey(call, services[0].zones(), n.Hosts())
		n.services[keeper].HandOver(t.Context())
		n.leave(keeper)
		time.Sleep(time.Second)
		other := serviceCall(message.OperationCallKindKey, "order-18")
		for _, s := range services {
			for _, c := range []message.OperationCall{call, other} {
				if reply := s.Execute(t.Context(), c); reply.Verdict != "ran" {
					t.Errorf("%s after the handover: %+v", c.Operation, reply)
				}
			}
		}
		if r.runs["aurora/registry/order-17"] != 1 || r.runs["aurora/registry/order-18"] != 1 {
			t.Errorf("runs %v", r.runs)
		}
	})
}

// TestCallWaitsForTheNextKeeper sends a key while its keeper is sealed but not
// yet known to be leaving.
func TestCallWaitsForTheNextKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := newNetwork(t), newRegistry()
		for _, host := range []string{"e1", "e2"} {
			for _, zone := range []string{"lisbon-a", "lisbon-b", "lisbon-c"} {
				go n.start(host+zone, zone, 1, r).Run(t.Context())
			}
		}
		time.Sleep(time.Duration(n.policy.KeyRetryWindowMs)*time.Millisecond + time.Minute)
		call := serviceCall(message.OperationCallKindKey, "order-17")
		keeper := KeeperOfKey(call, n.services["e1lisbon-a"].zones(), n.Hosts())
		n.services[keeper].Seal()
		go func() {
			time.Sleep(time.Second)
			n.services[keeper].HandOver(t.Context())
			n.leave(keeper)
		}()
		if reply := n.services["e1lisbon-a"].Execute(t.Context(), call); reply.Verdict != "ran" {
			t.Errorf("reply %+v", reply)
		}
	})
}

// TestJoiningHostReceivesItsKeys sends keys without a timestamp while hosts
// join.
func TestJoiningHostReceivesItsKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := newNetwork(t), newRegistry()
		start := func(host string) {
			for _, zone := range []string{"lisbon-a", "lisbon-b", "lisbon-c"} {
				s := n.start(host+zone, zone, 1, r)
				go s.Run(t.Context())
				go s.RunHandovers(t.Context())
			}
		}
		start("e1")
		time.Sleep(time.Duration(n.policy.KeyRetryWindowMs)*time.Millisecond + time.Minute)
		before := serviceCall(message.OperationCallKindKey, "order-17")
		n.services["e1lisbon-a"].Execute(t.Context(), before)
		start("e2")
		for i := range 20 {
			call := serviceCall(message.OperationCallKindKey, fmt.Sprint("order-", i))
			if reply := n.services["e1lisbon-a"].Execute(t.Context(), call); reply.Verdict != "ran" || r.runs["aurora/registry/"+call.Operation] != 1 {
				t.Errorf("%s: reply %+v", call.Operation, reply)
			}
		}
	})
}

func TestLogHoldsNoSignature(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := newNetwork(t), newRegistry()
		e1 := n.start("e1", "lisbon-a", 1, r)
		text := e1.Mint(aurora, "registry")
		e1.Execute(t.Context(), serviceCall(message.OperationCallKindTicket, text))
		ticket, _ := ParseTicket(text)
		if logged := n.log.String(); strings.Contains(logged, ticket.mac) || !strings.Contains(logged, ticket.unsigned()) {
			t.Errorf("log:\n%s", logged)
		}
	})
}
