package engine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/verdict"
)

type sockets struct{}

func (sockets) Dial(ctx context.Context, addr string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", addr)
}

// engineOf is an engine that answers the first request of each connection truly, and does
// as it is told with the next one. It counts what it got.
type engineOf struct {
	addr     string
	listener net.Listener
	next     func(conn net.Conn, id string)

	mu    sync.Mutex
	got   map[string]int
	dials int
}

func answerOf(id, status, more, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s x\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, HeaderRequest, id, more, len(body), body)
}

func startEngine(c *lifecycle.Crew, next func(net.Conn, string)) *engineOf {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	e := &engineOf{addr: listener.Addr().String(), listener: listener, next: next, got: map[string]int{}}
	c.Start(func(context.Context) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.dials++
			e.mu.Unlock()
			c.Start(func(context.Context) { e.serve(conn) })
		}
	})
	return e
}

func (e *engineOf) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for first := true; ; first = false {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get(HeaderRequest)
		e.mu.Lock()
		e.got[id]++
		e.mu.Unlock()
		if first {
			_, _ = io.WriteString(conn, answerOf(id, "200", "", `"`+id+`"`))
			continue
		}
		if e.next(conn, id); req.Close {
			return
		}
	}
}

func TestConsumer(t *testing.T) {
	notRun := verdict.Header + ": not-run\r\n"
	Convey("net/http sends no completion twice, and no other call's answer is believed", t, func() {
		for _, c := range []struct {
			name string
			next func(conn net.Conn, id string)
			want verdict.Verdict
		}{
			{"closed", func(conn net.Conn, _ string) { _ = conn.Close() }, verdict.MayHaveRun},
			{"reset", func(conn net.Conn, _ string) {
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}, verdict.MayHaveRun},
			{"a redirect", func(conn net.Conn, id string) {
				_, _ = io.WriteString(conn, answerOf(id, "307", "Location: /again\r\n", ""))
			}, verdict.MayHaveRun},
			{"408", func(conn net.Conn, id string) { _, _ = io.WriteString(conn, answerOf(id, "408", "", "")) }, verdict.MayHaveRun},
			{"a late refusal of another call", func(conn net.Conn, _ string) {
				_, _ = io.WriteString(conn, answerOf("a1", "503", notRun, ""))
			}, verdict.MayHaveRun},
			{"a late result of another call", func(conn net.Conn, _ string) {
				_, _ = io.WriteString(conn, answerOf("a1", "200", "", `"a1"`))
			}, verdict.MayHaveRun},
			{"a refusal without an id", func(conn net.Conn, id string) {
				_, _ = io.WriteString(conn, strings.Replace(answerOf(id, "503", notRun, ""), HeaderRequest, "X-No", 1))
			}, verdict.MayHaveRun},
			{"its own refusal", func(conn net.Conn, id string) { _, _ = io.WriteString(conn, answerOf(id, "503", notRun, "")) }, verdict.NotRun},
		} {
			group := lifecycle.New(context.Background())
			e := startEngine(group, c.next)
			consumer := NewConsumer(sockets{}, time.Second, 1000)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			call := func(id string, again bool) (Reply, error) {
				return consumer.Complete(ctx, Call{Addr: e.addr, Request: id, Expiry: time.Second, Body: []byte("{}"), Again: again})
			}
			_, err := call("a1", false)
			So(err, ShouldBeNil)
			_, err = call("b2", false)
			So([]any{c.name, verdict.Of(err)}, ShouldResemble, []any{c.name, c.want})
			e.mu.Lock()
			So([]any{c.name, e.got["b2"]}, ShouldResemble, []any{c.name, 1})
			dials := e.dials
			e.mu.Unlock()
			reply, err := call("b2", true)
			So(err, ShouldBeNil)
			So(string(reply.Body), ShouldEqual, `"b2"`)
			So(e.dials, ShouldEqual, dials+1)
			consumer.Close()
			_ = e.listener.Close()
			cancel()
			group.Stop()
		}
	})
	Convey("planted: a request that net/http may rewind is sent twice after a reset", t, func() {
		group := lifecycle.New(context.Background())
		e := startEngine(group, func(conn net.Conn, _ string) { _ = conn.Close() })
		client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return sockets{}.Dial(ctx, addr) }}}
		for _, id := range []string{"a1", "b2"} {
			req, err := http.NewRequest(http.MethodPost, "http://"+e.addr+"/", strings.NewReader("{}"))
			So(err, ShouldBeNil)
			req.Header.Set(HeaderRequest, id)
			req.Header.Set("Idempotency-Key", id)
			res, err := client.Do(req)
			So(err, ShouldBeNil)
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
		So(e.got["b2"], ShouldEqual, 2)
		client.CloseIdleConnections()
		_ = e.listener.Close()
		group.Stop()
	})
}
