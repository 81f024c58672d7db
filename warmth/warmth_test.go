package warmth

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSettling(t *testing.T) {
	Convey("a look covers a serial once that has been in force for the list's lag, and the one before until then", t, func() {
		s := Settling{Lag: 800 * time.Millisecond}
		s.Adopt(3, 10*time.Second)
		So(s.Covered(10*time.Second), ShouldEqual, 0)
		So(s.Covered(10800*time.Millisecond-1), ShouldEqual, 0)
		So(s.Covered(10800*time.Millisecond), ShouldEqual, 3)
		s.Adopt(4, 12*time.Second)
		So(s.Covered(12*time.Second), ShouldEqual, 3)
		// A second change at once does not make the first one's wait shorter.
		s.Adopt(5, 12100*time.Millisecond)
		So(s.Covered(12850*time.Millisecond), ShouldEqual, 3)
		So(s.Covered(12900*time.Millisecond), ShouldEqual, 5)
	})
	Convey("a look is due at once when it would cover a return for the first time", t, func() {
		s, back := Settling{Lag: 800 * time.Millisecond}, map[string]uint64{"a": 3}
		s.Adopt(3, 10*time.Second)
		due := func(looked, now time.Duration, covered uint64) bool { return s.Due(looked, now, back, covered) }
		So(due(10700*time.Millisecond, 10799*time.Millisecond, 2), ShouldBeFalse)
		So(due(10700*time.Millisecond, 10800*time.Millisecond, 2), ShouldBeTrue)
		So(due(10800*time.Millisecond, 10900*time.Millisecond, 2), ShouldBeFalse)
		So(due(10700*time.Millisecond, 10800*time.Millisecond, 3), ShouldBeFalse)
	})
	Convey("a look is worth recording where it covers what the list does not", t, func() {
		back := map[string]uint64{"a": 2, "b": 5}
		So(Open(back, 4, 5), ShouldBeTrue)
		So(Open(back, 4, 4), ShouldBeFalse)
		So(Open(back, 5, 9), ShouldBeFalse)
		So(Open(nil, 0, 9), ShouldBeFalse)
	})
}

func TestDoubts(t *testing.T) {
	Convey("a site that was taken back is in doubt until the list covers it, from when this node first knew", t, func() {
		d := Doubts{}
		d.Take(map[string]uint64{"a": 2, "b": 4}, 2, 10*time.Second)
		_, doubted := d.Since("a")
		So(doubted, ShouldBeFalse)
		since, doubted := d.Since("b")
		So(doubted, ShouldBeTrue)
		So(since, ShouldEqual, 10*time.Second)
		d.Take(map[string]uint64{"a": 6, "b": 4}, 3, 11*time.Second)
		since, _ = d.Since("b")
		So(since, ShouldEqual, 10*time.Second)
		since, _ = d.Since("a")
		So(since, ShouldEqual, 11*time.Second)
		// Taken back once more: a new doubt.
		d.Take(map[string]uint64{"a": 6, "b": 8}, 6, 12*time.Second)
		_, doubted = d.Since("a")
		So(doubted, ShouldBeFalse)
		since, _ = d.Since("b")
		So(since, ShouldEqual, 12*time.Second)
	})
}
