package backend

import (
	"encoding/json"
	"errors"
	"io"
	"iter"
	"strings"

	sse "github.com/tmaxmax/go-sse"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// doneMarker is the data of the event that ends a whole stream.
const doneMarker = "[DONE]"

// Usage is an engine's account of a request, in tokens.
type Usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	PromptTokensDetails PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails is the part of the prompt that the engine had cached, in tokens.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Chunk is one event of a streamed completion.
type Chunk struct {
	// Data is the event's JSON text as the engine sent it.
	Data string
	// ID is the engine's id of the completion.
	ID string
	// Token reports whether the chunk carries output.
	Token bool
	// Finished reports whether a choice of the completion is complete.
	Finished bool
	// Usage is set on the last chunk.
	Usage *Usage
}

// errEngine is an error event within a stream.
var errEngine = errors.New("engine reported an error within the stream")

// chunkFields are the fields of a chunk that the front looks at.
type chunkFields struct {
	ID      string        `json:"id"`
	Choices []chunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage"`
	Error   jsonPresence  `json:"error"`
}

type chunkChoice struct {
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Content   string       `json:"content"`
	Reasoning string       `json:"reasoning_content"`
	ToolCalls jsonPresence `json:"tool_calls"`
}

// jsonPresence records that a field is there and not null, without its value.
type jsonPresence bool

// UnmarshalJSON sets the presence of a field.
func (p *jsonPresence) UnmarshalJSON(text []byte) error {
	*p = string(text) != "null"
	return nil
}

// parseChunk reads one event's data.
func parseChunk(data string) (Chunk, error) {
	var fields chunkFields
	if err := json.Unmarshal([]byte(data), &fields); err != nil {
		return Chunk{}, err
	}
	if fields.Error {
		return Chunk{}, errEngine
	}
	chunk := Chunk{Data: data, ID: fields.ID, Usage: fields.Usage}
	for _, choice := range fields.Choices {
		delta := choice.Delta
		chunk.Token = chunk.Token || delta.Content != "" || delta.Reasoning != "" || bool(delta.ToolCalls)
		chunk.Finished = chunk.Finished || choice.FinishReason != nil
	}
	return chunk, nil
}

// malformedError wraps a fault in a chunk, as opposed to one of the connection.
type malformedError struct{ error }

func (e malformedError) Unwrap() error { return e.error }

// chunkPattern is the text of a chunk around its content. Most chunks of a stream
// differ in the content alone, so that only the first of them needs decoding.
type chunkPattern struct {
	before, after string
	chunk         Chunk
}

// contentKey precedes the content of a chunk. In valid JSON an unescaped quote
// can't stand within a string, so that this is a key wherever it stands.
const contentKey = `"content":"`

// parse reads one event's data.
func (p *chunkPattern) parse(data string) (Chunk, error) {
	if p.matches(data) {
		chunk := p.chunk
		chunk.Data = data
		return chunk, nil
	}
	chunk, err := parseChunk(data)
	if err == nil {
		p.set(chunk)
	}
	return chunk, err
}

// matches reports whether data is the pattern with another content, which needs
// no decoding itself.
func (p *chunkPattern) matches(data string) bool {
	if p.before == "" || len(data) <= len(p.before)+len(p.after) {
		return false
	}
	if !strings.HasPrefix(data, p.before) || !strings.HasSuffix(data, p.after) {
		return false
	}
	return isUnescaped(data[len(p.before) : len(data)-len(p.after)])
}

// set takes a decoded chunk as the pattern if it has content in one place.
func (p *chunkPattern) set(chunk Chunk) {
	*p = chunkPattern{}
	before, rest, found := strings.Cut(chunk.Data, contentKey)
	end := strings.IndexByte(rest, '"')
	if !found || end <= 0 || !isUnescaped(rest[:end]) || !chunk.Token || chunk.Finished || chunk.Usage != nil {
		return
	}
	p.before, p.after, p.chunk = before+contentKey, rest[end:], chunk
}

// isUnescaped reports whether text stands for itself within a JSON string.
func isUnescaped(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' || text[i] == '"' || text[i] == '\\' {
			return false
		}
	}
	return true
}

// readChunks yields the chunks of a stream. A stream that ends without the
// marker of a whole stream yields io.ErrUnexpectedEOF last; a whole one yields
// no error.
func readChunks(r io.Reader) iter.Seq2[Chunk, error] {
	return func(yield func(Chunk, error) bool) {
		var pattern chunkPattern
		for event, err := range sse.Read(r, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
			if err != nil {
				yield(Chunk{}, err)
				return
			}
			if event.Data == doneMarker {
				return
			}
			if event.Data == "" {
				continue
			}
			chunk, err := pattern.parse(event.Data)
			if err != nil {
				yield(Chunk{}, malformedError{err})
				return
			}
			if !yield(chunk, nil) {
				return
			}
		}
		yield(Chunk{}, io.ErrUnexpectedEOF)
	}
}
