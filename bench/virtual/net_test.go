package virtual

import (
	"context"
	"errors"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/lifecycle"
)

// TestLimitPast ends blocked reads by a limit that is past already, as net/http does
// when a call ends, and has a machine speak to itself, which takes no time.
func TestLimitPast(t *testing.T) {
	var ended, alone int
	var waited time.Duration
	var atOnce, later bool
	synctest.Test(t, func(t *testing.T) {
		n := NewNet(1)
		m, other := n.Add("a"), n.Add("b")
		here, there := m.Boot(), other.Boot()
		l, _ := there.Listen(other.IP + ":1")
		from, _ := here.ListenPacket(m.IP + ":2")
		to, _ := here.ListenPacket(m.IP + ":3")
		began := time.Now()
		for range 200 {
			conn, err := here.Dial(context.Background(), other.IP+":1")
			if err != nil {
				t.Error(err)
				return
			}
			far, _ := l.Accept()
			var both sync.WaitGroup
			both.Go(func() {
				if _, err := conn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
					ended++
				}
			})
			synctest.Wait()
			_ = conn.SetReadDeadline(time.Unix(1, 0))
			both.Wait()
			_ = conn.SetDeadline(time.Now())
			_, _ = from.WriteTo([]byte("x"), to.LocalAddr())
			if k, _, _ := to.ReadFrom(make([]byte, 8)); k == 1 {
				alone++
			}
			_, _ = conn.Close(), far.Close()
		}
		waited = time.Since(began)
		n.mu.Lock()
		atOnce = n.after(0, func() {}) == nil && n.after(-time.Second, func() {}) == nil
		n.after(time.Millisecond, func() { later = true })
		n.mu.Unlock()
		lifecycle.Pause(t.Context(), 2*time.Millisecond)
	})
	Convey("what is due already is done at once, without a timer", t, func() {
		So(ended, ShouldEqual, 200)
		So(alone, ShouldEqual, 200)
		So(waited, ShouldBeLessThanOrEqualTo, 200*5*time.Millisecond)
		So(atOnce, ShouldBeTrue)
		So(later, ShouldBeTrue)
	})
}

// TestReset resets all connections of a machine, and none of a share of none.
func TestReset(t *testing.T) {
	var kept, reset error
	synctest.Test(t, func(t *testing.T) {
		n := NewNet(1)
		m, other := n.Add("a"), n.Add("b")
		here, there := m.Boot(), other.Boot()
		l, _ := there.Listen(other.IP + ":1")
		conn, err := here.Dial(context.Background(), other.IP+":1")
		if err != nil {
			t.Error(err)
			return
		}
		far, _ := l.Accept()
		other.Reset(0)
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		_, kept = conn.Read(make([]byte, 1))
		other.Reset(1)
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		_, reset = conn.Read(make([]byte, 1))
		_, _ = conn.Close(), far.Close()
	})
	Convey("both sides of a reset connection hear of it", t, func() {
		So(errors.Is(kept, os.ErrDeadlineExceeded), ShouldBeTrue)
		So(errors.Is(reset, syscall.ECONNRESET), ShouldBeTrue)
	})
}
