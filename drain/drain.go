// Package drain ends the connections of an HTTP server as a planned stop wants it
// (design.md section 6). The library's own way closes a connection after a response whose
// head did not say so, and then does not read the request that its client sends there.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/lifecycle"
)

// Conns are the open connections of one server: Track is its ConnState. Safe for
// concurrent use.
type Conns struct {
	now func() time.Duration // the process's clock
	log *event.Log           // nil: nothing is logged

	mu       sync.Mutex // innermost
	open     map[net.Conn]*state
	stopping bool
	stopped  time.Duration // when the stop began
	closing  bool          // idle connections are being closed
}

// state is what is known of one connection.
type state struct {
	opened   time.Duration
	requests int           // read from it so far
	rested   time.Duration // when its last response ended; opened, before the first
	idle     bool
	after    bool // it became idle while idle connections were being closed
	looks    int  // that found it idle, one after the other
	retired  bool // it is to be closed, unless a request has been read from it
}

// New makes the connections of a server that has none yet, by the process's clock; a nil
// log logs nothing.
func New(now func() time.Duration, log *event.Log) *Conns {
	return &Conns{now: now, log: log, open: map[net.Conn]*state{}}
}

// Begin notes that the stop begins.
func (c *Conns) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping, c.stopped = true, c.now()
}

// Stopping tells that the stop has begun.
func (c *Conns) Stopping() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopping
}

// Last has a response whose head is not out yet end its connection, once the stop has begun.
func (c *Conns) Last(head http.Header) {
	if c.Stopping() {
		head.Set("Connection", "close")
	}
}

// Track notes what became of a connection.
func (c *Conns) Track(conn net.Conn, to http.ConnState) {
	if late := c.track(conn, to); late != nil && c.log != nil {
		c.log.Say(event.RequestLate, late)
	}
}

// track notes what became of a connection, and tells of a request that came on it after
// the server had stopped to accept connections.
func (c *Conns) track(conn net.Conn, to http.ConnState) event.Fields {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	had := c.open[conn]
	if had == nil {
		had = &state{opened: now, rested: now}
	}
	switch to {
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	case http.StateActive:
		if had.retired {
			// Its request had been read, in part or whole, when it was given up as idle.
			_ = conn.SetReadDeadline(time.Time{})
		}
		c.open[conn] = &state{opened: had.opened, requests: had.requests + 1, rested: had.rested, after: c.closing}
		if c.closing {
			return event.Fields{
				"stopping_ms": (now - c.stopped).Milliseconds(), "connection_ms": (now - had.opened).Milliseconds(),
				"idle_ms": (now - had.rested).Milliseconds(), "requests_before": had.requests, "client": conn.RemoteAddr().String(),
			}
		}
	default:
		c.open[conn] = &state{opened: had.opened, requests: had.requests, rested: now, idle: true, after: c.closing}
	}
	return nil
}

// looksIdle is how many looks in a row must find a connection idle.
const (
	looksIdle  = 8
	looksAfter = 1
)

// Close closes connections that stay idle for a while, until none is left or ctx ends;
// those whose response ended meanwhile get a part of it, for their client knows that the
// connection still lives. A request that is read from one before that is served, or
// refused, as ever, and its response, whose head is to say so (Last), ends the connection.
// Nothing may accept new ones any more.
func (c *Conns) Close(ctx context.Context, idle time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	lifecycle.Every(ctx, max(idle/looksIdle, time.Millisecond), func() {
		if c.look() == 0 {
			cancel()
		}
	})
	if active := c.active(); active > 0 && c.log != nil {
		c.log.Say(event.RequestsCut, event.Fields{"requests": active})
	}
}

// active is how many connections have a request under way.
func (c *Conns) active() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.open {
		if !s.idle {
			n++
		}
	}
	return n
}

// past is a deadline that has been missed; net/http's own is another.
var past = time.Unix(2, 0)

// look retires what has been idle long enough, and counts what is open. The server has
// it idle until it has read a request's head, so closing it here could cut off a request
// that is in the process already: only the next read is made to fail, upon which the
// server closes. What has been read before is served.
func (c *Conns) look() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.open {
		if !s.idle {
			continue
		}
		need := looksIdle
		if s.after {
			need = looksAfter
		}
		if s.looks++; s.looks > need {
			s.retired = true
			_ = conn.SetReadDeadline(past)
		}
	}
	return len(c.open)
}
