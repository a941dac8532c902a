package backend

import (
	"context"
	"fmt"
	"io"
	"log"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mimosafront/internal/memnet"
	"mimosafront/internal/policy"
	"mimosafront/internal/verdict"
)

// writeToken writes one chunk with a token.
func writeToken(w http.ResponseWriter, id, text string) {
	fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", id, text)
	_ = http.NewResponseController(w).Flush()
}

// writeEnd writes the last chunk and the end marker of a complete answer.
func writeEnd(w http.ResponseWriter, id string) {
	fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", id)
}

// engineScript is the behaviour of a fake engine: its handlers for a dispatch and a
// resume.
type engineScript struct {
	chat   http.HandlerFunc
	resume http.HandlerFunc
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// stall sends nothing until the client disconnects.
func stall(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// writeTokens returns a handler that writes the tokens from (inclusive) to (exclusive)
// and then calls finally.
func writeTokens(from, to int, finally http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for n := from; n < to; n++ {
			writeToken(w, "r1", fmt.Sprintf("t%d ", n))
		}
		finally(w, r)
	}
}

func finish(w http.ResponseWriter, _ *http.Request) { writeEnd(w, "r1") }

func notFound(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }

// runCompletion dispatches one completion under a fake clock and returns its text and
// error.
func runCompletion(t *testing.T, s engineScript) (answer string, failure *Error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		listener, err := n.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		mux := http.NewServeMux()
		mux.HandleFunc("POST /v1/chat/completions", s.chat)
		mux.HandleFunc("GET /v1/requests/{id}/stream", s.resume)
		server := &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0)}
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		dialer := testDialer()
		dialer.Dial = n.DialContext
		answer, failure = complete(t, Engine{Dialer: dialer}, listener.Addr().String())
	})
	return answer, failure
}

func complete(t *testing.T, engine Engine, address string) (string, *Error) {
	t.Helper()
	conn, err := engine.Dialer.Connect(t.Context(), policy.Server{Name: "s1", Address: address})
	if err != nil {
		t.Fatal(err)
	}
	stream, err := engine.Dispatch(conn, Completion{ID: "r1", Body: []byte("{}")})
	if err != nil {
		return "", err
	}
	defer stream.Close()
	var text strings.Builder
	for chunk, err := range stream.Chunks() {
		if err != nil {
			return text.String(), err.(*Error)
		}
		if chunk.Token {
			text.WriteString(chunk.Data[strings.Index(chunk.Data, `"content":"`)+11 : strings.Index(chunk.Data, ` "}`)])
		}
	}
	return text.String(), nil
}

func TestStreamOutcomes(t *testing.T) {
	foreign := func(w http.ResponseWriter, r *http.Request) {
		writeToken(w, "r1", "t0 ")
		writeToken(w, "r2", "t1 ")
		writeEnd(w, "r1")
	}
	changed := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRequestID, "r1")
		writeToken(w, "chat-1", "t0 ")
		writeToken(w, "chat-2", "t1 ")
		writeEnd(w, "chat-1")
	}
	otherHeader := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRequestID, "r2")
		writeToken(w, "r1", "t0 ")
		writeEnd(w, "r1")
	}
	errorEvent := func(w http.ResponseWriter, r *http.Request) {
		writeToken(w, "r1", "t0 ")
		fmt.Fprint(w, "data: {\"error\":{\"message\":\"out of memory\"}}\n\ndata: [DONE]\n\n")
	}
	noReason := func(w http.ResponseWriter, r *http.Request) {
		writeToken(w, "r1", "t0 ")
		fmt.Fprint(w, "data: [DONE]\n\n")
	}
	noMarker := func(w http.ResponseWriter, r *http.Request) { writeToken(w, "r1", "t0 ") }
	cases := []struct {
		name   string
		script engineScript
		text   string
		kind   Kind
	}{
		{"whole", engineScript{writeTokens(0, 3, finish), notFound}, "t0t1t2", ""},
		{"resumed after a cut", engineScript{writeTokens(0, 2, abort), writeTokens(2, 4, finish)}, "t0t1t2t3", ""},
		{"resumed after silence", engineScript{writeTokens(0, 2, stall), writeTokens(2, 4, finish)}, "t0t1t2t3", ""},
		{"resumed before the first byte", engineScript{stall, writeTokens(0, 2, finish)}, "t0t1", ""},
		{"cut and unknown at the resume", engineScript{writeTokens(0, 2, abort), notFound}, "t0t1", KindCrashed},
		{"cut again after a resume", engineScript{writeTokens(0, 1, abort), writeTokens(1, 2, abort)}, "t0t1t1", KindBroken},
		{"cut and unknown before any answer", engineScript{abort, notFound}, "", KindBroken},
		{"silent after a resume", engineScript{writeTokens(0, 1, stall), stall}, "t0", KindSilent},
		{"rejected", engineScript{notFound, notFound}, "", KindRejected},
		{"foreign chunk", engineScript{foreign, notFound}, "t0", KindForeign},
		{"changed chunk id", engineScript{changed, notFound}, "t0", KindForeign},
		{"foreign header", engineScript{otherHeader, notFound}, "", KindForeign},
		{"error event", engineScript{errorEvent, notFound}, "t0", KindMalformed},
		{"end marker without a finish reason", engineScript{noReason, notFound}, "t0", KindMalformed},
		{"no end marker", engineScript{noMarker, notFound}, "t0", KindCrashed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text, err := runCompletion(t, c.script)
			if text != c.text {
				t.Errorf("text %q, want %q", text, c.text)
			}
			switch {
			case c.kind == "" && err != nil:
				t.Errorf("error %v", err)
			case c.kind != "" && (err == nil || err.Kind != c.kind):
				t.Errorf("error %v, want kind %s", err, c.kind)
			case err != nil && err.Verdict() != verdict.MayHaveRun:
				t.Errorf("verdict %s", err.Verdict())
			}
		})
	}
}

// TestResumeStartsAfterTheLastToken checks that a resume requests the tokens after the
// last one received.
func TestResumeStartsAfterTheLastToken(t *testing.T) {
	asked := make(chan string, 1)
	resume := func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.Query().Get("after")
		writeTokens(2, 3, finish)(w, r)
	}
	if _, err := runCompletion(t, engineScript{writeTokens(0, 2, abort), resume}); err != nil {
		t.Fatal(err)
	}
	if after := <-asked; after != "2" {
		t.Errorf("resumed after token %s, want 2", after)
	}
}

// TestCancelInterruptsASilentRead checks that the end of the context ends a read from a
// server that sends nothing.
func TestCancelInterruptsASilentRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		listener, err := n.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		go func() { _, _ = listener.Accept() }()
		engine := Engine{Dialer: Dialer{ConnectTimeout: time.Second, IdleTimeout: time.Minute, Dial: n.DialContext}}
		ctx, cancel := context.WithCancel(t.Context())
		conn, failure := engine.Dialer.Connect(ctx, policy.Server{Name: "s1", Address: listener.Addr().String()})
		if failure != nil {
			t.Fatal(failure)
		}
		begin := time.Now()
		time.AfterFunc(time.Second, cancel)
		_, failure = engine.Dispatch(conn, Completion{ID: "r1", Body: []byte("{}")})
		if failure == nil || failure.Kind != KindCancelled || failure.Verdict() != verdict.MayHaveRun {
			t.Errorf("error %v", failure)
		}
		if after := time.Since(begin); after != time.Second {
			t.Errorf("interrupted after %s", after)
		}
	})
}
