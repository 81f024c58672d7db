package explore

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// counters is two counters that count to three each, in any order.
type counters struct {
	at    [2]int
	wrong [2]int // a state that is a fault
	stuck [2]int // a state that recovers from nothing
}

func (c *counters) Steps() (out []string) {
	for i, n := range c.at {
		if n < 3 {
			out = append(out, fmt.Sprintf("count %d", i))
		}
	}
	return out
}

func (c *counters) Take(step int) {
	for i, n := range c.at {
		if n == 3 {
			continue
		}
		if step == 0 {
			c.at[i]++
			return
		}
		step--
	}
}

func (c *counters) Clone() Model  { out := *c; return &out }
func (c *counters) State() []byte { return []byte(fmt.Sprint(c.at)) }

func (c *counters) Fault() string {
	if c.at == c.wrong {
		return "wrong"
	}
	return ""
}

func (c *counters) Recover() string {
	if c.at == c.stuck {
		return "stuck"
	}
	return ""
}

func TestBreadth(t *testing.T) {
	none := [2]int{-1, -1}
	start := func(wrong, stuck [2]int) func() Model {
		return func() Model { return &counters{wrong: wrong, stuck: stuck} }
	}
	Convey("each state is visited once, and the end is known", t, func() {
		r := Breadth(start(none, none), Bounds{Depth: 100, States: 100})
		So(r.States, ShouldEqual, 16)
		So(r.Transitions, ShouldEqual, 24)
		So(r.Complete, ShouldBeTrue)
		So(r.Exhausted, ShouldBeTrue)
	})
	Convey("a bound is told", t, func() {
		r := Breadth(start(none, none), Bounds{Depth: 2, States: 100})
		So(r.States, ShouldEqual, 6)
		So(r.Complete, ShouldBeTrue)
		So(r.Exhausted, ShouldBeFalse)
		So(Breadth(start(none, none), Bounds{Depth: 100, States: 5}).Complete, ShouldBeFalse)
	})
	Convey("a fault and a state that nothing recovers from are found by a shortest way", t, func() {
		r := Breadth(start([2]int{1, 2}, none), Bounds{Depth: 100, States: 100})
		So(r.Fault, ShouldEqual, "wrong")
		So(r.Path, ShouldHaveLength, 3)
		So(Breadth(start(none, [2]int{3, 3}), Bounds{Depth: 100, States: 100}).Fault, ShouldEqual, "stuck")
	})
}
