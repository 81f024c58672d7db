package lease

import (
	"bytes"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/register"
)

func TestFetch(t *testing.T) {
	Convey("A long value is asked of one disk, of another one when that is silent, and comes in force whole", t, func() {
		s := begin(false)
		long := bytes.Repeat([]byte("desk "), 2000)
		s.holder.Do(register.Request{Key: "desk", Base: 1, Op: "two", Value: long, Patience: time.Minute}, func(register.Result) {})
		s.drain()
		before := s.keeper.Granted
		asked := []string{}
		net := s.keeper.net
		s.keeper.net = listening{net, func(to string, m register.Message) bool {
			if m.Again {
				return true
			}
			asked = append(asked, to)
			return len(asked) > 1 // the first is lost
		}}
		for range 4 {
			s.clock.now += 250 * time.Millisecond
			s.keeper.Tick()
			s.drain()
		}
		So(asked, ShouldHaveLength, 2)
		So(asked[0], ShouldNotEqual, asked[1])
		So(s.keeper.Cell("desk").Value, ShouldResemble, long)
		So(s.keeper.Granted, ShouldBeGreaterThan, before)
		So(s.wrong, ShouldBeEmpty)
	})
}

type listening struct {
	Net
	passes func(to string, m register.Message) bool
}

func (l listening) Send(to string, m register.Message) {
	if l.passes(to, m) {
		l.Net.Send(to, m)
	}
}
