// Package inbound bounds what the listeners of a process take in, for all of them alike:
// connections, heads, bodies, and answers that their peers do not read. All of it comes from
// the pools of package budget (docs/design.md section 7.6).
package inbound

import (
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"linedrum.example/linedrum/acquire"
	"linedrum.example/linedrum/budget"
)

// Bounds are those of one listener's connections.
type Bounds struct {
	Pool *budget.Pool
	Slow time.Duration // a peer that moves no byte for so long is cut
}

// listener gives each connection that it accepts an account.
type listener struct {
	net.Listener
	bounds Bounds
}

// Listen bounds the connections of a listener. Those for which there is no room are closed
// as they come.
func Listen(inner net.Listener, bounds Bounds) net.Listener {
	limitBuffers(inner, bounds.Pool.Share().Buffer)
	return &listener{inner, bounds}
}

// Open opens a port for Listen, however long it is not to be had; open is one try.
func Open(port acquire.Resource, addr net.Addr, bounds Bounds, open acquire.Open) *acquire.Listener {
	return acquire.Listen(port, addr, func() (net.Listener, error) {
		inner, err := open()
		if err == nil {
			limitBuffers(inner, bounds.Pool.Share().Buffer)
		}
		return inner, err
	})
}

// limitBuffers bounds what the system holds of each connection that a listener accepts.
// Listeners that are not the system's are left as they are.
func limitBuffers(inner net.Listener, size int) {
	tcp, ok := inner.(*net.TCPListener)
	if !ok || size == 0 {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, size)
	})
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: inner, slow: l.bounds.Slow}
		account, ok := l.bounds.Pool.Open(c.evict)
		if !ok {
			_ = inner.Close()
			continue
		}
		c.account = account
		return c, nil
	}
}

// Config is what a server of a listener is made of.
type Config struct {
	Handler http.Handler
	Bounds  Bounds
	// HeadBytes is how long a head may be before it is refused unread.
	HeadBytes int
	// HeadWithin is how long a head may take, Idle how long a connection may rest.
	HeadWithin, Idle time.Duration
	// Track hears of each change of a connection's state; nil: nobody does.
	Track func(conn net.Conn, to http.ConnState)
}

// connKey is the key of the connection in a request's context.
type connKey struct{}

// NewServer makes a server whose listeners are bounded by Listen.
func NewServer(c Config) *http.Server {
	return &http.Server{
		Handler: received(c.Handler), MaxHeaderBytes: c.HeadBytes, ReadHeaderTimeout: c.HeadWithin, IdleTimeout: c.Idle,
		ConnState: func(conn net.Conn, to http.ConnState) {
			if own, ok := conn.(*Conn); ok && to == http.StateIdle {
				own.finished()
			}
			if c.Track != nil {
				c.Track(conn, to)
			}
		},
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
}

// received notes of requests without a body that they have come whole.
func received(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := ConnOf(r); c != nil && r.Body == http.NoBody {
			c.account.Enter(budget.Working)
		}
		next.ServeHTTP(w, r)
	})
}

// ConnOf is the connection that a request came on; nil where no listener of this package
// accepted it.
func ConnOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}
