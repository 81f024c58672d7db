package platform

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/link"
)

// Pace is how engines of a service work.
type Pace struct {
	Queue       int     `json:"queue"`         // requests that may wait
	Step        float64 `json:"step_ms"`       // one round of the batch
	StepSlot    float64 `json:"step_ms_slot"`  // and more for each request in it
	Read        float64 `json:"tokens_ms"`     // prompt tokens read in a millisecond
	Chunk       int     `json:"chunk"`         // tokens read at once
	MoveSetup   float64 `json:"move_ms"`       // before memory moves
	Work        float64 `json:"work_ms"`       // of a request without tokens
	Handshake   float64 `json:"handshake_ms"`  // a new connection
	ChecksFence bool    `json:"checks_fence"`  // 412 for a lower fence
	Linger      float64 `json:"linger_ms"`     // idle connections are closed after it
	Leaves      float64 `json:"leaves_ms"`     // a draining engine serves for so long
	Prompt      float64 `json:"prompt_share"`  // of engines that begin as readers
	ReportLag   float64 `json:"report_lag_ms"` // how old a report is
	SlowStart   float64 `json:"slow_start_x"`  // a cold engine's work takes so many times as long; 0: as long
}

// DefaultPace is that of the sites' sheets.
func DefaultPace() Pace {
	return Pace{
		Queue: 192, Step: 3.09, StepSlot: 0.102, Read: 56.9, Chunk: 4096, MoveSetup: 3.3, Work: 20, Handshake: 1,
		Linger: 1500, Leaves: 4000, Prompt: 0.41, ReportLag: 100,
	}
}

// Trouble is what may be wrong with an engine.
type Trouble struct {
	Dark     bool    // takes bytes and says nothing
	Cut      float64 // share of answers that it breaks off
	Garbage  float64 // share of answers that are none
	Excess   float64 // share of answers after which more bytes come at once
	LateBit  float64 // share of answers after which another answer comes late
	Lost     float64 // share of requests that run and whose answer is lost
	SlowMove float64 // moves take so many times as long
	Lapse    bool    // handles are gone at once
	SlowWork float64 // work takes so many times as long
	Full     bool    // turns every request away
	Grey     float64 // share of requests that it fails while its health answer is good
	GreyHow  GreyWay // how
}

// Engine is one life of one engine.
type Engine struct {
	ID, Zone, Region, Addr, Version string

	service  *Service
	pace     Pace
	site     *Site
	crew     *lifecycle.Crew
	listener net.Listener
	wake     chan struct{}
	began    time.Time

	mu       sync.Mutex
	random   *rand.Rand
	trouble  Trouble
	over     bool
	draining bool
	cold     time.Time // until
	stage    string
	next     string // stage that it switches to; empty: no order is under way
	calls    int
	fence    uint64
	conns    map[net.Conn]bool
	seq      int
	waiting  []*job
	running  []*job
	kept     map[string]*keep
	handles  map[string]*handle
	moveFree time.Time
	places   places   // of a plain engine
	past     []Report // oldest first
}

// keep is a part that an engine holds; what is pinned cannot give way.
type keep struct {
	tokens int
	pins   int
	last   time.Time
}

// handle is a read prompt's memory.
type handle struct {
	attempt string
	parts   []string
	tokens  int
	until   time.Time
}

// job is a request at work.
type job struct {
	rec     *Arrival
	urgency int
	seq     int
	parts   []Part
	read    int // tokens left to read
	from    int // events before it
	out     int // last token
	done    int
	sent    int
	by      time.Time
	only    bool // the prompt alone is read
	moved   bool
	begun   bool
	gone    bool
	events  chan step
}

// step is what an engine tells of a job.
type step struct {
	refused  bool
	handle   string
	from, to int
	end      bool
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// digest names bytes in records.
func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8])
}

