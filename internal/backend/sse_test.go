package backend

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// FuzzReadChunks checks that no input makes the reader panic, that an error ends the
// stream, and that a stream without the end marker isn't complete.
func FuzzReadChunks(f *testing.F) {
	seeds := []string{
		"",
		"data: [DONE]\n\n",
		"data: [DONE]\n",
		"data:[DONE]\r\n\r\n",
		": comment\n\ndata: {\"id\":\"r1\",\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n",
		"event: error\ndata: {\"error\":{}}\n\n",
		"data: {\"choices\":[{\"delta\":{\"tool_calls\":[{}]},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":1}}\n\n",
		"data: {\"id\":\ndata: \"r1\"}\n\ndata: [DONE]\n\n",
		"data: {\"choices\":null}\n\n",
		"data: [DONE]x\n\n",
		"data: null\n\ndata: [DONE]\n\n",
		"id: 1\nretry: 5\ndata: {}\n\n",
		"\xef\xbb\xbfdata: [DONE]\n\n",
		"data: " + strings.Repeat("a", 2000) + "\n\n",
	}
	for _, seed := range seeds {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		whole := true
		chunks := 0
		for _, err := range readChunks(iotest.OneByteReader(strings.NewReader(text))) {
			if !whole {
				t.Fatal("another pair was yielded after an error")
			}
			whole = err == nil
			chunks++
		}
		if whole && !strings.Contains(text, doneMarker) {
			t.Fatalf("%q was read as a complete stream", text)
		}
		if chunks > len(text)+1 {
			t.Fatalf("%d chunks in %d bytes", chunks, len(text))
		}
	})
}

// FuzzChunkPattern checks that a chunk which matches the pattern of another gives the
// same result as decoding it.
func FuzzChunkPattern(f *testing.F) {
	const chunk = `{"id":"r1","choices":[{"delta":{"content":"a"},"finish_reason":null}]}`
	for _, other := range []string{
		strings.Replace(chunk, `"a"`, `"oak plate"`, 1), strings.Replace(chunk, `"a"`, `""`, 1),
		strings.Replace(chunk, `"a"`, `"a\"`, 1), strings.Replace(chunk, `"a"`, `"a","content":"`, 1),
		strings.Replace(chunk, "r1", "r2", 1), strings.Replace(chunk, "null", `"stop"`, 1),
		strings.Replace(chunk, `"a"`, "\"\n\"", 1), strings.Replace(chunk, `"a"`, "\"\xff\"", 1),
	} {
		f.Add(chunk, other)
		f.Add(other, chunk)
	}
	f.Add(`{"choices":[{"delta":{"Content":"a"}}],"x":{"content":"b"}}`, `{"choices":[{"delta":{"Content":"a"}}],"x":{"content":"c"}}`)
	f.Fuzz(func(t *testing.T, first, second string) {
		var pattern chunkPattern
		_, _ = pattern.parse(first)
		got, gotErr := pattern.parse(second)
		want, wantErr := parseChunk(second)
		if got != want && (got.Usage == nil || want.Usage == nil) || (gotErr == nil) != (wantErr == nil) {
			t.Fatalf("after %q, %q was read as %+v, %v, want %+v, %v", first, second, got, gotErr, want, wantErr)
		}
	})
}

// BenchmarkChunks compares decoding a chunk with matching it against a pattern.
func BenchmarkChunks(b *testing.B) {
	const chunk = `{"id":"r1","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"plate "},"finish_reason":null}]}`
	b.Run("decoded", func(b *testing.B) {
		for b.Loop() {
			_, _ = parseChunk(chunk)
		}
	})
	b.Run("pattern", func(b *testing.B) {
		var pattern chunkPattern
		for b.Loop() {
			_, _ = pattern.parse(chunk)
		}
	})
}

func TestReadChunksBoundsEvents(t *testing.T) {
	endless := io.MultiReader(strings.NewReader("data: "), &endlessReader{})
	var last error
	for _, err := range readChunks(endless) {
		last = err
	}
	if last == nil || errors.Is(last, io.ErrUnexpectedEOF) {
		t.Errorf("error %v, want one for the length of the event", last)
	}
}

// endlessReader yields more than 64 MiB of the same byte.
type endlessReader struct{ n int }

func (r *endlessReader) Read(p []byte) (int, error) {
	if r.n > 64<<20 {
		return 0, io.EOF
	}
	for i := range p {
		p[i] = 'a'
	}
	r.n += len(p)
	return len(p), nil
}
