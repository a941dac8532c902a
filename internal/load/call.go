package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"mimosafront/internal/verdict"
)

// call runs one call of a plain service. A call that may not be repeated first
// gets a ticket from the same host.
func (c *client) call(ctx context.Context, host string, r *Request, record *Record) {
	root := "http://" + host + "/services/" + r.Target
	ticket := ""
	if r.Method == http.MethodPost {
		var ok bool
		if ticket, ok = c.mint(ctx, root, r, record); !ok {
			return
		}
	}
	body := ""
	if r.Method == http.MethodPost {
		body = fmt.Sprintf(`{"coin":"%s-%d","from":"%s","to":"%s"}`, r.Stream, r.number, r.Organisation, r.Caller)
	}
	request, err := c.newRequest(ctx, r.Method, root+r.Path, body, r)
	if err != nil {
		record.Outcome = Failed
		return
	}
	if ticket != "" {
		request.Header.Set(headerTicket, ticket)
	}
	response, err := c.http.Do(request)
	if err != nil {
		record.Outcome, record.Code = Failed, "no_answer"
		return
	}
	defer response.Body.Close()
	record.note(response)
	if response.StatusCode >= http.StatusBadRequest && record.Verdict != string(verdict.Ran) {
		record.refuse(response)
		return
	}
	record.FirstTokenMs = c.since(r)
	record.Outcome = Good
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		record.Outcome = Failed
	}
}

type ticketReply struct {
	Ticket string `json:"ticket"`
}

func (c *client) mint(ctx context.Context, root string, r *Request, record *Record) (string, bool) {
	request, err := c.newRequest(ctx, http.MethodPost, root+"/tickets", "", r)
	if err != nil {
		record.Outcome = Failed
		return "", false
	}
	response, err := c.http.Do(request)
	if err != nil {
		record.Outcome, record.Code = Failed, "no_answer"
		return "", false
	}
	defer response.Body.Close()
	var reply ticketReply
	if response.StatusCode >= http.StatusBadRequest || json.NewDecoder(response.Body).Decode(&reply) != nil {
		record.note(response)
		record.refuse(response)
		return "", false
	}
	return reply.Ticket, true
}
