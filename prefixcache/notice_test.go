package prefixcache

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func notice() Notice {
	n := NoticeOf(parts("abc"))
	n.Server, n.Life, n.Writer, n.WriterLife, n.Takes = "r", "1", "w", "2", 50*time.Millisecond
	return n
}

func TestNotice(t *testing.T) {
	all := func(string) bool { return true }
	Convey("another node knows what is kept and how long an engine reads", t, func() {
		n, err := DecodeNotice(notice().Encode())
		So(err, ShouldBeNil)
		So(n, ShouldResemble, notice())
		b := New()
		b.Take(n, 1000, time.Second, all)
		b.Take(n, 1000, time.Second+20*time.Millisecond, all)
		So(b.Tokens("r", "1", parts("abd")), ShouldEqual, 200)
		So(b.Tokens("w", "2", parts("abd")), ShouldEqual, 200)
		So(b.Backlog("r", "1", time.Second+30*time.Millisecond), ShouldEqual, 70*time.Millisecond)
		So(b.Backlog("r", "1", 2*time.Second), ShouldEqual, 0)
		So(b.Backlog("r", "2", time.Second), ShouldEqual, 0)
		So(b.Backlog("w", "2", time.Second), ShouldEqual, 0)
	})
	Convey("what nobody listed is not remembered", t, func() {
		b := New()
		b.Take(notice(), 1000, time.Second, func(string) bool { return false })
		So(b.engines, ShouldBeEmpty)
	})
	Convey("a long one still fits a datagram, and half a one is refused", t, func() {
		n := NoticeOf(parts(strings.Repeat("x", 300)))
		n.Server = strings.Repeat("s", 300)
		So(len(n.Encode()), ShouldBeLessThan, 600)
		_, err := DecodeNotice(n.Encode())
		So(err, ShouldBeNil)
		whole := notice().Encode()
		for i := range whole {
			_, err := DecodeNotice(whole[:i])
			So(err, ShouldEqual, ErrNotice)
		}
		_, err = DecodeNotice(append(whole, 0))
		So(err, ShouldEqual, ErrNotice)
	})
}

func FuzzDecodeNotice(f *testing.F) {
	f.Add(notice().Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := DecodeNotice(b)
		if err != nil {
			return
		}
		again, err := DecodeNotice(n.Encode())
		if err != nil || !bytes.Equal(again.Encode(), n.Encode()) {
			t.Fatalf("%+v became %+v: %v", n, again, err)
		}
	})
}
