package operation

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/panics"

	"mimosafront/internal/apierror"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
	"mimosafront/internal/verdict"
)

// Service executes non-repeatable calls, or forwards them to the host that may
// execute them. It is safe for concurrent use.
type Service struct {
	config Config
	clock  steadyClock
	runner Runner

	mu         sync.Mutex
	tickets    *Tickets
	keeper     *Keeper
	executions map[string]*execution

	// sendMu is held while a handover part is sent, so that parts are sent in
	// order.
	sendMu sync.Mutex
}

// execution is an execution in progress.
type execution struct {
	// done is closed once reply is set.
	done  chan struct{}
	reply message.OperationReply
}

// NewService returns a Service that executes nothing before SetRunner.
func NewService(c Config) *Service {
	c = c.withDefaults()
	return &Service{
		config: c,
		clock:  newSteadyClock(c.Now),
		tickets: NewTickets(TicketConfig{
			Host: c.Host, Incarnation: c.Incarnation, Key: c.Key, Lifetime: c.TicketLifetime, Limits: c.Limits,
		}),
		keeper: NewKeeper(KeeperConfig{
			Host: c.Host, Zone: c.Zone, MaxPause: c.MaxPause, MaxSkew: c.MaxSkew, Limits: c.Limits,
		}),
		executions: map[string]*execution{},
	}
}

// SetRunner sets the Runner that executes calls. It must be called before the
// first call.
func (s *Service) SetRunner(r Runner) { s.runner = r }