// startEngine brings one life up on its address.
func startEngine(s *Site, network link.Network, id, zone, addr, version, stage string, service *Service, pace Pace, cold bool) (*Engine, error) {
	listener, err := network.Listen(addr)
	if err != nil {
		return nil, err
	}
	e := &Engine{
		ID: id, Zone: zone, Region: s.Spec.Regions[zone], Addr: listener.Addr().String(), Version: version, service: service, pace: pace, site: s, listener: listener,
		crew: lifecycle.New(s.crew.Context()), wake: make(chan struct{}, 1), began: time.Now(), stage: stage,
		random: rand.New(rand.NewPCG(s.Spec.Seed, hash(id))), conns: map[net.Conn]bool{}, kept: map[string]*keep{}, handles: map[string]*handle{},
	}
	if cold {
		e.cold = e.began.Add(time.Duration(service.Warmup * float64(time.Second)))
	}
	e.crew.Start(e.accept)
	if service.plain == nil {
		e.crew.Start(e.work)
		e.crew.Start(e.remember)
	}
	return e, nil
}

func hash(text string) uint64 {
	sum := sha256.Sum256([]byte(text))
	var out uint64
	for _, b := range sum[:8] {
		out = out<<8 | uint64(b)
	}
	return out
}

// stop ends the life at once.
func (e *Engine) stop() {
	e.mu.Lock()
	e.over = true
	for c := range e.conns {
		abort(c)
	}
	e.mu.Unlock()
	_ = e.listener.Close()
	e.crew.Stop()
}

// Set changes what is wrong with the engine.
func (e *Engine) Set(t Trouble) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.trouble = t
	if t.Lapse {
		for id := range e.handles {
			e.drop(id)
		}
	}
}

// Chill has the engine be cold once more.
func (e *Engine) Chill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = time.Now().Add(time.Duration(e.service.Warmup * float64(time.Second)))
}

func (e *Engine) now() (Trouble, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.trouble, e.over
}

// remember keeps reports, for they tell what was some hundred ms ago.
func (e *Engine) remember(ctx context.Context) {
	for {
		e.mu.Lock()
		e.past = append(e.past, e.report())
		if len(e.past) > 3 {
			e.past = e.past[1:]
		}
		e.mu.Unlock()
		if !lifecycle.Pause(ctx, ms(e.pace.ReportLag/2)) {
			return
		}
	}
}

// lapse drops the handles that nobody took in time. Called under mu.
func (e *Engine) lapse(now time.Time) {
	for id, h := range e.handles {
		if now.After(h.until) {
			e.drop(id)
			e.site.Evidence.add(func() { e.site.Evidence.Waste += h.tokens })
		}
	}
}

// report. Called under mu.
func (e *Engine) report() Report {
	e.lapse(time.Now())
	return Report{
		Stage: e.stage, Models: e.service.Engine.Models, Busy: e.next != "", Calls: e.calls, Waiting: len(e.waiting), Running: len(e.running),
		Used: e.used(), Total: e.service.Engine.Memory, Handles: len(e.handles),
	}
}

// used is what cannot give way. Called under mu.
func (e *Engine) used() (sum int) {
	for _, k := range e.kept {
		if k.pins > 0 {
			sum += k.tokens
		}
	}
	for _, j := range e.running {
		sum += j.out - j.from
	}
	return sum
}

func (e *Engine) accept(ctx context.Context) {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.site.Evidence.add(func() { e.site.Evidence.Conns++ })
		e.mu.Lock()
		full := len(e.conns) >= e.service.MaxConns || e.over
		if !full {
			e.conns[c] = true
		}
		e.mu.Unlock()
		if full {
			abort(c)
			continue
		}
		e.crew.Start(func(ctx context.Context) {
			defer func() {
				e.mu.Lock()
				delete(e.conns, c)
				e.mu.Unlock()
				_ = c.Close()
			}()
			lifecycle.Pause(ctx, ms(e.pace.Handshake))
			e.serve(ctx, newLine(c))
		})
	}
}

