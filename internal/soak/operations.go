package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"mimosafront/internal/client"
	"mimosafront/internal/operation"
	"mimosafront/internal/sleep"
	"mimosafront/internal/verdict"
)

const (
	// operationCallers is the number of closed-loop callers of each kind.
	operationCallers = 2
	operationPause   = 30 * time.Millisecond
	// operationDeadline and operationTimeout bound one attempt.
	operationDeadline = 2 * time.Second
	operationTimeout  = 3 * time.Second
)

// operationCounts counts the verdicts that callers received.
type operationCounts map[verdict.Verdict]int

// operations sends handovers, the operations of the stand-in registry, under tickets
// and under idempotency keys. It records the received verdicts by request body.
type operations struct {
	fleet  *fleet
	http   *http.Client
	number atomic.Int64

	mu       sync.Mutex
	verdicts map[string][]verdict.Verdict
}

func newOperations(f *fleet) *operations {
	return &operations{
		fleet: f, verdicts: map[string][]verdict.Verdict{},
		http: &http.Client{Timeout: operationTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// run sends operations until ctx ends.
func (o *operations) run(ctx context.Context) {
	var group conc.WaitGroup
	for range operationCallers {
		group.Go(func() { o.loop(ctx, o.sendTicket) })
		group.Go(func() { o.loop(ctx, o.sendKeyTwice) })
	}
	group.Wait()
}

func (o *operations) loop(ctx context.Context, send func(n int64)) {
	for ctx.Err() == nil {
		send(o.number.Add(1))
		sleep.For(ctx, operationPause)
	}
}

func handover(kind string, n int64) string {
	return fmt.Sprintf(`{"coin":"%s-%d","from":"north","to":"south"}`, kind, n)
}

func (o *operations) recordVerdict(body string, v verdict.Verdict) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.verdicts[body] = append(o.verdicts[body], v)
}

// sendTicket sends a handover with a ticket through the client library, which retries
// through other hosts.
func (o *operations) sendTicket(n int64) {
	hosts, addresses := map[string]string{}, []string{}
	for i := range hostNames {
		h := o.fleet.hosts[hostNames[(int(n)+i)%len(hostNames)]]
		hosts[h.name] = "http://" + h.front
		addresses = append(addresses, hosts[h.name])
	}
	c := client.New(client.Config{
		Addresses: addresses, Hosts: hosts, Key: keyPrefix + "north", Tier: tiers[0], Deadline: operationDeadline, HTTP: o.http,
	})
	body := handover("ticket", n)
	_, err := c.Do(context.Background(), client.Call{Service: service, Method: http.MethodPost, Path: "/handovers", Body: []byte(body)})
	if err == nil {
		o.recordVerdict(body, verdict.Ran)
		return
	}
	o.recordVerdict(body, err.Verdict)
}

// sendKeyTwice sends a handover twice under one idempotency key, through random
// hosts, concurrently or in sequence.
func (o *operations) sendKeyTwice(n int64) {
	key := fmt.Sprintf("%d-%d", time.Now().UnixMilli(), n)
	var group conc.WaitGroup
	for range 2 {
		h := o.fleet.hosts[hostNames[rand.IntN(len(hostNames))]]
		group.Go(func() { o.sendKey(h, key, handover("key", n)) })
		if n%2 == 0 {
			group.Wait()
		}
	}
	group.Wait()
}

func (o *operations) sendKey(h *host, key, body string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+h.front+"/services/"+service+"/handovers", strings.NewReader(body))
	if err != nil {
		return
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+keyPrefix+"north")
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set("Mimosa-Deadline-Ms", fmt.Sprint(operationDeadline.Milliseconds()))
	response, err := o.http.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return
	}
	v := verdict.Verdict(response.Header.Get("Mimosa-Verdict"))
	// A refusal applies to this attempt only, unless the key is void.
	if v == verdict.NotRun && operation.State(response.Header.Get(operation.HeaderState)) != operation.StateVoid {
		return
	}
	o.recordVerdict(body, v)
}
