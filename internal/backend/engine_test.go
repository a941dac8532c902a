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

// token writes one chunk of an answer.
func token(w http.ResponseWriter, id, text string) {
	fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", id, text)
	_ = http.NewResponseController(w).Flush()
}

// end writes the last chunk and the marker of a whole answer.
func end(w http.ResponseWriter, id string) {
	fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", id)
}

// script is an engine: how it answers a dispatch and a resume.
type script struct {
	chat   http.HandlerFunc
	resume http.HandlerFunc
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// stall sends nothing until the front goes away.
func stall(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// tokens answers with tokens from..to and then does what comes after.
func tokens(from, to int, after http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for n := from; n < to; n++ {
			token(w, "r1", fmt.Sprintf("t%d ", n))
		}
		after(w, r)
	}
}

func finish(w http.ResponseWriter, _ *http.Request) { end(w, "r1") }

func notFound(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }

// run dispatches one completion under a fake clock and returns its text and its
// error.
func run(t *testing.T, s script) (answer string, failure *Error) {
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

func TestAnswers(t *testing.T) {
	foreign := func(w http.ResponseWriter, r *http.Request) {
		token(w, "r1", "t0 ")
		token(w, "r2", "t1 ")
		end(w, "r1")
	}
	changed := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRequestID, "r1")
		token(w, "chat-1", "t0 ")
		token(w, "chat-2", "t1 ")
		end(w, "chat-1")
	}
	otherHeader := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRequestID, "r2")
		token(w, "r1", "t0 ")
		end(w, "r1")
	}
	errorEvent := func(w http.ResponseWriter, r *http.Request) {
		token(w, "r1", "t0 ")
		fmt.Fprint(w, "data: {\"error\":{\"message\":\"out of memory\"}}\n\ndata: [DONE]\n\n")
	}
	noReason := func(w http.ResponseWriter, r *http.Request) {
		token(w, "r1", "t0 ")
		fmt.Fprint(w, "data: [DONE]\n\n")
	}
	noMarker := func(w http.ResponseWriter, r *http.Request) { token(w, "r1", "t0 ") }
	cases := []struct {
		name   string
		script script
		text   string
		kind   Kind
	}{
		{"whole", script{tokens(0, 3, finish), notFound}, "t0t1t2", ""},
		{"resumed after a cut", script{tokens(0, 2, abort), tokens(2, 4, finish)}, "t0t1t2t3", ""},
		{"resumed after silence", script{tokens(0, 2, stall), tokens(2, 4, finish)}, "t0t1t2t3", ""},
		{"resumed before the first byte", script{stall, tokens(0, 2, finish)}, "t0t1", ""},
		{"cut and lost", script{tokens(0, 2, abort), notFound}, "t0t1", KindCrashed},
		{"cut and resumed in vain", script{tokens(0, 1, abort), tokens(1, 2, abort)}, "t0t1t1", KindBroken},
		{"never arrived", script{abort, notFound}, "", KindBroken},
		{"silent for good", script{tokens(0, 1, stall), stall}, "t0", KindSilent},
		{"rejected", script{notFound, notFound}, "", KindRejected},
		{"foreign chunk", script{foreign, notFound}, "t0", KindForeign},
		{"changed chunk id", script{changed, notFound}, "t0", KindForeign},
		{"foreign header", script{otherHeader, notFound}, "", KindForeign},
		{"error event", script{errorEvent, notFound}, "t0", KindMalformed},
		{"marker without a reason", script{noReason, notFound}, "t0", KindMalformed},
		{"no marker", script{noMarker, notFound}, "t0", KindCrashed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text, err := run(t, c.script)
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

// TestResumeAsksForTheRest checks the token from which an answer is resumed.
func TestResumeAsksForTheRest(t *testing.T) {
	asked := make(chan string, 1)
	resume := func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.Query().Get("after")
		tokens(2, 3, finish)(w, r)
	}
	if _, err := run(t, script{tokens(0, 2, abort), resume}); err != nil {
		t.Fatal(err)
	}
	if after := <-asked; after != "2" {
		t.Errorf("resumed after token %s, want 2", after)
	}
}

// TestCancelInterrupts checks that the end of the context ends a silent read.
func TestCancelInterrupts(t *testing.T) {
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