// serve takes one request after the other.
func (e *Engine) serve(ctx context.Context, l *line) {
	for {
		_ = l.SetReadDeadline(time.Now().Add(ms(e.pace.Linger) + time.Second/2))
		if t, _ := e.now(); t.Dark {
			<-ctx.Done()
			return
		}
		req, err := http.ReadRequest(l.in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if t, _ := e.now(); t.Dark {
			<-ctx.Done()
			return
		}
		if !e.handle(ctx, l, req, body) {
			return
		}
	}
}

// answer writes a whole answer; false: the connection ends.
func (e *Engine) answer(l *line, req *http.Request, status int, header http.Header, body []byte) bool {
	var b bytes.Buffer
	e.head(&b, req, status, header)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	_, err := l.Write(b.Bytes())
	return err == nil && !e.leaving()
}

func (e *Engine) leaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.draining
}

func (e *Engine) head(b *bytes.Buffer, req *http.Request, status int, header http.Header) {
	fmt.Fprintf(b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id := req.Header.Get(HeaderAttempt); id != "" {
		fmt.Fprintf(b, "%s: %s\r\n", HeaderAttempt, id)
	}
	fmt.Fprintf(b, "%s: %s\r\n", HeaderServer, e.ID)
	e.mu.Lock()
	b.WriteString(e.loadHeader())
	leaving := e.draining
	e.mu.Unlock()
	if leaving {
		b.WriteString("Connection: close\r\n")
	} else {
		fmt.Fprintf(b, "Keep-Alive: timeout=%d\r\n", max(1, int(e.pace.Linger/1000)))
	}
	_ = header.Write(b)
}

func (e *Engine) json(l *line, req *http.Request, status int, body any) bool {
	b, _ := json.Marshal(body)
	return e.answer(l, req, status, http.Header{"Content-Type": {"application/json"}}, b)
}

func (e *Engine) refuse(l *line, req *http.Request, status int) bool {
	return e.answer(l, req, status, http.Header{HeaderNotRun: {"1"}}, nil)
}

// handle serves one request; false: the connection ends.
func (e *Engine) handle(ctx context.Context, l *line, req *http.Request, body []byte) bool {
	ev := e.site.Evidence
	wrong := req.Header.Get(HeaderExpect) != "" && req.Header.Get(HeaderExpect) != e.ID
	switch {
	case req.Method == http.MethodGet && req.URL.Path == e.service.Health:
		ev.add(func() { ev.Health++ })
		if e.service.plain != nil {
			return e.plainHealth(ctx, l, req)
		}
		e.mu.Lock()
		well, left := !e.draining && !e.trouble.Full, time.Until(e.cold)
		e.mu.Unlock()
		header := http.Header{}
		if left > 0 {
			header.Set(HeaderCold, strconv.FormatInt(left.Milliseconds(), 10))
		}
		if !well {
			return e.answer(l, req, http.StatusServiceUnavailable, header, nil)
		}
		return e.answer(l, req, http.StatusOK, header, nil)
	case e.service.plain != nil && strings.HasPrefix(req.URL.Path, "/-/"):
		// It has no report, no handles and no stage to change.
		ev.add(func() { ev.Health++; ev.Strange++ })
		return e.refuse(l, req, http.StatusServiceUnavailable)
	case req.Method == http.MethodGet && req.URL.Path == "/-/report":
		ev.add(func() { ev.Health++ })
		e.mu.Lock()
		r := e.report()
		if len(e.past) > 0 {
			r = e.past[0]
		}
		e.mu.Unlock()
		return e.json(l, req, http.StatusOK, r)
	case req.Method == http.MethodDelete && strings.HasPrefix(req.URL.Path, "/-/kv-handle/"):
		e.mu.Lock()
		e.drop(strings.TrimPrefix(req.URL.Path, "/-/kv-handle/"))
		e.mu.Unlock()
		return e.answer(l, req, http.StatusOK, nil, nil)
	case req.Method == http.MethodPost && req.URL.Path == "/-/order":
		if wrong {
			return e.answer(l, req, http.StatusMisdirectedRequest, nil, nil)
		}
		return e.json(l, req, e.order(l, body), struct{}{})
	}
	rec := &Arrival{
		At: time.Now(), Engine: e.ID, Service: e.service.Name, Zone: e.Zone, Machine: ipOf(l.RemoteAddr().String()), Attempt: req.Header.Get(HeaderAttempt),
		Method: req.Method, Host: req.Host, Target: req.URL.RequestURI(), Body: digest(body), Stage: req.Header.Get(HeaderStage), Misled: wrong,
	}
	rec.Resume, _ = strconv.Atoi(req.Header.Get(HeaderResume))
	e.mu.Lock()
	rec.Cold, rec.Draining = time.Now().Before(e.cold), e.draining
	e.mu.Unlock()
	ev.add(func() { ev.Arrivals = append(ev.Arrivals, rec) })
	t, _ := e.now()
	version := req.Header.Get(HeaderVersion)
	switch {
	case wrong || version != "" && !e.holds(version):
		ev.add(func() { rec.Misled = true })
		return e.answer(l, req, http.StatusMisdirectedRequest, nil, nil)
	case rec.Attempt == "":
		return e.refuse(l, req, http.StatusBadRequest)
	case t.Full:
		return e.refuse(l, req, http.StatusServiceUnavailable)
	case t.Grey > 0 && e.draw() < t.Grey:
		return e.grey(ctx, l, req, rec, t.GreyHow)
	}
	if e.service.plain != nil {
		return e.whole(ctx, l, req, rec)
	}
	if req.Header.Get(HeaderTokens) == "" {
		return e.plain(ctx, l, req, rec)
	}
	return e.generate(ctx, l, req, rec)
}

func (e *Engine) holds(version string) bool {
	for _, m := range e.models() {
		if strconv.Itoa(max(m.Version, 1)) == version {
			return true
		}
	}
	return false
}

// enqueue puts a job in the queue; a status tells why not.
func (e *Engine) enqueue(j *job) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	need := 0
	for _, p := range j.parts {
		need += p.Tokens
	}
	wants := StageGenerate
	if j.only {
		wants = StagePrompt
	}
	switch {
	case e.next != "":
		return http.StatusServiceUnavailable
	case len(j.parts) > 0 && e.stage != wants:
		return http.StatusMisdirectedRequest
	case len(e.waiting) >= e.pace.Queue || need+j.out > e.service.Engine.Memory:
		return http.StatusServiceUnavailable
	}
	e.seq++
	j.seq = e.seq
	e.waiting = append(e.waiting, j)
	e.kick()
	return 0
}

