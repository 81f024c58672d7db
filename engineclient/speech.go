// Package engineclient is the project's own way to speak to engines (docs/interfaces.md
// section 3), over package engine's consumer: the completions call with the memory's
// name in it, load reports and role orders.
package engineclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/serve"
	"linedrum.example/linedrum/verdict"
)

// Completion is what a caller asks, as the content of an Ask: the completions fields
// that linedrum takes (docs/interfaces.md section 1).
type Completion struct {
	Model       string   `json:"model" need:"yes" min:"1" max:"63"`
	Prompt      string   `json:"prompt" need:"yes"`
	MaxTokens   int      `json:"max_tokens" min:"1" max:"1000000"`
	Temperature *float64 `json:"temperature"`
	TopP        *float64 `json:"top_p"`
	Seed        *int64   `json:"seed"`
	Stop        any      `json:"stop"`
	Stream      bool     `json:"stream"`
	User        string   `json:"user" max:"256"`
}

// Speech implements serve.Speech for asks whose content is a *Completion.
type Speech struct{ consumer *engine.Consumer }

// New makes a speech whose dials take no longer than dial, and that takes no whole
// reply of more than maxReply bytes.
func New(dialer engine.Dialer, dial time.Duration, maxReply int64) *Speech {
	return &Speech{engine.NewConsumer(dialer, dial, maxReply)}
}

// Close lets go of idle connections.
func (s *Speech) Close() { s.consumer.Close() }

func body(g serve.Go, extra map[string]any) []byte {
	ask := g.Ask.Content.(*Completion)
	m := map[string]any{"model": g.Model, "prompt": ask.Prompt, "max_tokens": g.Out}
	if ask.Temperature != nil {
		m["temperature"] = *ask.Temperature
	}
	if ask.TopP != nil {
		m["top_p"] = *ask.TopP
	}
	if ask.Seed != nil {
		m["seed"] = *ask.Seed
	}
	if ask.Stop != nil {
		m["stop"] = ask.Stop
	}
	if ask.User != "" {
		m["user"] = ask.User
	}
	for key, v := range extra {
		m[key] = v
	}
	b, err := json.Marshal(m)
	if err != nil {
		panic(err) // it came out of JSON a moment ago
	}
	return b
}

func call(g serve.Go, body []byte, stream bool) engine.Call {
	return engine.Call{
		Addr: g.Server.Addr, Request: g.Ask.ID, Expiry: g.Left, Fence: g.Fence, Decided: g.Decided, Body: body, Stream: stream,
		Again: g.Again,
	}
}

// Read implements serve.Speech.
func (s *Speech) Read(ctx context.Context, g serve.Go) (serve.Memory, error) {
	reply, err := s.consumer.Complete(ctx, call(g, body(g, map[string]any{
		"max_tokens": 1, "stream": false, "kv_transfer_params": map[string]any{"do_remote_decode": true},
	}), false))
	if err != nil {
		return serve.Memory{}, err
	}
	var out struct {
		Memory json.RawMessage `json:"kv_transfer_params"`
	}
	if json.Unmarshal(reply.Body, &out) != nil || len(out.Memory) == 0 || string(out.Memory) == "null" {
		return serve.Memory{}, &verdict.Error{Verdict: verdict.MayHaveRun, Code: engine.CodeBad, Reason: "the reader's reply names no memory"}
	}
	return serve.Memory{Reader: g.Server, Handle: out.Memory}, nil
}

