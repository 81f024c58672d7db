// Package standin is the engine that linedrum is tried against: it reads
// prompts, hands memory over, writes token by token, obeys role orders by their
// fence, is fragile when fresh, and records every run.
package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"linedrum.example/linedrum/bench/audit"
	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/link"
	"linedrum.example/linedrum/verdict"
)

// Dialer reaches others over a network.
type Dialer interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// Client speaks HTTP over a network, for callers, operators and engines alike.
func Client(network Dialer) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         func(ctx context.Context, _, addr string) (net.Conn, error) { return network.Dial(ctx, addr) },
		MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}
}

// Pace is how long an engine's work takes.
type Pace struct {
	Slots       int
	PerRead     time.Duration // a thousand characters of prompt not read before
	PerToken    time.Duration
	PerHandOver time.Duration // memory to another site
	Ramp        time.Duration // fragile for this long after start
	Memory      time.Duration // how long memory waits to be fetched
}

// DefaultPace is swift enough for tests; the ratios are those that matter.
func DefaultPace() Pace {
	return Pace{Slots: 16, PerRead: 4 * time.Millisecond, PerToken: 2 * time.Millisecond, PerHandOver: 2 * time.Millisecond, Ramp: 10 * time.Second, Memory: 10 * time.Second}
}

// Engine is one stand-in.
type Engine struct {
	Name, Site, Pool string
	pace             Pace
	book             *audit.Book[audit.EngineRecord]
	server           *http.Server
	fetcher          *http.Client // of other engines' memory
	addr             string

	mu       sync.Mutex
	role     string
	fence    engine.Fence
	running  int
	began    time.Time
	boot     string
	nextRun  int
	memory   map[string]memory
	prefixes map[string]bool
	faults   Faults
	readMS   int64
	writeMS  int64
}

type memory struct {
	prompt string
	until  time.Time
}

// Faults that a drill switches on.
type Faults struct {
	Dark     bool          `json:"dark"`      // takes requests and never replies
	Lapse    bool          `json:"lapse"`     // forgets all memory, at once
	SlowLink time.Duration `json:"slow_link"` // added to every hand-over
	CutAfter int           `json:"cut_after"` // breaks each stream after this many tokens
	Refuse   bool          `json:"refuse"`    // bounces every call, and reports that it is free
}

// Start serves on an address of a network; port 0 lets the system give one.
func Start(c *lifecycle.Crew, network link.Network, name, site, pool, addr string, pace Pace, book *audit.Book[audit.EngineRecord]) (*Engine, error) {
	listener, err := network.Listen(addr)
	if err != nil {
		return nil, err
	}
	e := &Engine{
		Name: name, Site: site, Pool: pool, pace: pace, book: book, addr: listener.Addr().String(),
		fetcher: Client(network), began: time.Now(), memory: map[string]memory{}, prefixes: map[string]bool{},
	}
	e.boot = fmt.Sprintf("%s-%d", name, e.began.UnixNano())
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.completions)
	mux.HandleFunc("GET /linedrum/load", e.load)
	mux.HandleFunc("POST /linedrum/role", e.order)
	mux.HandleFunc("POST /standin/memory", e.fetch)
	mux.HandleFunc("POST /standin/faults", e.setFaults)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	e.record(audit.EngineRecord{Event: audit.EventBoot})
	c.Start(func(context.Context) { _ = e.server.Serve(listener) })
	e.fetcher.Timeout = 5 * time.Second
	c.Start(func(ctx context.Context) {
		<-ctx.Done()
		_ = e.server.Close()
		e.fetcher.CloseIdleConnections()
	})
	return e, nil
}

// Addr is where it serves.
func (e *Engine) Addr() string { return e.addr }

// Crash ends it at once, all connections with it.
func (e *Engine) Crash() { _ = e.server.Close() }

