package platform

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"linedrum.example/linedrum/lifecycle"
)

// line is one connection with a reader that watches it while nobody reads.
type line struct {
	net.Conn
	node  *Node // of a client: that it was handed to, and remains with
	in    *bufio.Reader
	watch chan struct{} // closed when the watch ended
	lost  atomic.Bool   // the watch ended by an end of the connection
}

func newLine(c net.Conn) *line { return &line{Conn: c, in: bufio.NewReader(c)} }

// look has somebody wait for bytes or an end; lost is called at an end.
func (l *line) look(c *lifecycle.Crew, lost func()) {
	l.watch = make(chan struct{})
	l.lost.Store(false)
	_ = l.SetReadDeadline(time.Time{})
	c.Start(func(context.Context) {
		defer close(l.watch)
		_, err := l.in.Peek(1)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			l.lost.Store(true)
			lost()
		}
	})
}

// done ends the watch; what came meanwhile is kept.
func (l *line) done() {
	_ = l.SetReadDeadline(time.Unix(1, 0))
	<-l.watch
	_ = l.SetReadDeadline(time.Time{})
}

// abort resets a connection.
func abort(c net.Conn) {
	switch c := c.(type) {
	case *net.TCPConn:
		_ = c.SetLinger(0)
	case interface{ Abort() }:
		c.Abort()
	}
	_ = c.Close()
}

func ipOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}
