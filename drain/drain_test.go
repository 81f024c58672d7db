package drain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/lifecycle"
)

// still is a clock that stands.
func still() time.Duration { return 0 }

func TestDrain(t *testing.T) {
	Convey("a request that follows a reply from before the stop is served, and ends the connection", t, func() {
		c := lifecycle.New(context.Background())
		defer c.Stop()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		lines := memory.New()
		conns := New(still, event.New(&log.Logger{Handler: lines}))
		began, release := make(chan bool), make(chan bool)
		server := &http.Server{ConnState: conns.Track, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/first" {
				_ = http.NewResponseController(w).Flush() // its head is out before the stop
				began <- true
				<-release
			} else {
				conns.Last(w.Header())
			}
			_, _ = io.WriteString(w, "whole")
		})}
		c.Start(func(context.Context) { _ = server.Serve(listener) })
		ask := func(conn net.Conn, in *bufio.Reader, path string) (*http.Response, string) {
			_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
			So(err, ShouldBeNil)
			if path == "/first" {
				<-began
				conns.Begin()
				_ = listener.Close()
				c.Start(func(ctx context.Context) {
					conns.Close(ctx, 200*time.Millisecond)
					close(began)
				})
				release <- true
			}
			res, err := http.ReadResponse(in, nil)
			So(err, ShouldBeNil)
			body, err := io.ReadAll(res.Body)
			So(err, ShouldBeNil)
			return res, string(body)
		}
		conn, err := net.Dial("tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		defer conn.Close()
		idle, err := net.Dial("tcp", listener.Addr().String())
		if err == nil {
			defer idle.Close()
		}
		in := bufio.NewReader(conn)
		res, body := ask(conn, in, "/first")
		So(body, ShouldEqual, "whole")
		So(res.Close, ShouldBeFalse)
		res, body = ask(conn, in, "/next")
		So(body, ShouldEqual, "whole")
		So(res.Close, ShouldBeTrue)
		_, err = in.ReadByte()
		So(err, ShouldEqual, io.EOF)
		<-began // nothing is left: idle ones were closed
		late := lines.Entries
		So(late, ShouldHaveLength, 1)
		So(late[0].Fields["event"], ShouldEqual, int(event.RequestLate))
		So(late[0].Fields["requests_before"], ShouldEqual, 1)
	})
}

// slowConn is a connection whose bytes, once the process has read them, take until the
// stop has given the connection up to reach the server.
type slowConn struct {
	net.Conn
	hard   bool // the planted fault: a connection that is given up is closed at once
	armed  *atomic.Bool
	read   chan bool // the process has the bytes
	gaveUp chan bool
	once   sync.Once
}

func (s *slowConn) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	if n > 1 && s.armed.Load() {
		s.read <- true
		<-s.gaveUp
	}
	return n, err
}

func (s *slowConn) SetReadDeadline(t time.Time) error {
	if !t.Equal(past) {
		return s.Conn.SetReadDeadline(t)
	}
	defer s.once.Do(func() { close(s.gaveUp) })
	if s.hard {
		return s.Conn.Close()
	}
	return s.Conn.SetReadDeadline(t)
}

type slowListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (s slowListener) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return s.wrap(conn), nil
}

// meets sends a request on a connection that is given up right after the process has
// read it, and tells what came back: the connection's second request, or its first.
func meets(hard, second bool) string {
	c := lifecycle.New(context.Background())
	defer c.Stop()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	var armed atomic.Bool
	read, gaveUp := make(chan bool, 1), make(chan bool)
	conns := New(still, nil)
	server := &http.Server{ConnState: conns.Track, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if armed.Load() {
			w.Header().Set("Connection", "close")
		}
		body, _ := io.ReadAll(r.Body)
		if r.Context().Err() != nil {
			return
		}
		_, _ = w.Write(body)
	})}
	c.Start(func(context.Context) {
		_ = server.Serve(slowListener{listener, func(conn net.Conn) net.Conn {
			return &slowConn{Conn: conn, hard: hard, armed: &armed, read: read, gaveUp: gaveUp}
		}})
	})
	defer server.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	So(err, ShouldBeNil)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	in := bufio.NewReader(conn)
	ask := func() (*http.Response, error) {
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nwhole")
		So(err, ShouldBeNil)
		return http.ReadResponse(in, nil)
	}
	if second {
		res, err := ask()
		So(err, ShouldBeNil)
		_, _ = io.Copy(io.Discard, res.Body)
	}
	armed.Store(true)
	c.Start(func(ctx context.Context) {
		select {
		case <-read:
		case <-ctx.Done():
		}
		_ = listener.Close()
		conns.Close(ctx, 20*time.Millisecond)
	})
	res, err := ask()
	if err != nil {
		return "lost"
	}
	body, err := io.ReadAll(res.Body)
	if err != nil || !res.Close {
		return "cut"
	}
	return string(body)
}

func TestDrainMeetsRequest(t *testing.T) {
	Convey("a request that the process has read is served, though its connection was idle to the server", t, func() {
		So(meets(false, true), ShouldEqual, "whole")
		So(meets(false, false), ShouldEqual, "whole")
	})
	Convey("planted: a stop that closes such a connection loses the request", t, func() {
		So(meets(true, true), ShouldEqual, "lost")
		So(meets(true, false), ShouldEqual, "lost")
	})
}
