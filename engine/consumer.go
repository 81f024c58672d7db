package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"linedrum.example/linedrum/ledger"
	"linedrum.example/linedrum/verdict"
)

// Headers between linedrum and engines, and back.
const (
	HeaderRequest = "X-Request-Id"
	HeaderExpiry  = "X-Linedrum-Expiry-Ms"
	HeaderLapsed  = "X-Linedrum-Lapsed"
	// HeaderHandOver is how long the memory took to come over, if the writer says.
	HeaderHandOver = "X-Linedrum-Hand-Over-Ms"
	// HeaderNotAfter fences a go: the engine's life that it is meant for, and the
	// moment of that life, in ms, after which it must not begin (section 5.9).
	HeaderNotAfter = "X-Linedrum-Not-After"
	// HeaderDecided names what a go was decided under: for engines' own records.
	HeaderDecided = "X-Linedrum-Decided"
	// HeaderLate marks a go that the engine bounced by that fence.
	HeaderLate = "X-Linedrum-Late"
)

// NotAfter is the fence of one go. Without a life there is none.
type NotAfter struct {
	Boot string
	MS   int64
}

// Decided is what was in force for a go: the node that decided it, and the
// serials, with the desk file's digest.
type Decided struct {
	Node    string
	Desk    uint64
	File    string
	Engines uint64
	Sites   uint64
}

// String is the header's form.
func (d Decided) String() string {
	return fmt.Sprintf("node=%s desk=%d file=%s engines=%d sites=%d", d.Node, d.Desk, d.File, d.Engines, d.Sites)
}

// ParseDecided reads that form.
func ParseDecided(text string) (d Decided, ok bool) {
	_, err := fmt.Sscanf(text, "node=%s desk=%d file=%s engines=%d sites=%d", &d.Node, &d.Desk, &d.File, &d.Engines, &d.Sites)
	return d, err == nil
}

// String is the header's form: the moment, a blank, the life.
func (n NotAfter) String() string { return strconv.FormatInt(n.MS, 10) + " " + n.Boot }

// ParseNotAfter reads that form.
func ParseNotAfter(text string) (NotAfter, bool) {
	ms, boot, found := strings.Cut(text, " ")
	moment, err := strconv.ParseInt(ms, 10, 64)
	return NotAfter{boot, moment}, found && err == nil && moment >= 0 && boot != ""
}

// Codes of a failed go.
const (
	CodeLapsed = ledger.CodeLapsed
	CodeBusy   = "engine-busy"
	CodeRole   = "engine-role"
	CodeLate   = "engine-late"
	CodeDial   = "engine-unreachable"
	CodeCut    = "engine-cut"
	CodeBad    = "engine-bad-reply"
	CodeInput  = ledger.CodeInput
	// CodeNoLease is a go whose lease ran out before it was sent.
	CodeNoLease = ledger.CodePermit
)

// Consumer calls engines. It never repeats a call by itself: GetBody is unset and
// no Idempotency-Key is ever forwarded, since net/http replays a POST that bears one.
type Consumer struct {
	http     *http.Client
	fresh    *http.Client // makes a connection for each call
	maxReply int64
}