func (e *Engine) kick() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) leave(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.gone = true
	e.kick()
}

func newJob(req *http.Request, rec *Arrival) *job {
	j := &job{rec: rec, urgency: 5, from: rec.Resume, events: make(chan step, 4)}
	left, err := strconv.Atoi(req.Header.Get(HeaderLeft))
	if err != nil {
		left = 60000
	}
	j.by = rec.At.Add(time.Duration(left) * time.Millisecond)
	if u, err := strconv.Atoi(req.Header.Get(HeaderUrgency)); err == nil {
		j.urgency = u
	}
	return j
}

// plain runs a request without tokens: it takes a slot for a while.
func (e *Engine) plain(ctx context.Context, l *line, req *http.Request, rec *Arrival) bool {
	j := newJob(req, rec)
	j.out = 1
	j.events = make(chan step, 4)
	if status := e.enqueue(j); status != 0 {
		return e.refuse(l, req, status)
	}
	ctx, cancel := context.WithDeadline(ctx, j.by)
	defer cancel()
	l.look(e.crew, cancel)
	defer l.done()
	defer e.leave(j)
	for {
		select {
		case <-ctx.Done():
			return e.late(l, req, j)
		case s := <-j.events:
			if s.refused {
				return e.refuse(l, req, http.StatusServiceUnavailable)
			}
			if !s.end {
				continue
			}
			text := fmt.Sprintf("%s %s %s\n", rec.Attempt, rec.Run, strings.Repeat("w", 64))
			header := http.Header{HeaderSeal: {rec.Run + "." + digest([]byte(text))}, "Content-Type": {"text/plain"}}
			return e.finish(l, req, rec, func() bool { return e.answer(l, req, http.StatusOK, header, []byte(text)) })
		}
	}
}