// Write implements serve.Speech.
func (s *Speech) Write(ctx context.Context, g serve.Go, from *serve.Memory) (serve.Reply, error) {
	stream := g.Ask.Stream
	extra := map[string]any{"stream": stream}
	if from != nil {
		memory := map[string]any{}
		_ = json.Unmarshal(from.Handle, &memory)
		memory["do_remote_prefill"], memory["do_remote_decode"] = true, false
		extra["kv_transfer_params"] = memory
	}
	reply, err := s.consumer.Complete(ctx, call(g, body(g, extra), stream))
	if err != nil {
		return serve.Reply{}, err
	}
	out := serve.Reply{Head: serve.Head{Status: http.StatusOK, Length: -1}, HandOver: reply.HandOver}
	if stream {
		out.Pieces = &events{body: reply.Stream, lines: bufio.NewReaderSize(reply.Stream, 16<<10)}
		return out, nil
	}
	out.Pieces = &whole{reply: reply.Body}
	return out, nil
}

// Free implements serve.Speech: engines let go of memory by themselves.
func (s *Speech) Free(serve.Memory) {}

// Load implements serve.Speech.
func (s *Speech) Load(ctx context.Context, e engine.Listed) (engine.Load, error) {
	return s.consumer.Load(ctx, e.Addr)
}

// Order implements serve.Speech.
func (s *Speech) Order(ctx context.Context, e engine.Listed, o engine.Order) error {
	return s.consumer.Order(ctx, e.Addr, o)
}

// streamEnd is the mark without which a stream is not whole.
const streamEnd = "data: [DONE]"

// longestEvent bounds one piece of a stream, in bytes.
const longestEvent = 1 << 20

// events are the server-sent events of a stream, each with the blank line that ends it.
type events struct {
	body  io.ReadCloser
	lines *bufio.Reader
	block bytes.Buffer
	ended bool
}

// Next implements serve.Pieces.
func (e *events) Next() (serve.Piece, error) {
	if e.ended {
		return serve.Piece{}, io.EOF
	}
	e.block.Reset()
	for {
		line, err := e.lines.ReadSlice('\n')
		if err != nil {
			return serve.Piece{}, &verdict.Error{Verdict: verdict.MayHaveRun, Code: engine.CodeCut, Reason: "the stream broke before its end", Cause: err}
		}
		e.block.Write(line)
		if e.block.Len() > longestEvent {
			return serve.Piece{}, &verdict.Error{Verdict: verdict.MayHaveRun, Code: engine.CodeBad, Reason: "a piece of the stream is too long"}
		}
		if len(bytes.TrimSpace(line)) > 0 {
			continue
		}
		if len(bytes.TrimSpace(e.block.Bytes())) == 0 {
			e.block.Reset()
			continue
		}
		e.ended = strings.TrimSpace(e.block.String()) == streamEnd
		return serve.Piece{Bytes: e.block.Bytes()}, nil
	}
}

// Close implements serve.Pieces.
func (e *events) Close() error { return e.body.Close() }

// whole is a reply that came in one, as its only piece.
type whole struct {
	reply []byte
	given bool
}

// Next implements serve.Pieces.
func (w *whole) Next() (serve.Piece, error) {
	switch {
	case w.given:
		return serve.Piece{}, io.EOF
	case !finished(w.reply):
		return serve.Piece{}, &verdict.Error{Verdict: verdict.MayHaveRun, Code: engine.CodeBad, Reason: "the writer's reply is not whole"}
	}
	w.given = true
	return serve.Piece{Bytes: clean(w.reply)}, nil
}

// Close implements serve.Pieces.
func (w *whole) Close() error { return nil }

// finished tells a finished completion: every choice says why it ended.
func finished(body []byte) bool {
	var out struct {
		Choices []struct {
			Finish *string `json:"finish_reason"`
		} `json:"choices"`
	}
	if json.Unmarshal(body, &out) != nil || len(out.Choices) == 0 {
		return false
	}
	for _, c := range out.Choices {
		if c.Finish == nil {
			return false
		}
	}
	return true
}

// clean takes out what concerns engines only.
func clean(body []byte) []byte {
	var m map[string]json.RawMessage
	if json.Unmarshal(body, &m) != nil {
		return body
	}
	delete(m, "kv_transfer_params")
	b, err := json.Marshal(m)
	if err != nil {
		return body
	}
	return b
}
