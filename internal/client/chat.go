package client

import (
	"context"
	"io"
	"net/http"

	"github.com/tmaxmax/go-sse"

	"mimosafront/internal/chat"
	"mimosafront/internal/verdict"
)

// Chat is a request to a model.
type Chat struct {
	Model  string
	Prompt string
	// MaxTokens bounds the answer; 0 leaves it to the policy.
	MaxTokens int
}

// Chat sends a request once and writes the answer as it comes. An answer without
// its end marker is an error: it was cut.
func (c *Client) Chat(ctx context.Context, request Chat, w io.Writer) *Error {
	body, err := chat.Body(request.Model, request.Prompt, request.MaxTokens)
	if err != nil {
		return &Error{Message: err.Error(), Verdict: verdict.NotRun, Cause: err}
	}
	header := http.Header{"Content-Type": {"application/json"}}
	response, postErr := c.post(ctx, http.MethodPost, c.address()+chat.Path, body, header)
	if postErr != nil {
		return postErr
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errorOf(response)
	}
	return copyAnswer(response.Body, w)
}

func copyAnswer(body io.Reader, w io.Writer) *Error {
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return &Error{Message: "the answer was cut", Verdict: verdict.MayHaveRun, Cause: err}
		}
		if event.Data == chat.EndOfStream {
			return nil
		}
		chunk, err := chat.ParseChunk(event.Data)
		if err != nil {
			return &Error{Message: "the answer is malformed", Verdict: verdict.MayHaveRun, Cause: err}
		}
		if e := chunk.Error; e != nil {
			return &Error{Code: e.Code, Message: e.Message, Verdict: e.Verdict}
		}
		if _, err := io.WriteString(w, chunk.Text()); err != nil {
			return &Error{Message: err.Error(), Verdict: verdict.MayHaveRun, Cause: err}
		}
	}
	return &Error{Message: "the answer was cut", Verdict: verdict.MayHaveRun}
}