// brokeOff tells that the engine has ended, and notes that it broke a request off. Its own end
// of the connection may hear of that first, and take the client for gone.
func (e *Engine) brokeOff(rec *Arrival) bool {
	_, over := e.now()
	if over {
		e.site.Evidence.add(func() { rec.Broken, rec.Ended = true, time.Now() })
	}
	return over
}

// late ends what reached its deadline, or whose client has gone.
func (e *Engine) late(l *line, req *http.Request, j *job) bool {
	if e.brokeOff(j.rec) {
		return false
	}
	if l.lost.Load() || time.Now().Before(j.by) {
		return false
	}
	e.mu.Lock()
	begun := j.begun
	e.mu.Unlock()
	e.site.Evidence.add(func() { j.rec.Failed, j.rec.Ended = true, time.Now() })
	if !begun {
		return e.refuse(l, req, http.StatusServiceUnavailable)
	}
	return e.answer(l, req, http.StatusGatewayTimeout, nil, nil)
}

// finish writes an answer, or spoils it.
func (e *Engine) finish(l *line, req *http.Request, rec *Arrival, write func() bool) bool {
	e.mu.Lock()
	t, dice := e.trouble, e.random.Float64()
	e.mu.Unlock()
	if e.spoil(l, rec, t, dice) {
		return false
	}
	if dice < t.Lost+t.Garbage+t.Cut {
		e.site.Evidence.add(func() { rec.Broken, rec.Ended = true, time.Now() })
		_, _ = fmt.Fprintf(l, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\nContent-Length: 5000\r\n\r\nhalf", HeaderAttempt, rec.Attempt, HeaderSeal)
		return false
	}
	e.site.Evidence.add(func() { rec.Whole, rec.Ended = true, time.Now() })
	more := write()
	return e.excess(l, req, t, dice, more)
}

// spoil loses an answer, or gives bytes that are none; false: neither.
func (e *Engine) spoil(l *line, rec *Arrival, t Trouble, dice float64) bool {
	if !t.Dark && dice >= t.Lost+t.Garbage {
		return false
	}
	e.site.Evidence.add(func() { rec.Broken, rec.Ended = true, time.Now() })
	if t.Dark || dice < t.Lost {
		abort(l.Conn)
	} else {
		_, _ = l.Write([]byte("\x00\x17%%% no answer at all\r\n\r\n"))
	}
	return true
}

// excess sends more after a whole answer, at once or late.
func (e *Engine) excess(l *line, req *http.Request, t Trouble, dice float64, more bool) bool {
	if !more || 1-dice >= t.Excess+t.LateBit {
		return more
	}
	if 1-dice >= t.Excess {
		lifecycle.Pause(e.crew.Context(), 30*time.Millisecond)
	}
	_, err := fmt.Fprintf(l, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stray.0\r\nContent-Length: 5\r\n\r\nstray", HeaderAttempt, "f00d"+req.Header.Get(HeaderAttempt)[4:], HeaderSeal)
	return err == nil
}

// generate runs a request of a model, or reads its prompt alone.
func (e *Engine) generate(ctx context.Context, l *line, req *http.Request, rec *Arrival) bool {
	ev := e.site.Evidence
	j := newJob(req, rec)
	j.parts = parseParts(req.Header.Get(HeaderParts))
	j.only = rec.Stage == StagePrompt
	_, out, _ := strings.Cut(req.Header.Get(HeaderTokens), ",")
	j.out, _ = strconv.Atoi(out)
	j.out = max(j.out, 1)
	j.done, j.sent = j.from, j.from
	j.events = make(chan step, j.out+4)
	if source := req.Header.Get(HeaderSource); source != "" {
		if j.only {
			return e.refuse(l, req, http.StatusMisdirectedRequest)
		}
		if !e.fetch(ctx, j, source) {
			return e.refuse(l, req, http.StatusServiceUnavailable)
		}
		defer func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.unpin(j)
		}()
	}
	if status := e.enqueue(j); status != 0 {
		if status == http.StatusMisdirectedRequest {
			ev.add(func() { rec.Misled = true })
		}
		return e.refuse(l, req, status)
	}
	ctx, cancel := context.WithDeadline(ctx, j.by)
	defer cancel()
	l.look(e.crew, cancel)
	defer l.done()
	defer e.leave(j)
	e.mu.Lock()
	t, dice, cutAt := e.trouble, e.random.Float64(), j.from+1+e.random.IntN(j.out)
	e.mu.Unlock()
	spoilt := dice < t.Lost+t.Garbage+t.Cut
	begun := false
	out2 := bufio.NewWriter(l)
	for {
		select {
		case <-ctx.Done():
			if begun {
				if !e.brokeOff(rec) {
					ev.add(func() { rec.Broken, rec.Ended = !l.lost.Load(), time.Now() })
				}
				return false
			}
			return e.late(l, req, j)
		case s := <-j.events:
			switch {
			case s.refused:
				return e.refuse(l, req, http.StatusServiceUnavailable)
			case s.handle != "":
				ev.add(func() { rec.Whole, rec.Ended = true, time.Now() })
				return e.json(l, req, http.StatusOK, map[string]any{"prompt_handle": s.handle, "tokens": tokensOf(j.parts), "version": 1})
			case s.to > s.from:
				if !begun {
					begun = true
					if e.spoil(l, rec, t, dice) {
						return false
					}
					var b bytes.Buffer
					e.head(&b, req, http.StatusOK, http.Header{HeaderSeal: {rec.Run + ".0"}, "Content-Type": {"text/event-stream"}, "Transfer-Encoding": {"chunked"}, HeaderVersions: {"1"}})
					b.WriteString("\r\n")
					_, _ = out2.Write(b.Bytes())
				}
				text := fmt.Sprintf("id: %d\ndata: %s %s %d %d %d\n\n", s.to, rec.Attempt, rec.Run, s.from+1, j.out, time.Now().UnixNano())
				fmt.Fprintf(out2, "%x\r\n%s\r\n", len(text), text)
				if out2.Flush() != nil {
					e.brokeOff(rec)
					return false
				}
				ev.add(func() { rec.Pieces = s.to })
				if spoilt && s.to >= cutAt && !s.end {
					ev.add(func() { rec.Broken, rec.Ended = true, time.Now() })
					return false
				}
			}
			if s.end {
				ev.add(func() { rec.Whole, rec.Ended = true, time.Now() })
				_, _ = out2.WriteString("0\r\n\r\n")
				ok := out2.Flush() == nil && !e.leaving()
				return e.excess(l, req, t, dice, ok)
			}
		}
	}
}

func tokensOf(parts []Part) (sum int) {
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}

// fetch moves a handle's memory here.
func (e *Engine) fetch(ctx context.Context, j *job, source string) bool {
	addr, id, _ := strings.Cut(source, "/")
	from := e.site.engineAt(addr)
	if from == nil {
		return false
	}
	now := time.Now()
	e.mu.Lock()
	start := e.moveFree
	if start.Before(now) {
		start = now
	}
	slow := max(e.trouble.SlowMove, 1)
	e.mu.Unlock()
	if start.Sub(now) > 2*time.Second {
		return false
	}
	from.mu.Lock()
	h := from.handles[id]
	if h == nil || now.After(h.until) || from.over || from.trouble.Dark {
		from.mu.Unlock()
		return false
	}
	from.drop(id)
	from.mu.Unlock()
	e.mu.Lock()
	tokens := tokensOf(j.parts)
	for _, p := range j.parts {
		if k := e.kept[p.ID]; k == nil {
			break
		}
		tokens -= p.Tokens
	}
	far := 1.0
	switch {
	case from.Region != e.Region:
		far = 10
	case from.Zone != e.Zone:
		far = 2
	}
	took := e.pace.MoveSetup + float64(tokens)*float64(e.service.Engine.TokenBytes)*8/(e.service.Engine.Link*1000)
	e.moveFree = start.Add(ms(took * far * slow))
	until := e.moveFree
	e.pin(j)
	e.mu.Unlock()
	ev := e.site.Evidence
	ev.add(func() { j.rec.Source, j.rec.Fetched = h.attempt, tokens; ev.Moved += tokens })
	j.moved = true
	return lifecycle.Pause(ctx, time.Until(until))
}

// drop lets go of a handle. Called under mu.
func (e *Engine) drop(id string) {
	h := e.handles[id]
	if h == nil {
		return
	}
	delete(e.handles, id)
	for _, p := range h.parts {
		if k := e.kept[p]; k != nil {
			k.pins--
		}
	}
}

// pin holds a job's parts, as kept. Called under mu.
func (e *Engine) pin(j *job) {
	for _, p := range j.parts {
		k := e.kept[p.ID]
		if k == nil {
			k = &keep{tokens: p.Tokens}
			e.kept[p.ID] = k
		}
		k.pins++
		k.last = time.Now()
	}
	e.evict(0)
}

// unpin lets them give way. Called under mu.
func (e *Engine) unpin(j *job) {
	for _, p := range j.parts {
		if k := e.kept[p.ID]; k != nil && k.pins > 0 {
			k.pins--
			k.last = time.Now()
		}
	}
}

// evict makes room, the longest unused first; false: there is none. Called under mu.
func (e *Engine) evict(need int) bool {
	for {
		sum, oldest := need, ""
		for id, k := range e.kept {
			sum += k.tokens
			if k.pins == 0 && (oldest == "" || k.last.Before(e.kept[oldest].last) || k.last.Equal(e.kept[oldest].last) && id < oldest) {
				oldest = id
			}
		}
		for _, j := range e.running {
			sum += j.out - j.from
		}
		if sum <= e.service.Engine.Memory {
			return true
		}
		if oldest == "" {
			return false
		}
		delete(e.kept, oldest)
	}
}

// order takes an order.
func (e *Engine) order(l *line, body []byte) int {
	var o Order
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.Fence == nil || o.Operation != "stage" || o.Stage != StagePrompt && o.Stage != StageGenerate {
		return http.StatusBadRequest
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case e.pace.ChecksFence && *o.Fence < e.fence:
		status = http.StatusPreconditionFailed
	case o.Expected != nil && *o.Expected != e.calls || e.next != "" && e.next != o.Stage:
		status = http.StatusConflict
	case e.stage == o.Stage && e.next == "" || e.next == o.Stage:
		status = http.StatusOK
	}
	e.fence = max(e.fence, *o.Fence)
	if status == http.StatusAccepted {
		e.calls++
		e.next = o.Stage
		for _, j := range e.waiting {
			j.events <- step{refused: true}
		}
		e.waiting = nil
		e.kick()
	}
	given := Given{At: time.Now(), Engine: e.ID, Machine: ipOf(l.RemoteAddr().String()), Holder: o.Holder, Fence: *o.Fence, Status: status}
	e.site.Evidence.add(func() { e.site.Evidence.Orders = append(e.site.Evidence.Orders, given) })
	return status
}

// work is the batch, round after round.
func (e *Engine) work(ctx context.Context) {
	for {
		e.mu.Lock()
		took, flip := e.round()
		e.mu.Unlock()
		if took == 0 {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
			}
			continue
		}
		if !lifecycle.Pause(ctx, took) {
			return
		}
		e.mu.Lock()
		if flip {
			e.stage, e.next = e.next, ""
		} else {
			e.advance()
		}
		e.mu.Unlock()
	}
}

