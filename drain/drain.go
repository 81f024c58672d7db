// Package drain ends the connections of an HTTP server as a planned stop wants it
// (design.md section 6). The library's own way closes a connection after a reply whose
// head did not say so, and then does not read the request that its consumer sends there.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"linedrum.example/linedrum/lifecycle"
)

// Conns are the open connections of one server: Track is its ConnState. Safe for
// concurrent use.
type Conns struct {
	mu   sync.Mutex // innermost
	open map[net.Conn]*state
	stop bool
}

type state struct {
	idle    bool
	after   bool // it became idle after the stop had begun
	looks   int  // that found it idle, one after the other
	retired bool // it is to be closed, unless a request has been read from it
}

// New makes the connections of a server that has none yet.
func New() *Conns { return &Conns{open: map[net.Conn]*state{}} }

// Track notes what became of a connection.
func (c *Conns) Track(conn net.Conn, to http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch to {
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	case http.StateActive:
		if s := c.open[conn]; s != nil && s.retired {
			// Its request had been read, in part or whole, when it was given up as idle.
			_ = conn.SetReadDeadline(time.Time{})
		}
		c.open[conn] = &state{after: c.stop}
	default:
		c.open[conn] = &state{idle: true, after: c.stop}
	}
}

// looksIdle is how many looks in a row must find a connection idle.
const (
	looksIdle  = 8
	looksAfter = 1
)

// Close closes connections that stay idle for a while, until none is left or ctx ends;
// those whose reply ended after the stop had begun get a part of it, for their
// consumer knows of the connection that it still lives.
// A request that is read from one before that is served as ever, and its reply, whose
// head is to say so, ends the connection. Nothing may accept new ones any more.
func (c *Conns) Close(ctx context.Context, idle time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.stop = true
	c.mu.Unlock()
	lifecycle.Every(ctx, max(idle/looksIdle, time.Millisecond), func() {
		if c.look() == 0 {
			cancel()
		}
	})
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
