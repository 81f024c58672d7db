package standin

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/interleave"
)

// TestOrders: two duty holders' orders arrive in every order; the newest stands.
func TestOrders(t *testing.T) {
	old := []engine.Order{
		{Role: engine.Prefill, Fence: engine.Fence{Count: 4, Holder: "b", Serial: 7}},
		{Role: engine.Decode, Fence: engine.Fence{Count: 4, Holder: "b", Serial: 8}},
	}
	fresh := []engine.Order{
		{Role: engine.Prefill, Fence: engine.Fence{Count: 5, Holder: "a", Serial: 8}},
		{Role: engine.Decode, Fence: engine.Fence{Count: 5, Holder: "a", Serial: 9}},
	}
	scene := func(fenced bool) func(c *interleave.Choices) string {
		return func(c *interleave.Choices) string {
			e := &Engine{}
			var threads [][]func()
			for _, orders := range [][]engine.Order{old, fresh} {
				var steps []func()
				for _, o := range orders {
					steps = append(steps, func() {
						before := e.fence
						if !e.obey(o) && !fenced {
							e.role, e.fence = o.Role, o.Fence
						}
						if e.fence.Less(before) {
							e.role = "back"
						}
					})
				}
				threads = append(threads, steps)
			}
			interleave.Threads(c, threads...)
			if e.role != engine.Decode || e.fence != fresh[1].Fence {
				return "a stale order stands"
			}
			return ""
		}
	}
	Convey("in every order of arrival the newest order stands", t, func() {
		courses, bad, all := interleave.Explore(100, scene(true))
		So(courses, ShouldEqual, 6)
		So(all, ShouldBeTrue)
		So(bad, ShouldBeEmpty)
	})
	Convey("the checker catches an engine without a fence", t, func() {
		_, bad, _ := interleave.Explore(100, scene(false))
		So(bad, ShouldNotBeEmpty)
	})
}
