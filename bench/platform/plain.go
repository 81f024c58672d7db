package platform

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"linedrum.example/linedrum/lifecycle"
)

// PlainService is a service whose engines have neither stages nor models: each takes a
// request whole, in one of a few slots. They give no reports and take no orders.
type PlainService struct {
	Name     string  `json:"name" need:"yes" min:"1" max:"63"`
	Engines  int     `json:"engines,omitzero" min:"0" max:"30"`  // in each zone; 0: one in the first zone alone
	Slots    int     `json:"slots" need:"yes" min:"1" max:"100"` // requests at once
	Queue    int     `json:"queue,omitzero" min:"0" max:"1000"`  // requests that may wait
	MaxConns int     `json:"max_conns" need:"yes" min:"1" max:"100000"`
	Work     float64 `json:"work_ms" need:"yes" min:"0" max:"60000"` // mean of a request, drawn from half to one and a half
	Silent   bool    `json:"silent,omitzero"`                        // answers do not tell the engine's load
	Warming  float64 `json:"warming_per_s,omitzero" min:"0" max:"100000"`
	Warmup   float64 `json:"warmup_s,omitzero" min:"0" max:"600"`
}

// service is how the configuration tells it.
func (p PlainService) service() Service {
	return Service{
		Name: p.Name, Health: "/health", MaxConns: p.MaxConns, Protocol: "h1", Warmup: p.Warmup, Warming: p.Warming, plain: &p,
	}
}

// service is the plain one of a name, or else the one with stages.
func (s Spec) service(name string) Service {
	for _, p := range s.Plain {
		if p.Name == name {
			return p.service()
		}
	}
	return s.Service
}

// raisePlain starts the engines of the plain services.
func (s *Site) raisePlain() error {
	for _, p := range s.Spec.Plain {
		zones := s.Spec.Zones
		if p.Engines == 0 {
			zones = zones[:1]
		}
		for _, zone := range zones {
			for range max(p.Engines, 1) {
				if _, err := s.raise(p.service(), zone, "", "v1", "", false); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// again starts an engine of the same service in the place of one that ended.
func (s *Site) again(e *Engine, addr, version, stage string) (*Engine, error) {
	if e.service.plain != nil {
		stage = ""
	}
	return s.raise(*e.service, e.Zone, addr, version, stage, true)
}

// places are the slots of a plain engine, and who waits for one.
type places struct {
	taken   int
	waiting []chan struct{}
}

// take waits for a slot; a status tells why there is none.
func (e *Engine) take(ctx context.Context) int {
	e.mu.Lock()
	if e.places.taken < e.service.plain.Slots {
		e.places.taken++
		e.mu.Unlock()
		return 0
	}
	if len(e.places.waiting) >= e.service.plain.Queue {
		e.mu.Unlock()
		return http.StatusServiceUnavailable
	}
	turn := make(chan struct{})
	e.places.waiting = append(e.places.waiting, turn)
	e.mu.Unlock()
	select {
	case <-turn:
		return 0
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.Index(e.places.waiting, turn); i >= 0 {
		e.places.waiting = slices.Delete(e.places.waiting, i, i+1)
		return http.StatusServiceUnavailable
	}
	e.give()
	return http.StatusServiceUnavailable
}

// give hands a slot to who waits longest, or frees it. Called under mu.
func (e *Engine) give() {
	if len(e.places.waiting) == 0 {
		e.places.taken--
		return
	}
	close(e.places.waiting[0])
	e.places.waiting = e.places.waiting[1:]
}

// plainHealth answers a look at the health of a plain engine: it takes a slot like a request.
func (e *Engine) plainHealth(ctx context.Context, l *line, req *http.Request) bool {
	if status := e.take(ctx); status != 0 {
		return e.refuse(l, req, status)
	}
	lifecycle.Pause(ctx, time.Millisecond)
	e.mu.Lock()
	e.give()
	well := !e.draining && !e.trouble.Full
	e.mu.Unlock()
	if !well {
		return e.answer(l, req, http.StatusServiceUnavailable, nil, nil)
	}
	return e.answer(l, req, http.StatusOK, nil, nil)
}

// whole runs a request at a plain engine: it waits for a slot and holds it for a while.
func (e *Engine) whole(ctx context.Context, l *line, req *http.Request, rec *Arrival) bool {
	j := newJob(req, rec)
	ctx, cancel := context.WithDeadline(ctx, j.by)
	defer cancel()
	l.look(e.crew, cancel)
	defer l.done()
	if status := e.take(ctx); status != 0 {
		return e.refuse(l, req, status)
	}
	e.mu.Lock()
	e.seq++
	run := fmt.Sprintf("%s.%d", e.ID, e.seq)
	takes := e.service.plain.Work * (0.5 + e.random.Float64()) * max(e.trouble.SlowWork, 1)
	if time.Now().Before(e.cold) {
		takes *= max(e.pace.SlowStart, 1)
	}
	j.begun = true
	e.mu.Unlock()
	e.site.Evidence.add(func() { rec.Ran, rec.Run = time.Now(), run })
	worked := lifecycle.Pause(ctx, ms(takes))
	e.mu.Lock()
	e.give()
	e.mu.Unlock()
	if !worked {
		return e.late(l, req, j)
	}
	text := fmt.Sprintf("%s %s %s\n", rec.Attempt, rec.Run, strings.Repeat("w", 64))
	header := http.Header{HeaderSeal: {rec.Run + "." + digest([]byte(text))}, "Content-Type": {"text/plain"}}
	return e.finish(l, req, rec, func() bool { return e.answer(l, req, http.StatusOK, header, []byte(text)) })
}

// loadHeader is what an answer tells of the engine's load; empty: nothing. Called under mu.
func (e *Engine) loadHeader() string {
	running, waiting, slots := len(e.running), len(e.waiting), e.slots()
	if p := e.service.plain; p != nil {
		if p.Silent {
			return ""
		}
		running, waiting = e.places.taken, len(e.places.waiting)
	}
	return HeaderLoad + ": " + strconv.Itoa(running) + "," + strconv.Itoa(waiting) + "," + strconv.Itoa(slots) + "\r\n"
}

// slots is how many requests the engine works on at once.
func (e *Engine) slots() int {
	if e.service.plain != nil {
		return e.service.plain.Slots
	}
	return e.service.Engine.Slots
}

// models are those that the engine holds.
func (e *Engine) models() []Model {
	if e.service.Engine == nil {
		return nil
	}
	return e.service.Engine.Models
}
