// Package httpapi is the project's own interface: callers' completions, and the
// operators' and the platform's endpoints (docs/interfaces.md sections 1 and 2).
package httpapi

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"linedrum.example/linedrum/acquire"
	"linedrum.example/linedrum/budget"
	"linedrum.example/linedrum/control"
	"linedrum.example/linedrum/drain"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/explain"
	"linedrum.example/linedrum/inbound"
	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/link"
	"linedrum.example/linedrum/serve"
	"linedrum.example/linedrum/settings"
	"linedrum.example/linedrum/strict"
	"linedrum.example/linedrum/verdict"
)

// Node is what the face shows and works on.
type Node interface {
	Settings() settings.Settings
	Log() *event.Log
	Net() link.Network
	// Port is an address to listen at.
	Port(addr string) acquire.Resource
	Now() time.Duration
	Uint64() uint64
	OpID() string
	Background(run func(ctx context.Context))

	// InForce is what is in force; false without a lease that says so.
	InForce() (serve.InForce, bool)
	NotReady() string
	Status() control.Status
	Counts() map[string]uint64
	Records() []explain.Record
	Explain(ctx context.Context, id string) explain.Search
	KnowsSite(site string) bool
	// Peers is the budget of what peers may hold.
	Peers() *budget.Budget
}

// Face is the HTTP side: callers, operators and the platform.
type Face struct {
	n        Node
	settings settings.Settings
	path     *serve.Server
	control  *control.Control
	server   *http.Server
	listener net.Listener
	conns    *drain.Conns
	whole    atomic.Int64 // requests read whole
}

// New makes the face of a node; it listens from Serve on.
func New(n Node, path *serve.Server, c *control.Control) *Face {
	f := &Face{conns: drain.New(n.Now, n.Log()), n: n, settings: n.Settings(), path: path, control: c}
	limits := f.settings.Limits
	r := chi.NewRouter()
	r.Use(func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if size, longest := headerSize(r); size > limits.Header {
				f.failUnread(w, r, serve.Bad(http.StatusRequestHeaderFieldsTooLarge, "too-long", longest, "the headers are longer than %d bytes together", limits.Header))
				return
			}
			next.ServeHTTP(w, r)
		})
	})
	r.Post("/v1/completions", f.completions)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]any{"alive": true})
	})
	r.Get("/readyz", f.ready)
	r.Get("/linedrum/status", f.showStatus)
	r.Get("/linedrum/counters", f.showCounters)
	r.Get("/linedrum/window", f.getWindow)
	r.Get("/linedrum/desk", operator(f.getDesk))
	r.Put("/linedrum/desk", operator(f.putDesk))
	r.Get("/linedrum/desk/outcome", operator(f.deskOutcome))
	r.Put("/linedrum/engines", operator(f.putEngines))
	r.Get("/linedrum/engines", operator(f.getEngines))
	r.Post("/linedrum/sites", operator(f.postSites))
	r.Get("/linedrum/explain", f.explain)
	r.Get("/linedrum/records", f.records)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		f.failUnread(w, r, &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusNotFound, Code: "no-such-path", Reason: "there is nothing at this path"})
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		f.failUnread(w, r, &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusMethodNotAllowed, Code: "bad-method", Reason: "this path does not take this method"})
	})
	f.server = inbound.NewServer(inbound.Config{
		// The library's own bound replies without a body: it stands above ours.
		Handler: r, Track: f.conns.Track, HeadBytes: 4 * limits.Header, HeadWithin: limits.Slow.D(), Idle: time.Minute,
	})
	return f
}

// headerSize sums the headers up and names the longest one.
func headerSize(r *http.Request) (size int, longest string) {
	most := 0
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + 4
			if len(v) >= most {
				most, longest = len(v), name
			}
		}
	}
	return size, longest
}

// Serve begins to listen, or to wait for the port.
func (f *Face) Serve() error {
	addr, err := netip.ParseAddrPort(f.settings.HTTP)
	if err != nil {
		return errors.Annotate(err, "http")
	}
	bounds := inbound.Bounds{Pool: f.n.Peers().Pool(budget.Own), Slow: f.settings.Limits.Slow.D()}
	port := inbound.Open(f.n.Port(f.settings.HTTP), net.TCPAddrFromAddrPort(addr), bounds, func() (net.Listener, error) {
		return f.n.Net().Listen(f.settings.HTTP)
	})
	f.listener = inbound.Listen(port, bounds)
	f.n.Background(func(context.Context) { _ = f.server.Serve(f.listener) })
	return nil
}

// Close ends all connections at once.
func (f *Face) Close() { _ = f.server.Close() }