// Dialer reaches engines.
type Dialer interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// NewConsumer makes a consumer whose dials take no longer than dial.
func NewConsumer(dialer Dialer, dial time.Duration, maxReply int64) *Consumer {
	client := func(fresh bool) *http.Client {
		return &http.Client{
			Transport: &http.Transport{
				DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
					ctx, cancel := context.WithTimeout(ctx, dial)
					defer cancel()
					return dialer.Dial(ctx, addr)
				},
				MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableKeepAlives: fresh,
				DisableCompression: true, MaxResponseHeaderBytes: 64 << 10,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	return &Consumer{maxReply: maxReply, http: client(false), fresh: client(true)}
}

// Close lets go of idle connections.
func (c *Consumer) Close() { c.http.CloseIdleConnections() }

// Call is one go at an engine.
type Call struct {
	Addr    string
	Request string // the request's id
	Expiry  time.Duration
	Fence   NotAfter
	Decided Decided
	Body    []byte
	Stream  bool
	Again   bool // the request was at this engine before: only on a new connection
}

// Reply is an engine's answer. A stream's Body is read by the caller, and closed.
type Reply struct {
	Body     []byte
	Stream   io.ReadCloser
	HandOver time.Duration // negative when the engine does not say
}

// Complete sends one completion call and sorts every outcome into a verdict
// (design.md section 5.2).
func (c *Consumer) Complete(ctx context.Context, call Call) (Reply, error) {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { wrote.Store(true) },
		WroteHeaders:     func() { wrote.Store(true) },
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost,
		"http://"+call.Addr+"/v1/completions", io.NopCloser(bytes.NewReader(call.Body)))
	if err != nil {
		return Reply{}, &verdict.Error{Verdict: verdict.NotRun, Code: CodeDial, Reason: "the engine's address is bad", Cause: err}
	}
	req.ContentLength = int64(len(call.Body))
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequest, call.Request)
	req.Header.Set(HeaderExpiry, strconv.FormatInt(call.Expiry.Milliseconds(), 10))
	req.Header.Set(HeaderDecided, call.Decided.String())
	if call.Fence.Boot != "" {
		req.Header.Set(HeaderNotAfter, call.Fence.String())
	}
	client := c.http
	if call.Again {
		client = c.fresh
	}
	res, err := client.Do(req)
	if err != nil {
		if !wrote.Load() {
			return Reply{}, &verdict.Error{Verdict: verdict.NotRun, Code: CodeDial, Reason: "the engine could not be reached", Cause: err}
		}
		return Reply{}, cut(err)
	}
	// Before anything else: what another call's answer says of having run is not of this one.
	if echoed := res.Header.Values(HeaderRequest); len(echoed) != 1 || echoed[0] != call.Request {
		_ = res.Body.Close()
		return Reply{}, &verdict.Error{Verdict: verdict.MayHaveRun, Code: CodeBad, Reason: "the engine's reply names another request"}
	}
	if res.StatusCode != http.StatusOK {
		defer res.Body.Close()
		return Reply{}, bounced(res)
	}
	handOver := time.Duration(-1)
	if ms, err := strconv.ParseInt(res.Header.Get(HeaderHandOver), 10, 32); err == nil && ms >= 0 {
		handOver = time.Duration(ms) * time.Millisecond
	}
	if call.Stream {
		return Reply{Stream: res.Body, HandOver: handOver}, nil
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, c.maxReply+1))
	if err != nil {
		return Reply{}, cut(err)
	}
	if int64(len(body)) > c.maxReply {
		return Reply{}, &verdict.Error{Verdict: verdict.Ran, Code: CodeBad, Reason: "the engine's reply is too long"}
	}
	if !json.Valid(body) {
		return Reply{}, &verdict.Error{Verdict: verdict.MayHaveRun, Code: CodeBad, Reason: "the engine's reply is not JSON"}
	}
	return Reply{Body: body, HandOver: handOver}, nil
}

func cut(err error) error {
	return &verdict.Error{Verdict: verdict.MayHaveRun, Code: CodeCut, Reason: "the connection to the engine broke", Cause: err}
}

// bounced reads a status that is not 200. Only an engine that says so itself,
// in the verdict header, proves that it did not start.
func bounced(res *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(res.Body, 512))
	e := &verdict.Error{Verdict: verdict.MayHaveRun, Status: res.StatusCode, Code: CodeBad, Reason: "the engine replied " + res.Status, Cause: errors.New(string(text))}
	if v, ok := verdict.Parse(res.Header.Get(verdict.Header)); ok {
		e.Verdict = v
	}
	switch {
	case e.Verdict != verdict.NotRun:
	case res.Header.Get(HeaderLapsed) != "":
		e.Code = CodeLapsed
	case res.Header.Get(HeaderLate) != "":
		e.Code = CodeLate
	case res.StatusCode == http.StatusConflict:
		e.Code = CodeRole
	case res.StatusCode == http.StatusTooManyRequests || res.StatusCode == http.StatusServiceUnavailable:
		e.Code = CodeBusy
	case res.StatusCode >= 400 && res.StatusCode < 500:
		e.Code = CodeInput
	}
	return e
}

// Load asks an engine for its report.
func (c *Consumer) Load(ctx context.Context, addr string) (Load, error) {
	var out Load
	return out, c.call(ctx, http.MethodGet, "http://"+addr+"/linedrum/load", nil, &out)
}

// ErrLapsed is an order that was not sent, since it came too late for it.
const ErrLapsed = errors.ConstError("it is too late for the order")

// ErrStale is an engine that obeyed a newer order already.
const ErrStale = errors.ConstError("the engine obeyed a newer order")

// Order gives an engine its role.
func (c *Consumer) Order(ctx context.Context, addr string, order Order) error {
	if order.Lapsed() {
		return ErrLapsed
	}
	return c.call(ctx, http.MethodPost, "http://"+addr+"/linedrum/role", order, nil)
}

func (c *Consumer) call(ctx context.Context, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return errors.Trace(err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return errors.Trace(err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusConflict {
		return ErrStale
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("engine replied %s", res.Status)
	}
	if out == nil {
		return nil
	}
	return errors.Trace(json.NewDecoder(io.LimitReader(res.Body, 64<<10)).Decode(out))
}
