package front

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	sse "github.com/tmaxmax/go-sse"

	"mimosafront/internal/apierror"
	"mimosafront/internal/verdict"
)

// answer is what a caller saw of one request.
type answer struct {
	id      string
	status  int
	verdict verdict.Verdict
	code    apierror.Code
	// whole is set if the answer has its end marker and its body is complete.
	whole bool
	text  string
	err   error
}

type completion struct {
	Choices []struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
	}
	Error *apierror.BodyError
}

// post sends a request and returns the response.
func (p *process) post(path, body string, headers ...string) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer demo-head-engraver")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return http.DefaultClient.Do(request)
}

// complete sends a prompt. seen is called with each token of a stream.
func (p *process) complete(prompt string, stream bool, outputTokens int, seen func(n int), headers ...string) answer {
	body := fmt.Sprintf(`{"model":"writer","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, outputTokens, prompt)
	response, err := p.post("/v1/chat/completions", body, headers...)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	a := answer{
		id:      response.Header.Get("Mimosa-Request-Id"),
		status:  response.StatusCode,
		verdict: verdict.Verdict(response.Header.Get("Mimosa-Verdict")),
	}
	if stream && response.StatusCode == http.StatusOK {
		a.readStream(response, seen)
		return a
	}
	a.readWhole(response)
	return a
}

func (a *answer) readWhole(response *http.Response) {
	text, err := io.ReadAll(response.Body)
	var c completion
	if a.err = err; err != nil || json.Unmarshal(text, &c) != nil {
		return
	}
	if c.Error != nil {
		a.code, a.verdict = c.Error.Code, c.Error.Verdict
		return
	}
	a.whole = len(c.Choices) == 1
	for _, choice := range c.Choices {
		a.text += choice.Message.Content
	}
}

func (a *answer) readStream(response *http.Response, seen func(n int)) {
	tokens, done := 0, false
	for event, err := range sse.Read(response.Body, nil) {
		if err != nil {
			a.err = err
			break
		}
		if event.Data == "[DONE]" {
			done = true
			continue
		}
		var c completion
		if json.Unmarshal([]byte(event.Data), &c) != nil {
			continue
		}
		if event.Type == "error" {
			a.code, a.verdict = c.Error.Code, c.Error.Verdict
		}
		for _, choice := range c.Choices {
			if a.text += choice.Delta.Content; choice.Delta.Content != "" {
				tokens++
				seen(tokens)
			}
		}
	}
	// Reading the rest tells a complete body from an aborted one.
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		a.err = err
	}
	if trailer := response.Trailer.Get("Mimosa-Verdict"); trailer != "" {
		a.verdict = verdict.Verdict(trailer)
	}
	a.whole = done && a.err == nil
}

// get returns the status of a page for operators.
func (p *process) get(t *testing.T, path string) int {
	t.Helper()
	response, err := http.Get("http://" + p.admin + path)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}
