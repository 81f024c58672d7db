package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/control"
	"linedrum.example/linedrum/desk"
	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/serve"
)

// plainTable is a node's table of one plain pool with an engine in each of two zones.
func plainTable(conns int) *engines {
	e := newEngines("a", 12*time.Second, true)
	file, faults := desk.Parse([]byte(`{"pools":[{"name":"relay","plain":true}],"desks":[{"name":"d","pool":"relay","kinds":[{"name":"k","expiry":"1s","queue":5}]}]}`))
	So(faults, ShouldBeEmpty)
	file.Pools[0].Connections = conns
	e.take(serve.Picture{Desk: file, Engines: engine.List{Serial: 1, Engines: []engine.Listed{
		{Name: "x", Addr: "1", Pool: "relay", Site: "a", State: "live", Slots: 2},
		{Name: "y", Addr: "2", Pool: "relay", Site: "b", State: "live", Slots: 2},
	}}}, time.Second)
	return e
}

func TestPlainEngines(t *testing.T) {
	const now = time.Minute
	want := serve.Want{Pool: "relay"}
	reserve := func(e *engines, at time.Duration) string {
		pair, _, ok := e.Reserve(want, at)
		if !ok {
			return ""
		}
		So(pair.Direct, ShouldBeTrue)
		return pair.Writer.Name
	}
	Convey("Plain engines serve unasked: no reports, no roles, no orders", t, func() {
		e := plainTable(0)
		e.duty("relay", true)
		So(e.toPoll(), ShouldBeEmpty)
		So(e.toPoll(), ShouldBeEmpty)
		So(reserve(e, now), ShouldEqual, "x")
		So(e.Usable("relay", "x", engine.Decode), ShouldBeTrue)
		So(e.Usable("relay", "z", engine.Decode), ShouldBeFalse)
	})
	Convey("What answers tell of the load counts, smoothed, until it is old", t, func() {
		e := plainTable(0)
		for range 8 {
			e.Heard("x", engine.Load{Running: 2, Slots: 2}, now)
		}
		So(reserve(e, now), ShouldEqual, "y")
		So(reserve(e, now+e.stale), ShouldEqual, "x")
	})
	Convey("An engine that turned a request away rests, and one word of it ends that", t, func() {
		e := plainTable(0)
		e.Full("x")
		e.RestFor("x", now)
		So(reserve(e, now), ShouldEqual, "y")
		e.Well("x")
		So(reserve(e, now), ShouldEqual, "x")
	})
	Convey("One that the list no longer holds, or shows as leaving, gets nothing", t, func() {
		e := plainTable(0)
		e.takeAway(map[string]bool{"x": true})
		So(reserve(e, now), ShouldEqual, "y")
		So(e.Usable("relay", "x", engine.Decode), ShouldBeFalse)
	})
	Convey("A node alone holds as many requests at an engine as its connections bear", t, func() {
		e := plainTable(1)
		So([]string{reserve(e, now), reserve(e, now), reserve(e, now)}, ShouldResemble, []string{"x", "y", ""})
		e.End("x")
		So(reserve(e, now), ShouldEqual, "x")
	})
	Convey("Operators see it with what is there, and as silent while it rests", t, func() {
		e := plainTable(0)
		reserve(e, now)
		e.RestFor("y", now)
		byName := map[string]control.EngineStatus{}
		for _, one := range e.status(now) {
			byName[one.Name] = one
		}
		So([]any{byName["x"].Role, byName["x"].Running, byName["x"].Slots, byName["x"].Silent}, ShouldResemble, []any{engine.Whole, 1, 2, false})
		So(byName["y"].Silent, ShouldBeTrue)
	})
}
