package front

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"mimosafront/internal/apierror"
	"mimosafront/internal/policy"
	"mimosafront/internal/tokens"
	"mimosafront/internal/verdict"
)

// nonTextPartTokens is the estimated length, in tokens, of an image or another part
// that is not text.
const nonTextPartTokens = 512

// chatRequest is the part of a chat completion request that the front reads.
type chatRequest struct {
	Model               string
	Stream              bool
	MaxTokens           *int
	MaxCompletionTokens *int
	N                   *int
	Messages            []chatMessage

	// fields are all fields of the body, including those that the front forwards
	// without reading.
	fields map[string]json.RawMessage
	// prompt is the concatenated text of all messages.
	prompt string
	// nonTextParts is the number of message parts that are not text.
	nonTextParts int
	// otherBytes is the total length of the fields that the front does not read. Some
	// of them, such as tool descriptions, are part of the prompt.
	otherBytes int
}

// chatMessage is one message of a conversation.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// contentPart is one part of a message whose content is a list.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// parseChat parses and validates the body of a chat completion request.
func parseChat(body []byte) (*chatRequest, *apierror.Error) {
	c := &chatRequest{}
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return nil, malformed("the body is not a JSON object: %v", err)
	}
	if err := c.readFields(); err != nil {
		return nil, err
	}
	if c.Model == "" {
		return nil, malformed("the body names no model")
	}
	if len(c.Messages) == 0 {
		return nil, malformed("the body has no messages")
	}
	for _, number := range []*int{c.MaxTokens, c.MaxCompletionTokens, c.N} {
		if number != nil && *number < 1 {
			return nil, malformed("max_tokens and n are at least 1; the body has %d", *number)
		}
	}
	return c, c.readPrompt()
}

// readFields parses the fields that the front needs. It refuses a field whose name
// differs from a known one only in case: an engine may treat the two as different
// fields, so that front and engine would read different values.
func (c *chatRequest) readFields() *apierror.Error {
	targets := map[string]any{
		"model": &c.Model, "stream": &c.Stream, "max_tokens": &c.MaxTokens,
		"max_completion_tokens": &c.MaxCompletionTokens, "n": &c.N, "messages": &c.Messages,
	}
	for name, value := range c.fields {
		lower := strings.ToLower(name)
		target, known := targets[lower]
		if !known {
			c.otherBytes += len(value)
			continue
		}
		if name != lower {
			return malformed("the field %s is written in lower case", lower)
		}
		if err := json.Unmarshal(value, target); err != nil {
			return malformed("the field %s has the wrong type", name)
		}
	}
	return nil
}

// malformed returns the error for a request that the front cannot parse.
func malformed(format string, args ...any) *apierror.Error {
	return apierror.New(apierror.CodeMalformed, verdict.NotRun, format, args...)
}

// readPrompt concatenates the text of the messages. The content of a message is a
// string or a list of parts.
func (c *chatRequest) readPrompt() *apierror.Error {
	var prompt strings.Builder
	for i, message := range c.Messages {
		prompt.WriteString(message.Role + "\n")
		content := bytes.TrimSpace(message.Content)
		switch {
		case len(content) == 0 || string(content) == "null":
		case content[0] == '"':
			var text string
			if err := json.Unmarshal(content, &text); err != nil {
				return malformed("message %d: %v", i, err)
			}
			prompt.WriteString(text)
		default:
			var parts []contentPart
			if err := json.Unmarshal(content, &parts); err != nil {
				return malformed("message %d: content is neither a string nor a list of parts", i)
			}
			c.writeParts(&prompt, parts)
		}
		prompt.WriteString("\n")
	}
	c.prompt = prompt.String()
	return nil
}

// writeParts appends the text parts to the prompt and counts the others.
func (c *chatRequest) writeParts(prompt *strings.Builder, parts []contentPart) {
	for _, part := range parts {
		if part.Type == "text" {
			prompt.WriteString(part.Text)
			continue
		}
		c.nonTextParts++
	}
}

// outputLimit returns the output limit that the caller set, in tokens, or 0 for none.
func (c *chatRequest) outputLimit() int {
	switch {
	case c.MaxCompletionTokens != nil:
		return *c.MaxCompletionTokens
	case c.MaxTokens != nil:
		return *c.MaxTokens
	}
	return 0
}

// work estimates the work of the request. It returns an error if the context of the
// model is too small for the request.
func (c *chatRequest) work(model policy.Model) (work, *apierror.Error) {
	w := work{
		promptTokens: tokens.Estimate(c.prompt) + c.nonTextParts*nonTextPartTokens + c.otherBytes/tokens.BytesPerToken,
		outputTokens: model.OutputTokens,
		prefixes:     prefixHashes(c.Model, c.prompt),
		fingerprint:  contentHash(c),
	}
	if limit := c.outputLimit(); limit > 0 {
		w.outputTokens = limit
	}
	if c.N != nil {
		w.outputTokens *= *c.N
	}
	if model.ContextTokens > 0 && w.promptTokens+c.outputLimit() > model.ContextTokens {
		return w, apierror.New(apierror.CodeInfeasible, verdict.NotRun,
			"the request needs about %d tokens; %s holds %d", w.promptTokens+c.outputLimit(), model.Name, model.ContextTokens)
	}
	return w, nil
}

// engineBody returns the body for the engine: the body of the caller with streaming and
// usage reports turned on. The front always streams from engines, so that it can
// observe progress and detect silence, and assembles unstreamed answers itself.
func (c *chatRequest) engineBody() ([]byte, error) {
	c.fields["stream"] = json.RawMessage("true")
	c.fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	var body bytes.Buffer
	separator := byte('{')
	for _, name := range slices.Sorted(maps.Keys(c.fields)) {
		quoted, err := json.Marshal(name)
		if err != nil {
			return nil, err
		}
		body.WriteByte(separator)
		body.Write(quoted)
		body.WriteByte(':')
		body.Write(c.fields[name])
		separator = ','
	}
	body.WriteByte('}')
	return body.Bytes(), nil
}