// Drain takes no new connection, replies to what comes on those that are there until the
// schedule's Take, and closes each after its last byte; what comes later is refused by the
// path. An idle one may have a request on its way: it gets a moment before it is closed.
// What was read whole is finished, however long its own expiry lets it take.
func (f *Face) Drain(drain.Schedule) {
	f.conns.Begin()
	_ = f.listener.Close()
	bounds := f.settings.Bounds
	ctx, cancel := context.WithTimeout(context.Background(), bounds.Drain.D())
	defer cancel()
	lifecycle.Pause(ctx, bounds.InForce.D()/8)
	f.conns.Close(ctx, bounds.InForce.D()/8)
	_ = f.server.Shutdown(ctx)
	// What was not read whole by now is given up; what was has its own expiry.
	rest, done := context.WithCancel(context.Background())
	defer done()
	lifecycle.Every(rest, bounds.InForce.D()/100, func() {
		if f.whole.Load() == 0 {
			done()
		}
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(b, '\n'))
}

// problem is the body of every reply that is not a result.
type problem struct {
	Error struct {
		Code    string         `json:"code"`
		Message string         `json:"message"`
		Field   string         `json:"field,omitempty"`
		Verdict string         `json:"verdict"`
		Request string         `json:"request,omitempty"`
		Faults  []strict.Fault `json:"faults,omitempty"`
		Serial  *uint64        `json:"serial,omitempty"`
	} `json:"error"`
}

func problemOf(e *verdict.Error, request string) problem {
	var p problem
	p.Error.Code, p.Error.Message, p.Error.Field = e.Code, e.Reason, e.Field
	p.Error.Verdict, p.Error.Request = e.Verdict.String(), request
	var faults strict.Faults
	if errors.As(e.Cause, &faults) {
		p.Error.Faults = faults
	}
	return p
}

// fail writes a failure with its verdict, in a header and in the body.
func (f *Face) fail(w http.ResponseWriter, e *verdict.Error) {
	p := problemOf(e, w.Header().Get("X-Request-Id"))
	f.failWith(w, e, p)
}

// refuse writes a refusal as it is told now, and says what was told.
func (f *Face) refuse(w http.ResponseWriter, refusal *serve.Refusal) *verdict.Error {
	told := refusal.Told()
	f.fail(w, told)
	return told
}

// failUnread is fail for what was not read far enough to look its key up: of a
// keyed request it cannot say not-run (section 5.7).
func (f *Face) failUnread(w http.ResponseWriter, r *http.Request, e *verdict.Error) {
	if len(r.Header.Values(serve.FieldKey)) > 0 {
		e.Verdict = verdict.MayHaveRun
	}
	f.fail(w, e)
}

func (f *Face) failWith(w http.ResponseWriter, e *verdict.Error, p problem) {
	w.Header().Set(verdict.Header, e.Verdict.String())
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((e.RetryAfter+time.Second-1)/time.Second)))
	}
	f.conns.Last(w.Header())
	writeJSON(w, e.Status, p)
}

// bodyCopies is how many times a body is held while its request is in hand, and bodyPart what
// one may be of what all peers of this interface may hold.
const (
	bodyCopies = 2
	bodyPart   = 3
)

// readBody takes at most limit bytes.
func (f *Face) readBody(w http.ResponseWriter, r *http.Request, limit int) ([]byte, *verdict.Error) {
	if share := inbound.Share(r); share > 0 {
		limit = min(limit, int(share/bodyPart))
	}
	body, err := inbound.ReadBody(r, limit, bodyCopies)
	if err != nil {
		w.Header().Set("Connection", "close")
	}
	switch {
	case errors.Is(err, inbound.ErrTooLong):
		return nil, &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusRequestEntityTooLarge, Code: "too-long",
			Field: "(body)", Reason: "the body is longer than " + strconv.Itoa(limit) + " bytes"}
	case inbound.Crowded(err):
		return nil, serve.Crowded().Told()
	case err != nil:
		return nil, &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusBadRequest, Code: "bad-body",
			Field: "(body)", Reason: "the body could not be read whole", Cause: err}
	}
	return body.Bytes(), nil
}

func (f *Face) ready(w http.ResponseWriter, _ *http.Request) {
	why := f.n.NotReady()
	if inForce, _ := f.n.InForce(); why == "" && inForce.Value().Sites.Empty[f.settings.Site] {
		why = "site emptied"
	}
	if why != "" {
		writeJSON(w, http.StatusServiceUnavailable, map[string]any{"ready": false, "reason": why})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"ready": true})
}

func (f *Face) showCounters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, f.n.Counts())
}

func (f *Face) showStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, f.n.Status())
}

// explain finds a request's record, on whichever node it is (section 5.8).
func (f *Face) explain(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	if id == "" || len(id) > 128 {
		f.fail(w, serve.Bad(http.StatusBadRequest, "bad-field", "id", "the query must say id=ID, a request's id"))
		return
	}
	found := f.n.Explain(r.Context(), id)
	if found.Record != nil {
		writeJSON(w, http.StatusOK, found.Record)
		return
	}
	e := &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusNotFound, Code: "no-record",
		Reason: "no live node has a record of this request: it was pruned, or its node is gone or was restarted"}
	writeJSON(w, e.Status, map[string]any{
		"error":   problemOf(e, "").Error,
		"asked":   found.Asked,
		"silent":  found.Silent,
		"gone":    found.Departed,
		"records": f.settings.Limits.Records,
	})
}

// records gives all records of this node, one a line, for replay.
func (f *Face) records(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := json.NewEncoder(w)
	for _, rec := range f.n.Records() {
		if out.Encode(rec) != nil {
			return
		}
	}
}
