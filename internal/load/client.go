package load

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tmaxmax/go-sse"

	"mimosafront/internal/apierror"
	"mimosafront/internal/chat"
	"mimosafront/internal/standin/engine"
	"mimosafront/internal/verdict"
)

// maxErrorBytes bounds the error body that is read.
const maxErrorBytes = 64 << 10

// Headers of the protocol towards callers.
const (
	headerTier      = "Mimosa-Tier"
	headerDeadline  = "Mimosa-Deadline-Ms"
	headerTicket    = "Mimosa-Ticket"
	headerRequestID = "Mimosa-Request-Id"
	headerServer    = "Mimosa-Server"
	headerVerdict   = "Mimosa-Verdict"
)

// client sends planned requests to entry hosts.
type client struct {
	http      *http.Client
	keyPrefix string
	begin     time.Time
}

func newClient(keyPrefix string, begin time.Time) *client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxInFlight,
		DisableCompression:  true,
		IdleConnTimeout:     time.Minute,
	}
	return &client{http: &http.Client{Transport: transport}, keyPrefix: keyPrefix, begin: begin}
}

// send runs one request against a host and records what came of it.
func (c *client) send(ctx context.Context, host string, r *Request) Record {
	record := Record{
		AtMs: milliseconds(r.At), Stream: r.Stream, Group: r.Group, Organisation: r.Organisation,
		Caller: r.Caller, Tier: r.Tier, Service: r.Service,
		PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
	}
	record.SentMs = c.since(r)
	if r.Service {
		c.call(ctx, host, r, &record)
	} else {
		c.chat(ctx, host, r, &record)
	}
	record.TotalMs = c.since(r)
	if record.Outcome == Good && r.Deadline > 0 && record.TotalMs > milliseconds(r.Deadline) {
		record.Outcome = Late
	}
	return record
}

// since returns the time since the intended time of a request.
func (c *client) since(r *Request) float64 {
	return milliseconds(time.Since(c.begin) - r.At)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (c *client) newRequest(ctx context.Context, method, url, body string, r *Request) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.keyPrefix+r.Caller)
	request.Header.Set("Content-Type", "application/json")
	if r.Tier != "" {
		request.Header.Set(headerTier, r.Tier)
	}
	if r.Deadline > 0 {
		request.Header.Set(headerDeadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
	return request, nil
}

func (c *client) chat(ctx context.Context, host string, r *Request, record *Record) {
	prompt := r.prompt()
	// The limit is what a caller asks for, the answer is mostly shorter.
	body, err := chat.Body(r.Target, prompt, 2*r.OutputTokens)
	if err != nil {
		record.Outcome = Failed
		return
	}
	request, err := c.newRequest(ctx, http.MethodPost, "http://"+host+chat.Path, string(body), r)
	if err != nil {
		record.Outcome = Failed
		return
	}
	response, err := c.http.Do(request)
	if err != nil {
		record.Outcome, record.Code = Failed, "no_answer"
		return
	}
	defer response.Body.Close()
	record.note(response)
	if response.StatusCode != http.StatusOK {
		record.refuse(response)
		return
	}
	text, whole := c.readStream(response, r, record)
	if value := response.Trailer.Get(headerVerdict); value != "" {
		record.Verdict = value
	}
	record.Outcome = Failed
	if record.Verdict == string(verdict.NotRun) {
		record.Outcome = Refused
	}
	if whole {
		record.Outcome = Wrong
		if text == engine.Answer(xxhash.Sum64String(prompt), r.OutputTokens) {
			record.Outcome = Good
		}
	}
}

// readStream returns the text of a stream and whether its end marker came.
func (c *client) readStream(response *http.Response, r *Request, record *Record) (string, bool) {
	var text strings.Builder
	last := 0.0
	for event, err := range sse.Read(response.Body, nil) {
		if err != nil {
			return text.String(), false
		}
		if event.Data == chat.EndOfStream {
			_, err := io.Copy(io.Discard, response.Body)
			return text.String(), err == nil
		}
		chunk, err := chat.ParseChunk(event.Data)
		if err != nil || len(chunk.Choices) == 0 {
			record.noteError([]byte(event.Data))
			continue
		}
		if content := chunk.Text(); content != "" {
			text.WriteString(content)
			last = record.noteToken(c.since(r), last)
		}
	}
	return text.String(), false
}

// noteToken records a token at a time and returns it.
func (r *Record) noteToken(now, last float64) float64 {
	r.Tokens++
	if r.Tokens == 1 {
		r.FirstTokenMs = now
		return now
	}
	gap := now - last
	r.MaxGapMs = max(r.MaxGapMs, gap)
	if gap > milliseconds(GapTarget) {
		r.LateGaps++
	}
	return now
}

func (r *Record) note(response *http.Response) {
	r.Status = response.StatusCode
	r.ID = response.Header.Get(headerRequestID)
	r.Server = response.Header.Get(headerServer)
	r.Verdict = response.Header.Get(headerVerdict)
}

// refuse records an answer with an error status.
func (r *Record) refuse(response *http.Response) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		r.Outcome = Failed
		return
	}
	r.noteError(body)
	r.Outcome = Failed
	if r.Verdict == string(verdict.NotRun) {
		r.Outcome = Refused
	}
}

func (r *Record) noteError(body []byte) {
	var content apierror.Body
	if json.Unmarshal(body, &content) != nil || content.Error.Code == "" {
		return
	}
	r.Code = string(content.Error.Code)
	r.RetryAfterMs = float64(content.Error.RetryAfterMs)
	r.Verdict = string(content.Error.Verdict)
}