// Run refreshes the keeper's view until ctx ends. A keeper executes no keys if
// its view is older than Config.MaxPause.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(s.config.MaxPause / viewRefreshesPerPause)
	defer ticker.Stop()
	for {
		s.Refresh()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Refresh updates the keeper's view of the entry hosts and removes expired
// records.
func (s *Service) Refresh() {
	hosts := s.config.Forwarder.Hosts()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.keeper.SetView(now, s.keeperView(hosts))
	s.tickets.Expire(now)
}

func (s *Service) keeperView(hosts []message.Member) View {
	v := View{Zones: s.zones(), Hosts: eligibleHosts(s.config.Zone, hosts), Incarnations: map[string]int{}, Versions: map[string]int{}}
	if p := s.config.Policy(); p != nil {
		v.RetryWindow = time.Duration(p.KeyRetryWindowMs) * time.Millisecond
	}
	for _, host := range hosts {
		if host.Zone == s.config.Zone {
			v.Incarnations[host.Host], v.Versions[host.Host] = host.Incarnation, host.Version
		}
	}
	return v
}

// zones returns the sorted availability zones of the policy in force.
func (s *Service) zones() []string {
	p := s.config.Policy()
	if p == nil {
		return nil
	}
	zones := make([]string, 0, len(p.Zones))
	for zone := range p.Zones {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	return zones
}

// Mint returns the text of a new ticket for a caller and a service.
func (s *Service) Mint(caller policy.Caller, service string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ticket := s.tickets.Mint(s.clock.Now(), caller.Organisation, service)
	return ticket.String()
}

// Execute executes a caller's call on this host, or forwards it to the host
// that may execute it, and returns what is known of the operation.
func (s *Service) Execute(ctx context.Context, call message.OperationCall) message.OperationReply {
	if call.Kind == message.OperationCallKindTicket {
		return s.executeTicket(ctx, call)
	}
	if s.requiresTicket(call.Service) {
		return refusal(apierror.CodeTicketNeeded, verdict.MayHaveRun, StateNotSent,
			"the service takes operations with a ticket only")
	}
	call.KeyTimeMs = KeyTime(call.Operation)
	return s.executeKey(ctx, call)
}

// requiresTicket reports whether the policy in force forbids bare keys for a
// service.
func (s *Service) requiresTicket(service string) bool {
	p := s.config.Policy()
	return p == nil || p.Services[service].Operations != policy.ServiceOperationsTicketOrKey
}

func (s *Service) executeTicket(ctx context.Context, call message.OperationCall) message.OperationReply {
	ticket, err := ParseTicket(call.Operation)
	if err != nil {
		return refusal(apierror.CodeTicketInvalid, verdict.NotRun, StateVoid, err.Error())
	}
	if ticket.Host == s.config.Host {
		return s.executeLocally(ctx, call)
	}
	s.log(call, "forward", "host", ticket.Host)
	reply, err := s.config.Forwarder.Call(ctx, ticket.Host, call)
	if err != nil {
		s.log(call, "ticket host unreachable", "host", ticket.Host, "error", err)
		return refusal(apierror.CodeTicketHostGone, verdict.MayHaveRun, StateNotSent,
			"the entry host that the ticket names can't be reached")
	}
	return reply
}

// executeKey executes a call with a bare key at the key's keeper. While the
// keeper is being replaced, the call waits for the next one.
func (s *Service) executeKey(ctx context.Context, call message.OperationCall) message.OperationReply {
	timeout := time.NewTimer(maxKeeperWait)
	defer timeout.Stop()
	for {
		reply := s.callKeeper(ctx, call)
		if !isKeeperChanging(reply) {
			return reply
		}
		select {
		case <-ctx.Done():
			return reply
		case <-timeout.C:
			return reply
		case <-time.After(keeperPollInterval):
		}
	}
}

func (s *Service) callKeeper(ctx context.Context, call message.OperationCall) message.OperationReply {
	keeper := KeeperOfKey(call, s.zones(), s.config.Forwarder.Hosts())
	if keeper == s.config.Host {
		return s.executeLocally(ctx, call)
	}
	if keeper == "" {
		return unknownKeyReply("no entry host of the key's home zone is known")
	}
	s.log(call, "forward", "host", keeper)
	reply, err := s.config.Forwarder.Call(ctx, keeper, call)
	if err != nil {
		s.log(call, "keeper unreachable", "host", keeper, "error", err)
		return unknownKeyReply("the keeper of the key can't be reached")
	}
	return reply
}

// Handle answers a call forwarded by another entry host. It never forwards.
func (s *Service) Handle(ctx context.Context, from string, call message.OperationCall) message.OperationReply {
	reply := s.executeLocally(ctx, call)
	reply.Call = call.Call
	return reply
}

// executeLocally decides about a call on this host and acts on the decision.
func (s *Service) executeLocally(ctx context.Context, call message.OperationCall) message.OperationReply {
	if call.Kind == message.OperationCallKindKey {
		s.Refresh()
	}
	decision, running := s.begin(ctx, call)
	if decision.Action == ActionReply {
		s.log(call, "answer", "code", decision.Reply.Code, "verdict", decision.Reply.Verdict, "replayed", decision.Reply.Replayed)
		return decision.Reply
	}
	select {
	case <-running.done:
		reply := running.reply
		reply.Replayed = decision.Action == ActionWait
		return reply
	case <-ctx.Done():
		return refusal(apierror.CodeInProgress, verdict.MayHaveRun, StateUnknown, "the operation is still in progress")
	}
}

// begin decides about a call and starts its execution if the decision is
// ActionRun.
func (s *Service) begin(ctx context.Context, call message.OperationCall) (Decision, *execution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decision := s.decide(s.clock.Now(), call)
	switch decision.Action {
	case ActionWait:
		return decision, s.executions[decision.ID]
	case ActionRun:
		e := &execution{done: make(chan struct{})}
		s.executions[decision.ID] = e
		go s.run(ctx, call, decision.ID, e)
		return decision, e
	}
	return decision, nil
}

func (s *Service) decide(now time.Time, call message.OperationCall) Decision {
	if call.Kind == message.OperationCallKindKey {
		return s.keeper.Begin(now, call)
	}
	ticket, err := ParseTicket(call.Operation)
	if err != nil {
		return replyNow(refusal(apierror.CodeTicketInvalid, verdict.NotRun, StateVoid, err.Error()))
	}
	if ticket.Host != s.config.Host || ticket.Incarnation != s.config.Incarnation {
		return replyNow(refusal(apierror.CodeTicketHostGone, verdict.MayHaveRun, StateNotSent,
			"the entry host that the ticket names has restarted since"))
	}
	return s.tickets.Begin(now, ticket, call)
}

// run executes a call to its end, even if the caller disconnects: the answer is
// kept for the caller's retry.
func (s *Service) run(ctx context.Context, call message.OperationCall, id string, e *execution) {
	limit := defaultExecutionTimeout
	if call.DeadlineMs > 0 {
		limit = time.Duration(call.DeadlineMs) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	s.log(call, "execute")
	reply := s.invokeRunner(ctx, call, id)
	s.log(call, "executed", "code", reply.Code, "verdict", reply.Verdict)

	s.mu.Lock()
	defer s.mu.Unlock()
	if call.Kind == message.OperationCallKindKey {
		s.keeper.Finish(s.clock.Now(), id, reply)
	} else {
		s.tickets.Finish(id, reply)
	}
	e.reply = withState(reply, stateOf(reply))
	delete(s.executions, id)
	close(e.done)
}

// invokeRunner passes the call to the runner under an ID that is unique in the
// fleet. A panic is an unknown outcome.
func (s *Service) invokeRunner(ctx context.Context, call message.OperationCall, id string) message.OperationReply {
	if s.runner == nil {
		return refusal(apierror.CodeInternal, verdict.NotRun, StateVoid, ErrNoRunner.Error())
	}
	call.Operation = id
	call.Fencing = FencingNumber(call)
	var reply message.OperationReply
	var catcher panics.Catcher
	catcher.Try(func() { reply = s.runner.RunOperation(ctx, call) })
	if recovered := catcher.Recovered(); recovered != nil {
		s.config.Logger.Error("operation panicked", "operation", id, "panic", recovered.String())
		return refusal(apierror.CodeInternal, verdict.MayHaveRun, StateUnknown, "internal error")
	}
	return reply
}

// Wait blocks until no execution is in progress or ctx ends.
func (s *Service) Wait(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.executionsInProgress() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (s *Service) executionsInProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.executions)
}

// log writes a decision line, without the signature of a ticket.
func (s *Service) log(call message.OperationCall, decision string, fields ...any) {
	id := call.Operation
	if call.Kind == message.OperationCallKindTicket {
		if ticket, err := ParseTicket(id); err == nil {
			id = ticket.unsigned()
		}
	}
	fields = append([]any{"operation", id, "kind", call.Kind, "organisation", call.Organisation, "service", call.Service}, fields...)
	s.config.Logger.Decision(time.Now(), "operation: "+decision, fields...)
}
