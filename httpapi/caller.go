package httpapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"linedrum.example/linedrum/desk"
	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/engineclient"
	"linedrum.example/linedrum/inbound"
	"linedrum.example/linedrum/once"
	"linedrum.example/linedrum/serve"
	"linedrum.example/linedrum/strict"
	"linedrum.example/linedrum/verdict"
)

// headerWindow names the window that new once-only keys are made in.
const headerWindow = "X-Linedrum-Window"

// prefixLength is how much of a prompt names its shared part.
const prefixLength = 1024

// caller is one caller of the completions endpoint (serve.Caller).
type caller struct {
	f      *Face
	w      http.ResponseWriter
	r      *http.Request
	id     string
	stream bool
	broken bool
}

func (f *Face) completions(w http.ResponseWriter, r *http.Request) {
	id, ok := f.requestID(r)
	if !ok {
		f.failUnread(w, r, serve.Bad(http.StatusBadRequest, "bad-header", engine.HeaderRequest, "a request id is at most 128 visible ASCII characters"))
		return
	}
	w.Header().Set(engine.HeaderRequest, id)
	if inForce, held := f.n.InForce(); held && inForce.Value().Windows.Open > 0 {
		w.Header().Set(headerWindow, strconv.FormatUint(inForce.Value().Windows.Open, 10))
	}
	if refusal := f.path.Hold(); refusal != nil {
		f.failUnread(w, r, refusal.Told())
		return
	}
	defer f.path.Free()
	c := &caller{f: f, w: w, r: r, id: id}
	ask := &serve.Ask{ID: id}
	refusal := f.readKey(r, ask)
	if refusal == nil {
		body, fault := f.readBody(w, r, f.settings.Limits.Body)
		if fault == nil {
			f.whole.Add(1)
			defer f.whole.Add(-1)
			fault = read(r, body, ask)
		}
		if fault != nil {
			// It is at fault in itself, or by the settings of this process.
			refusal = serve.Malformed(fault)
		}
	}
	c.stream = ask.Stream
	if refusal != nil {
		f.path.Refuse(ask, c, refusal)
	} else {
		f.path.Serve(ask, c)
	}
	if c.broken {
		panic(http.ErrAbortHandler)
	}
}

// readKey takes the once-only key, before anything else can fail: from then on
// not-run is said only if the key is shown to be free (section 5.7).
func (f *Face) readKey(r *http.Request, ask *serve.Ask) *serve.Refusal {
	keys := r.Header.Values(serve.FieldKey)
	switch {
	case len(keys) == 0:
		return nil
	case len(keys) > 1:
		fault := serve.Bad(http.StatusBadRequest, "bad-header", serve.FieldKey, "a request has one key")
		fault.Verdict = verdict.MayHaveRun // which of them is meant is not known
		return serve.Malformed(fault)
	case keys[0] == "":
		return serve.BadKey()
	}
	ask.OnceKey = keys[0]
	return f.path.CheckKey(ask.OnceKey)
}

// read makes an ask of a request that has arrived whole.
func read(r *http.Request, body []byte, ask *serve.Ask) *verdict.Error {
	want := &engineclient.Completion{}
	if faults := strict.Load(body, want); len(faults) > 0 {
		fault := serve.Bad(http.StatusBadRequest, "bad-field", faults[0].Place, "%s", faults[0].Reason)
		fault.Cause = faults
		return fault
	}
	if ask.OnceKey != "" {
		// What was asked, before any desk file fills in what it left open.
		meaning, err := json.Marshal(want)
		if err != nil {
			panic(err) // it came out of JSON a moment ago
		}
		ask.Digest = once.Digest(meaning)
	}
	ask.Content, ask.Stream, ask.Out = want, want.Stream, want.MaxTokens
	ask.Prefix = want.Prompt[:min(len(want.Prompt), prefixLength)]
	ask.Facts = desk.Facts{
		Model: want.Model, Kind: r.Header.Get(serve.FieldKind), User: want.User, PromptChars: len(want.Prompt),
		MaxTokens: want.MaxTokens, Stream: want.Stream, Keyed: ask.OnceKey != "",
	}
	if text := r.Header.Get(engine.HeaderExpiry); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > int64(24*time.Hour/time.Millisecond) {
			return serve.Bad(http.StatusBadRequest, "bad-header", engine.HeaderExpiry, "must be a whole number of milliseconds above 0")
		}
		ask.Patience = time.Duration(ms) * time.Millisecond
	}
	return nil
}

func (f *Face) requestID(r *http.Request) (string, bool) {
	id := r.Header.Get(engine.HeaderRequest)
	if id == "" {
		return "r-" + strconv.FormatUint(f.n.Uint64(), 16), true
	}
	if len(id) > 128 {
		return "", false
	}
	for _, c := range id {
		if c <= ' ' || c > '~' {
			return "", false
		}
	}
	return id, true
}

// Context implements serve.Caller.
func (c *caller) Context() context.Context { return c.r.Context() }

// Fail implements serve.Caller.
func (c *caller) Fail(refusal *serve.Refusal) *verdict.Error {
	if c.r.Context().Err() != nil {
		return refusal.Told()
	}
	return c.f.refuse(c.w, refusal)
}

// Hold implements serve.Caller.
func (c *caller) Hold(n int64) bool { return inbound.Hold(c.r, n) == nil }

// Begin implements serve.Caller.
func (c *caller) Begin(head serve.Head) error {
	h := c.w.Header()
	if head.Repeat != "" {
		h.Set("X-Linedrum-Repeat", head.Repeat)
	}
	h.Set(verdict.Header, verdict.Ran.String())
	if c.stream {
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
	} else {
		h.Set("Content-Type", "application/json")
		if head.Length >= 0 {
			h.Set("Content-Length", strconv.FormatInt(head.Length, 10))
		}
	}
	c.f.conns.Last(h)
	c.w.WriteHeader(http.StatusOK)
	return nil
}

// Piece implements serve.Caller.
func (c *caller) Piece(b []byte) error {
	if _, err := c.w.Write(b); err != nil {
		return err
	}
	if !c.stream {
		return nil
	}
	return http.NewResponseController(c.w).Flush()
}

// End implements serve.Caller.
func (c *caller) End() error { return nil }

// Break implements serve.Caller: an error event, no end mark, and a connection cut
// before the last chunk, once the path is through with the request.
func (c *caller) Break(fault *verdict.Error) {
	c.broken = true
	if !c.stream {
		return
	}
	b, _ := json.Marshal(problemOf(fault, c.id))
	_, _ = fmt.Fprintf(c.w, "event: error\ndata: %s\n\n", b)
	_ = http.NewResponseController(c.w).Flush()
}
