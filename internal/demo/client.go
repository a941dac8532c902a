package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	sse "github.com/tmaxmax/go-sse"

	"mimosafront/internal/chat"
	"mimosafront/internal/front"
	"mimosafront/internal/verdict"
)

// result is how one request ended, as its caller saw it.
type result struct {
	association  string
	organisation string
	caller       string
	tier         string
	what         string
	want         int
	status       int
	verdict      verdict.Verdict
	server       string
	tokens       int
	firstToken   time.Duration
	total        time.Duration
	text         string
}

// client sends the requests of one association's callers.
type client struct {
	http  *http.Client
	url   string
	model string
}

// call is one HTTP request of a caller.
type call struct {
	method string
	path   string
	key    string
	body   []byte
	header map[string]string
}

func (c *client) do(ctx context.Context, call call) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, call.method, c.url+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+call.key)
	r.Header.Set("Content-Type", "application/json")
	for name, value := range call.header {
		r.Header.Set(name, value)
	}
	return c.http.Do(r)
}

// complete sends one text and reads the streamed answer.
func (c *client) complete(ctx context.Context, r request) result {
	answer := result{caller: r.caller, tier: r.tier, what: r.what, want: r.want, verdict: verdict.NotRun}
	body, err := chat.Body(c.model, r.prompt, r.maxTokens)
	if err != nil {
		answer.text = err.Error()
		return answer
	}
	started := time.Now()
	response, err := c.do(ctx, call{
		method: http.MethodPost, path: chat.Path, key: r.key, body: body,
		header: map[string]string{front.HeaderTier: r.tier},
	})
	if err != nil {
		answer.text = err.Error()
		return answer
	}
	defer response.Body.Close()
	answer.readHead(response)
	if response.StatusCode == http.StatusOK {
		answer.readStream(response.Body, started)
		answer.verdict = verdict.Verdict(response.Trailer.Get(front.HeaderVerdict))
	} else {
		answer.readText(response.Body)
	}
	answer.total = time.Since(started)
	return answer
}

func (r *result) readHead(response *http.Response) {
	r.status = response.StatusCode
	r.server = response.Header.Get(front.HeaderServer)
	r.verdict = verdict.Verdict(response.Header.Get(front.HeaderVerdict))
}

func (r *result) readText(body io.Reader) {
	text, err := io.ReadAll(body)
	r.text = strings.TrimSpace(string(text))
	if err != nil {
		r.text += " " + err.Error()
	}
}

// readStream joins the tokens of a streamed answer.
func (r *result) readStream(body io.Reader, started time.Time) {
	var text strings.Builder
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			text.WriteString(" [" + err.Error() + "]")
			break
		}
		chunk, err := chat.ParseChunk(event.Data)
		if err != nil || chunk.Text() == "" {
			continue
		}
		if r.tokens == 0 {
			r.firstToken = time.Since(started)
		}
		r.tokens++
		text.WriteString(chunk.Text())
	}
	r.text = strings.TrimSpace(text.String())
}

// runOperation mints a ticket, records an operation with it, sends the same
// operation again, as a caller does that lost the answer, and looks it up.
func (c *client) runOperation(ctx context.Context, p plan) []result {
	root := "/services/" + p.service
	key := "demo-" + p.operator
	tier := map[string]string{front.HeaderTier: p.tier}
	mint := call{method: http.MethodPost, path: root + "/tickets", key: key, header: tier}
	ticket := c.simple(ctx, p, mint, "ticket", http.StatusCreated)
	var minted struct {
		Ticket string `json:"ticket"`
	}
	if err := json.Unmarshal([]byte(ticket.text), &minted); err != nil {
		return []result{ticket}
	}
	operation := call{
		method: http.MethodPost, path: root + p.path, key: key, body: []byte(p.body),
		header: map[string]string{front.HeaderTier: p.tier, front.HeaderTicket: minted.Ticket},
	}
	lookup := call{method: http.MethodGet, path: root + p.lookup, key: key, header: tier}
	return []result{
		ticket,
		c.simple(ctx, p, operation, "operation", http.StatusCreated),
		c.simple(ctx, p, operation, "operation, sent again", http.StatusCreated),
		c.simple(ctx, p, lookup, "lookup", http.StatusOK),
	}
}

// simple makes a call of the plain service.
func (c *client) simple(ctx context.Context, p plan, call call, what string, want int) result {
	answer := result{caller: p.operator, tier: p.tier, what: what, want: want, verdict: verdict.NotRun}
	started := time.Now()
	response, err := c.do(ctx, call)
	if err != nil {
		answer.text = err.Error()
		return answer
	}
	defer response.Body.Close()
	answer.readHead(response)
	answer.readText(response.Body)
	if response.Header.Get(front.HeaderReplayed) != "" {
		answer.what += " (answer replayed)"
	}
	answer.total = time.Since(started)
	return answer
}
