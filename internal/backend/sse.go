package backend

import (
	"encoding/json"
	"errors"
	"io"
	"iter"
	"strings"

	sse "github.com/tmaxmax/go-sse"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

// doneMarker is the data of the event that ends a complete stream.
const doneMarker = "[DONE]"

// Usage is the number of tokens that an engine counted for a request.
type Usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	PromptTokensDetails PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails contains the number of prompt tokens that were in the engine's cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Chunk is one event of a streamed completion.
type Chunk struct {
	// Data is the event's JSON text, unchanged.
	Data string
	// ID is the engine's id of the completion.
	ID string
	// Token is set if the chunk carries output.
	Token bool
	// Finished is set if the chunk completes a choice.
	Finished bool
	// Usage is the token count, which engines send with the last chunk; otherwise nil.
	Usage *Usage
}

// errEngine is the error for an error event in a stream.
var errEngine = errors.New("engine reported an error in the stream")

// chunkFields are the decoded JSON fields of a chunk.
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

// jsonPresence records whether a JSON field is present and not null; its value is
// skipped.
type jsonPresence bool

// UnmarshalJSON records the presence of a field.
func (p *jsonPresence) UnmarshalJSON(text []byte) error {
	*p = string(text) != "null"
	return nil
}

// parseChunk decodes one event's data.
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

// malformedError marks an error in the content of a chunk, which distinguishes it
// from an error of the connection.
type malformedError struct{ error }

func (e malformedError) Unwrap() error { return e.error }

// chunkPattern is the JSON text of a decoded chunk before and after its content. Most
// chunks of a stream differ only in the content. A chunk with the same text around its
// content isn't decoded again.
type chunkPattern struct {
	before, after string
	chunk         Chunk
}

// contentKey precedes the content of a chunk. Valid JSON has no unescaped quotes within
// strings, so each occurrence is a key.
const contentKey = `"content":"`

// parse decodes one event's data, or copies the decoded chunk if the data matches.
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

// matches reports whether data is the pattern with another content that contains no
// escape sequence.
func (p *chunkPattern) matches(data string) bool {
	if p.before == "" || len(data) <= len(p.before)+len(p.after) {
		return false
	}
	if !strings.HasPrefix(data, p.before) || !strings.HasSuffix(data, p.after) {
		return false
	}
	return isUnescaped(data[len(p.before) : len(data)-len(p.after)])
}

// set makes a decoded chunk the pattern. Chunks without content, with escape sequences
// in it, with a finish reason or with usage clear the pattern.
func (p *chunkPattern) set(chunk Chunk) {
	*p = chunkPattern{}
	before, rest, found := strings.Cut(chunk.Data, contentKey)
	end := strings.IndexByte(rest, '"')
	if !found || end <= 0 || !isUnescaped(rest[:end]) || !chunk.Token || chunk.Finished || chunk.Usage != nil {
		return
	}
	p.before, p.after, p.chunk = before+contentKey, rest[end:], chunk
}

// isUnescaped reports whether text is the same inside and outside a JSON string: it
// has no control characters, quotes or backslashes.
func isUnescaped(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' || text[i] == '"' || text[i] == '\\' {
			return false
		}
	}
	return true
}

// readChunks yields the chunks of a stream of server-sent events. A stream that ends
// without the end marker yields io.ErrUnexpectedEOF last; a complete one yields no
// error.
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
