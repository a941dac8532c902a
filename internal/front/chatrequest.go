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

// nonTextPartTokens is the estimated length of an image or other part that isn't
// text, in tokens.
const nonTextPartTokens = 512

// chatRequest is the part of a chat completion request that the front reads.
type chatRequest struct {
	Model               string
	Stream              bool
	MaxTokens           *int
	MaxCompletionTokens *int
	N                   *int
	Messages            []chatMessage

	// fields are all fields of the body, to forward those that aren't read.
	fields map[string]json.RawMessage
	// prompt is the text of all messages.
	prompt string
	// nonTextParts counts the parts that aren't text.
	nonTextParts int
	// otherBytes is the length of the fields that aren't read, such as the
	// descriptions of tools, which are part of the prompt too.
	otherBytes int
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// parseChat reads a request body.
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

// readFields reads the fields that the front needs. It refuses one whose name
// differs by its case only: the front would read it and an engine might not.
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

func malformed(format string, args ...any) *apierror.Error {
	return apierror.New(apierror.CodeMalformed, verdict.NotRun, format, args...)
}

// readPrompt joins the text of the messages. Content is a string or a list of
// parts.
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

func (c *chatRequest) writeParts(prompt *strings.Builder, parts []contentPart) {
	for _, part := range parts {
		if part.Type == "text" {
			prompt.WriteString(part.Text)
			continue
		}
		c.nonTextParts++
	}
}

// outputLimit returns the most output that the caller asks for, in tokens, or 0.
func (c *chatRequest) outputLimit() int {
	switch {
	case c.MaxCompletionTokens != nil:
		return *c.MaxCompletionTokens
	case c.MaxTokens != nil:
		return *c.MaxTokens
	}
	return 0
}

// work estimates the request's work. It fails for a request that the model can
// never serve.
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

// engineBody returns the body for the engine: the caller's, with a stream and
// its usage asked for. The front always streams from engines, so that it sees
// progress and silence, and assembles whole answers itself.
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