// round begins one: who is in it, and how long it takes. Called under mu.
func (e *Engine) round() (time.Duration, bool) {
	now := time.Now()
	e.lapse(now)
	e.running = e.live(e.running)
	var still []*job
	for _, j := range e.waiting {
		switch {
		case j.gone:
		case now.After(j.by):
			j.events <- step{refused: true}
		default:
			still = append(still, j)
		}
	}
	e.waiting = still
	if e.next != "" && len(e.running) == 0 {
		return time.Duration(e.service.Engine.Switch * float64(time.Second)), true
	}
	for len(e.running) < e.service.Engine.Slots && len(e.waiting) > 0 && e.next == "" {
		best := 0
		for i, j := range e.waiting {
			if j.urgency < e.waiting[best].urgency {
				best = i
			}
		}
		j := e.waiting[best]
		if !e.admit(j) {
			break
		}
		e.waiting = append(e.waiting[:best:best], e.waiting[best+1:]...)
	}
	if len(e.running) == 0 {
		return 0, false
	}
	took := e.pace.Step + e.pace.StepSlot*float64(len(e.running))
	if e.stage == StagePrompt {
		took = 0.2
	}
	if len(e.running) > 0 && len(e.running[0].parts) == 0 {
		took = e.pace.Work
	}
	if j, piece := e.reading(); j != nil {
		rate := e.pace.Read
		if e.stage == StageGenerate {
			rate /= 2
		}
		took += float64(piece) / rate
	}
	if now.Before(e.cold) {
		took *= max(e.pace.SlowStart, 1)
	}
	return ms(took * max(e.trouble.SlowWork, 1)), false
}