func (e *Engine) record(r audit.EngineRecord) {
	r.At, r.Engine, r.Pool, r.Site = time.Now().UnixNano(), e.Name, e.Pool, e.Site
	e.book.Add(r)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (e *Engine) bounce(w http.ResponseWriter, request, phase string, status int, reason string) {
	e.record(audit.EngineRecord{Event: audit.EventBounce, Phase: phase, Request: request, Role: reason})
	w.Header().Set(verdict.Header, verdict.NotRun.String())
	reply(w, status, map[string]string{"error": reason})
}

type call struct {
	Model     string         `json:"model"`
	Prompt    string         `json:"prompt"`
	MaxTokens int            `json:"max_tokens"`
	Stream    bool           `json:"stream"`
	Memory    map[string]any `json:"kv_transfer_params"`
}

// Digest names a prompt in records.
func Digest(prompt string) string {
	sum := sha256.Sum256([]byte(prompt))
	return hex.EncodeToString(sum[:8])
}

// begin reserves a slot; the reason tells why not.
func (e *Engine) begin(role string) (run, reason string, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role != role {
		return "", "role", http.StatusConflict
	}
	if e.running >= e.pace.Slots {
		return "", "busy", http.StatusServiceUnavailable
	}
	e.running++
	e.nextRun++
	return fmt.Sprintf("%s.%d", e.boot, e.nextRun), "", 0
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// fragile tells how many goes at once a fresh engine stands.
func (e *Engine) fragile() (limit, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	age := time.Since(e.began)
	if e.pace.Ramp <= 0 || age >= e.pace.Ramp {
		return e.pace.Slots, e.running
	}
	return max(1, int(float64(e.pace.Slots)*float64(age)/float64(e.pace.Ramp))) + 1, e.running
}

func (e *Engine) completions(w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get(engine.HeaderRequest)
	w.Header().Set(engine.HeaderRequest, request)
	var in call
	if err := json.NewDecoder(io.LimitReader(r.Body, 64<<20)).Decode(&in); err != nil {
		e.bounce(w, request, "", http.StatusBadRequest, "body")
		return
	}
	phase := engine.Decode
	if yes, _ := in.Memory["do_remote_decode"].(bool); yes {
		phase = engine.Prefill
	}
	if r.Header.Get("Idempotency-Key") != "" {
		// linedrum must never forward it: net/http would replay the call.
		e.bounce(w, request, phase, http.StatusBadRequest, "idempotency-key")
		return
	}
	ctx := r.Context()
	if ms, err := strconv.ParseInt(r.Header.Get(engine.HeaderExpiry), 10, 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if text := r.Header.Get(engine.HeaderNotAfter); text != "" {
		fence, ok := engine.ParseNotAfter(text)
		switch {
		case !ok:
			e.bounce(w, request, phase, http.StatusBadRequest, "not-after")
			return
		case fence.Boot != e.boot || time.Since(e.began).Milliseconds() > fence.MS:
			w.Header().Set(engine.HeaderLate, "1")
			e.bounce(w, request, phase, http.StatusConflict, "late")
			return
		}
	}
	decided, _ := engine.ParseDecided(r.Header.Get(engine.HeaderDecided))
	e.mu.Lock()
	faults := e.faults
	e.mu.Unlock()
	if faults.Refuse {
		e.bounce(w, request, phase, http.StatusServiceUnavailable, "refuses")
		return
	}
	run, reason, status := e.begin(phase)
	if reason != "" {
		e.bounce(w, request, phase, status, reason)
		return
	}
	defer e.end()
	if limit, running := e.fragile(); running > limit {
		e.record(audit.EngineRecord{Event: audit.EventFlooded, Request: request, Bytes: running, Serial: uint64(limit)})
	}
	if faults.Dark {
		e.record(audit.EngineRecord{Event: audit.EventRun, Phase: phase, Request: request, Run: run, Prompt: Digest(in.Prompt), Decided: decided})
		<-ctx.Done()
		e.record(audit.EngineRecord{Event: audit.EventCut, Phase: phase, Request: request, Run: run})
		panic(http.ErrAbortHandler)
	}
	if phase == engine.Prefill {
		e.prefill(ctx, w, request, run, in, decided)
		return
	}
	e.decode(ctx, w, request, run, in, faults, decided)
}

func (e *Engine) prefill(ctx context.Context, w http.ResponseWriter, request, run string, in call, decided engine.Decided) {
	began := time.Now()
	prefix := in.Prompt[:min(len(in.Prompt), 1024)]
	e.mu.Lock()
	cached := len(prefix) == 1024 && e.prefixes[prefix]
	e.prefixes[prefix] = true
	e.mu.Unlock()
	fresh := len(in.Prompt)
	if cached {
		fresh = max(fresh-3*fresh/4, 1)
	}
	e.record(audit.EngineRecord{Event: audit.EventRun, Phase: engine.Prefill, Request: request, Run: run, Prompt: Digest(in.Prompt), Cached: cached, Bytes: len(in.Prompt), Decided: decided})
	if !lifecycle.Pause(ctx, e.pace.PerRead*time.Duration(fresh)/1000) {
		e.record(audit.EngineRecord{Event: audit.EventCut, Phase: engine.Prefill, Request: request, Run: run})
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	now := time.Now()
	for id, m := range e.memory {
		if now.After(m.until) {
			delete(e.memory, id)
		}
	}
	e.memory[run] = memory{prompt: in.Prompt, until: now.Add(e.pace.Memory)}
	e.readMS += time.Since(began).Milliseconds()
	e.mu.Unlock()
	e.record(audit.EngineRecord{Event: audit.EventEnd, Phase: engine.Prefill, Request: request, Run: run})
	host, port, _ := net.SplitHostPort(e.addr)
	number, _ := strconv.Atoi(port)
	reply(w, http.StatusOK, map[string]any{
		"id": request, "object": "text_completion",
		"choices": []any{map[string]any{"index": 0, "text": "", "finish_reason": "length"}},
		"kv_transfer_params": map[string]any{
			"do_remote_prefill": true, "do_remote_decode": false, "remote_engine_id": e.Name,
			"remote_block_ids": []string{run}, "remote_host": host, "remote_port": number, "remote_site": e.Site,
		},
	})
}

// fetch hands memory over to a writer, once.
func (e *Engine) fetch(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	e.mu.Lock()
	m, ok := e.memory[id]
	delete(e.memory, id)
	e.mu.Unlock()
	if !ok || time.Now().After(m.until) {
		reply(w, http.StatusGone, map[string]string{"error": "lapsed"})
		return
	}
	reply(w, http.StatusOK, map[string]string{"prompt": m.prompt})
}

// take fetches memory from its reader.
func (e *Engine) take(ctx context.Context, in call, faults Faults) (string, error) {
	ids, _ := in.Memory["remote_block_ids"].([]any)
	if len(ids) != 1 {
		return "", fmt.Errorf("no memory named")
	}
	port, _ := in.Memory["remote_port"].(float64)
	url := fmt.Sprintf("http://%v:%d/standin/memory?id=%v", in.Memory["remote_host"], int(port), ids[0])
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return "", err
	}
	res, err := e.fetcher.Do(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return "", fmt.Errorf("the reader replied %s", res.Status)
	}
	var out struct{ Prompt string }
	if err := json.NewDecoder(res.Body).Decode(&out); err != nil {
		return "", err
	}
	delay := faults.SlowLink
	if in.Memory["remote_site"] != e.Site {
		delay += e.pace.PerHandOver
	}
	lifecycle.Pause(ctx, delay)
	return out.Prompt, nil
}

// Token is the text of one token: it names its request, run, prompt and place,
// so that an auditor sees any splice.
func Token(request, run, prompt string, i int) string {
	return fmt.Sprintf("%s/%s/%s/%d ", request, run, prompt, i)
}

func (e *Engine) decode(ctx context.Context, w http.ResponseWriter, request, run string, in call, faults Faults, decided engine.Decided) {
	fetching := time.Now()
	prompt, err := e.take(ctx, in, faults)
	w.Header().Set(engine.HeaderHandOver, strconv.FormatInt(time.Since(fetching).Milliseconds(), 10))
	if err != nil || prompt != in.Prompt {
		e.record(audit.EngineRecord{Event: audit.EventBounce, Phase: engine.Decode, Request: request, Role: "lapsed"})
		w.Header().Set(verdict.Header, verdict.NotRun.String())
		w.Header().Set(engine.HeaderLapsed, "1")
		reply(w, http.StatusGone, map[string]string{"error": "the memory is gone"})
		return
	}
	began := time.Now()
	digest := Digest(in.Prompt)
	reader, _ := in.Memory["remote_engine_id"].(string)
	e.record(audit.EngineRecord{Event: audit.EventRun, Phase: engine.Decode, Request: request, Run: run, Prompt: digest, Reader: reader, Bytes: len(in.Prompt), Decided: decided})
	cut := func() {
		e.record(audit.EngineRecord{Event: audit.EventCut, Phase: engine.Decode, Request: request, Run: run})
		panic(http.ErrAbortHandler)
	}
	flusher, _ := w.(http.Flusher)
	if in.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
	}
	var text strings.Builder
	for i := range in.MaxTokens {
		if !lifecycle.Pause(ctx, e.pace.PerToken) || faults.CutAfter > 0 && i >= faults.CutAfter {
			cut()
		}
		token := Token(request, run, digest, i)
		if !in.Stream {
			text.WriteString(token)
			continue
		}
		var finish any
		if i == in.MaxTokens-1 {
			finish = "length"
		}
		b, _ := json.Marshal(map[string]any{"id": request, "object": "text_completion", "choices": []any{map[string]any{"index": 0, "text": token, "finish_reason": finish}}})
		if _, err := fmt.Fprintf(w, "data: %s\n\n", b); err != nil {
			cut()
		}
		flusher.Flush()
	}
	e.mu.Lock()
	e.writeMS += time.Since(began).Milliseconds()
	e.mu.Unlock()
	e.record(audit.EngineRecord{Event: audit.EventEnd, Phase: engine.Decode, Request: request, Run: run})
	if in.Stream {
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
		return
	}
	reply(w, http.StatusOK, map[string]any{
		"id": request, "object": "text_completion", "model": in.Model,
		"choices": []any{map[string]any{"index": 0, "text": text.String(), "finish_reason": "length"}},
		"usage":   map[string]int{"completion_tokens": in.MaxTokens},
	})
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	dark := e.faults.Dark
	l := engine.Load{
		Role: e.role, Fence: e.fence, Running: e.running, Slots: e.pace.Slots, AgeMS: time.Since(e.began).Milliseconds(),
		Boot: e.boot, PrefillMS: e.readMS, DecodeMS: e.writeMS,
	}
	e.mu.Unlock()
	if dark {
		<-r.Context().Done()
		return
	}
	reply(w, http.StatusOK, l)
}

// obey takes an order unless a newer one was obeyed.
func (e *Engine) obey(o engine.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.fence.Less(o.Fence) && e.fence != o.Fence {
		return false
	}
	e.role, e.fence = o.Role, o.Fence
	return true
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Pool != e.Pool || o.Role != engine.Prefill && o.Role != engine.Decode {
		reply(w, http.StatusBadRequest, map[string]string{"error": "order"})
		return
	}
	stale := !e.obey(o)
	r2 := audit.EngineRecord{Event: audit.EventRole, Role: o.Role, Epoch: o.Fence.Count, Holder: o.Fence.Holder, Serial: o.Fence.Serial}
	if stale {
		r2.Event = audit.EventStale
		e.record(r2)
		reply(w, http.StatusConflict, map[string]any{"error": "stale", "fence": o.Fence})
		return
	}
	e.record(r2)
	reply(w, http.StatusOK, map[string]any{"role": o.Role})
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	e.SetFaults(f)
	reply(w, http.StatusOK, f)
}

// SetFaults switches faults on and off.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	if f.Lapse {
		e.memory = map[string]memory{}
		e.prefixes = map[string]bool{}
		e.faults.Lapse = false
	}
}
