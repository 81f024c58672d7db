// Package callers are the people and programs that ask: each call is made once,
// read to its end, and written down as its caller saw it.
package callers

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"linedrum.example/linedrum/bench/audit"
	"linedrum.example/linedrum/bench/standin"
	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/verdict"
)

// Call is one question.
type Call struct {
	Request   string
	Node      string // ip:port of a node's HTTP side
	Desk      string
	Kind      string
	Key       string
	Prompt    string
	MaxTokens int
	Stream    bool
	Expiry    time.Duration
	Patience  time.Duration // its kind's own expiry, for the record
}

// Consumer makes calls.
type Consumer struct {
	http   *http.Client
	book   *audit.Book[audit.CallerRecord]
	window atomic.Uint64 // the newest window for once-only keys that any reply named
}

// Key makes a once-only key: its window is the newest that a reply named, or is
// asked for, of one node after the other, until one names it.
func (c *Consumer) Key(ctx context.Context, nodes []string, name string) string {
	for i := 0; c.window.Load() == 0; i++ {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+nodes[i%len(nodes)]+"/linedrum/window", nil)
		if err != nil {
			return name
		}
		if res, err := c.http.Do(req); err == nil {
			var out struct{ Window uint64 }
			_ = json.NewDecoder(res.Body).Decode(&out)
			_ = res.Body.Close()
			c.saw(out.Window)
		}
		if !lifecycle.Pause(ctx, 20*time.Millisecond) {
			return name
		}
	}
	return fmt.Sprintf("%d.%s", c.window.Load(), name)
}

func (c *Consumer) saw(window uint64) {
	for {
		had := c.window.Load()
		if window <= had || c.window.CompareAndSwap(had, window) {
			return
		}
	}
}

// New makes a consumer that never repeats a call by itself.
func New(book *audit.Book[audit.CallerRecord], network standin.Dialer) *Consumer {
	return &Consumer{book: book, http: standin.Client(network)}
}

// Close lets go of idle connections.
func (c *Consumer) Close() { c.http.CloseIdleConnections() }

// Do makes one call and writes it down.
func (c *Consumer) Do(ctx context.Context, call Call) audit.CallerRecord {
	rec := audit.CallerRecord{
		Began: time.Now().UnixNano(), Request: call.Request, Node: call.Node, Desk: call.Desk, Kind: call.Kind, Key: call.Key,
		Prompt: standin.Digest(call.Prompt), Stream: call.Stream, Want: call.MaxTokens, ExpiryMS: call.Patience.Milliseconds(),
	}
	c.do(ctx, call, &rec)
	rec.Ended = time.Now().UnixNano()
	c.book.Add(rec)
	return rec
}

func (c *Consumer) do(ctx context.Context, call Call, rec *audit.CallerRecord) {
	var sent atomic.Bool
	defer func() { rec.Sent = sent.Load() }()
	body, _ := json.Marshal(map[string]any{"model": call.Desk, "prompt": call.Prompt, "max_tokens": call.MaxTokens, "stream": call.Stream})
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) { sent.Store(info.Err == nil) }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Node+"/v1/completions", io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		rec.Code = err.Error()
		return
	}
	req.ContentLength = int64(len(body))
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(engine.HeaderRequest, call.Request)
	req.Header.Set("X-Linedrum-Kind", call.Kind)
	if call.Key != "" {
		// The name must not be Idempotency-Key in net/http's own form, or its
		// transport replays the call: written lower-case it is the same header.
		req.Header["idempotency-key"] = []string{call.Key}
	}
	if call.Expiry > 0 {
		req.Header.Set(engine.HeaderExpiry, strconv.FormatInt(call.Expiry.Milliseconds(), 10))
	}
	res, err := c.http.Do(req)
	if err != nil {
		rec.Code = err.Error()
		var op *net.OpError
		rec.Unsent = errors.As(err, &op) && op.Op == "dial"
		return
	}
	defer res.Body.Close()
	rec.Status = res.StatusCode
	rec.Verdict = res.Header.Get(verdict.Header)
	rec.Repeat = res.Header.Get("X-Linedrum-Repeat")
	window, _ := strconv.ParseUint(res.Header.Get("X-Linedrum-Window"), 10, 64)
	c.saw(window)
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		c.stream(res.Body, rec)
		return
	}
	text, err := io.ReadAll(res.Body)
	if err != nil {
		rec.Code = "cut: " + err.Error()
		return
	}
	if res.StatusCode != http.StatusOK {
		var p struct {
			Error struct{ Code, Verdict string }
		}
		_ = json.Unmarshal(text, &p)
		rec.Code = p.Error.Code
		return
	}
	var out struct {
		Choices []struct {
			Text   string  `json:"text"`
			Finish *string `json:"finish_reason"`
		} `json:"choices"`
	}
	if json.Unmarshal(text, &out) == nil && len(out.Choices) == 1 {
		rec.Text, rec.Whole = out.Choices[0].Text, out.Choices[0].Finish != nil
		rec.Tokens = strings.Count(rec.Text, " ")
	}
}

func (c *Consumer) stream(body io.Reader, rec *audit.CallerRecord) {
	in := bufio.NewScanner(body)
	in.Buffer(nil, 1<<20)
	var text strings.Builder
	for in.Scan() {
		data, ok := strings.CutPrefix(in.Text(), "data: ")
		if !ok {
			if strings.HasPrefix(in.Text(), "event: error") {
				rec.Code = "stream-error"
			}
			continue
		}
		if data == "[DONE]" {
			rec.Whole = true
			continue
		}
		var out struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &out) != nil || len(out.Choices) != 1 {
			continue
		}
		if rec.Tokens == 0 {
			rec.FirstMS = (time.Now().UnixNano() - rec.Began) / int64(time.Millisecond)
		}
		text.WriteString(out.Choices[0].Text)
		rec.Tokens++
	}
	rec.Text = text.String()
	if err := in.Err(); err != nil {
		rec.Whole = false
		rec.Code = "cut: " + err.Error()
	}
}