func (e *Engine) live(jobs []*job) (out []*job) {
	for _, j := range jobs {
		if j.gone {
			if !j.moved {
				e.unpin(j)
			}
			continue
		}
		out = append(out, j)
	}
	return out
}

// admit has a job begin. Called under mu.
func (e *Engine) admit(j *job) bool {
	need, chain := j.out-j.from, true
	j.read = 0
	shared := 0
	for i, p := range j.parts {
		k := e.kept[p.ID]
		chain = chain && k != nil
		if k == nil {
			need += p.Tokens
		}
		if !chain && !j.moved {
			j.read += p.Tokens
			if i < len(j.parts)-1 {
				shared += p.Tokens
			}
		}
	}
	if !e.evict(need) && len(e.running) > 0 {
		return false
	}
	if !j.moved {
		e.pin(j)
	}
	e.running = append(e.running, j)
	j.begun = true
	e.site.Evidence.begun(e, j, shared)
	return true
}

// begun records that work began, and which shared parts are read again.
func (v *Evidence) begun(e *Engine, j *job, _ int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	j.rec.Ran = time.Now()
	j.rec.Run = fmt.Sprintf("%s.%d", e.ID, j.seq)
	j.rec.Read = j.read
	if v.seen == nil {
		v.seen = map[string]bool{}
	}
	left := tokensOf(j.parts) - j.read
	for i, p := range j.parts {
		if left > 0 {
			left -= p.Tokens // kept here
			continue
		}
		if i < len(j.parts)-1 && v.seen[p.ID] && !j.moved {
			v.Reread += p.Tokens
		}
		v.seen[p.ID] = true
	}
}

