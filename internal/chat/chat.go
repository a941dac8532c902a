// Package chat holds the part of the chat completion protocol that callers use:
// the body of a streamed request and the events of its answer.
package chat

import (
	"encoding/json"

	"mimosafront/internal/apierror"
)

// Path is where entry hosts take requests.
const Path = "/v1/chat/completions"

// EndOfStream is the data of the event that ends a whole answer.
const EndOfStream = "[DONE]"

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type request struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens,omitempty"`
}

// Body returns the body of a request for a streamed answer to one prompt, of at
// most maxTokens tokens. With 0 the policy of the entry host decides.
func Body(model, prompt string, maxTokens int) ([]byte, error) {
	return json.Marshal(request{
		Model: model, Stream: true, MaxTokens: maxTokens,
		Messages: []message{{Role: "user", Content: prompt}},
	})
}

// Chunk is one event of a streamed answer: a part of it, or its error.
type Chunk struct {
	Choices []struct {
		Delta message `json:"delta"`
	} `json:"choices"`
	Error *apierror.BodyError `json:"error"`
}

// ParseChunk reads the data of an event.
func ParseChunk(data string) (Chunk, error) {
	var c Chunk
	err := json.Unmarshal([]byte(data), &c)
	return c, err
}

// Text returns the part of the answer, which is empty in the first and last event.
func (c Chunk) Text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content
}