// reading is the job whose prompt is read next, and how much of it. Called under mu.
func (e *Engine) reading() (*job, int) {
	chunk := e.pace.Chunk
	if e.stage == StageGenerate {
		chunk /= 4
	}
	for _, j := range e.running {
		if j.read > 0 {
			return j, min(j.read, chunk)
		}
	}
	return nil, 0
}

// advance ends a round. Called under mu.
func (e *Engine) advance() {
	if j, piece := e.reading(); j != nil {
		j.read -= piece
	}
	var still []*job
	for _, j := range e.running {
		switch {
		case j.gone:
			if !j.moved {
				e.unpin(j)
			}
			continue
		case j.read > 0:
		case j.only:
			id := fmt.Sprintf("%s-%d", strings.TrimPrefix(e.ID, "i-"), j.seq)
			h := &handle{attempt: j.rec.Attempt, tokens: tokensOf(j.parts), until: time.Now().Add(time.Duration(e.service.Engine.Hold * float64(time.Second)))}
			for _, p := range j.parts {
				h.parts = append(h.parts, p.ID) // the job's pins are the handle's now
			}
			e.handles[id] = h
			if e.trouble.Lapse {
				e.drop(id)
			}
			j.events <- step{handle: id}
			continue
		default:
			j.done++
			first := j.sent == j.from
			if end := j.done >= j.out; end || first || j.done-j.sent >= max(e.service.Engine.Interval, 1) {
				j.events <- step{from: j.sent, to: j.done, end: end}
				j.sent = j.done
				if end {
					if !j.moved {
						e.unpin(j)
					}
					continue
				}
			}
		}
		still = append(still, j)
	}
	e.running = still
}
