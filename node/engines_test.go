package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/pairing"
	"linedrum.example/linedrum/prefixcache"
	"linedrum.example/linedrum/roles"
	"linedrum.example/linedrum/serve"
)

func TestToldEngines(t *testing.T) {
	listed := []engine.Listed{
		{Name: "a", Addr: "1", Pool: "p", Site: "s", State: "live", Role: engine.Prefill, Slots: 4},
		{Name: "b", Addr: "2", Pool: "p", Site: "s", State: "live", Role: engine.Decode, Slots: 4},
		{Name: "c", Addr: "3", Pool: "p", Site: "s", State: "live", Role: engine.Decode, Slots: 4},
	}
	const now = time.Minute
	table := func(told bool) *engines {
		e := newEngines("s", 12*time.Second, told)
		e.take(serve.Picture{Engines: engine.List{Serial: 1, Engines: listed}, Roles: map[string]serve.RolesInForce{
			"p": {Table: engine.RoleTable{Roles: map[string]string{"a": engine.Prefill, "b": engine.Decode, "c": engine.Prefill}}},
		}}, time.Second)
		return e
	}
	polls := func(e *engines) int { return len(e.toPoll()) + len(e.toPoll()) }
	Convey("engines whose roles the list says serve without a report, in the roles that they play", t, func() {
		e := table(true)
		pair, _, ok := e.Reserve(serve.Want{Pool: "p"}, now)
		So(ok, ShouldBeTrue)
		So(pair.Reader.Name+pair.Writer.Name, ShouldEqual, "ab")
		So(pair.Writer.Load.Slots, ShouldEqual, 4)
		_, _, ok = table(false).Reserve(serve.Want{Pool: "p"}, now)
		So(ok, ShouldBeFalse)
	})
	Convey("only the one who plans the roles asks for reports, and only where a role differs an order is due", t, func() {
		e := table(true)
		So(polls(e), ShouldEqual, 0)
		e.duty("p", true)
		So(polls(e), ShouldEqual, 3)
		So(polls(table(false)), ShouldEqual, 3)
		fence := engine.Fence{Count: 1, Serial: 2}
		So(e.due(e.servers["b"], engine.Decode, fence, now), ShouldBeFalse)
		So(e.due(e.servers["c"], engine.Prefill, fence, now), ShouldBeTrue)
		e.servers["c"].ordered, e.servers["c"].obeyed = fence, now
		So(e.due(e.servers["c"], engine.Prefill, fence, now+time.Second), ShouldBeFalse)
	})
	Convey("a pool without a table begins with what its engines play, less the writers that can be spared", t, func() {
		next, changed := roles.New(roles.Timing{}).Plan(now, nil, table(true).states("p", now), 1, 1)
		So(changed, ShouldBeTrue)
		So(next, ShouldResemble, map[string]string{"a": engine.Prefill, "b": engine.Prefill, "c": engine.Decode})
	})
	Convey("an engine's word beside a reply counts at once", t, func() {
		e := table(true)
		e.Heard("b", engine.Load{Running: 4, Slots: 4}, now)
		_, _, ok := e.Reserve(serve.Want{Pool: "p"}, now)
		So(ok, ShouldBeFalse)
		_, _, ok = e.Reserve(serve.Want{Pool: "p"}, now+10*time.Second)
		So(ok, ShouldBeTrue)
	})
	Convey("a list is new where anything but an engine's cooling changed", t, func() {
		cooler := append([]engine.Listed(nil), listed...)
		cooler[0].ColdMS = 500
		So(differ(listed, cooler), ShouldBeFalse)
		cooler[0].State = "leaving"
		So(differ(listed, cooler), ShouldBeTrue)
		So(differ(listed, listed[1:]), ShouldBeTrue)
	})
	Convey("a snapshot of the engines lasts a tick, or until anything that it rests on changes", t, func() {
		e := table(true)
		same := func(a, b []pairing.Server) bool { return &a[0] == &b[0] }
		So(same(e.list(nil, now), e.list(nil, now+e.tick-1)), ShouldBeTrue)
		So(same(e.list(nil, now), e.list(nil, now+e.tick)), ShouldBeFalse)
		So(same(e.list(nil, now+e.tick), e.list(nil, now)), ShouldBeFalse)
		parts := []engine.Part{{ID: "x", Tokens: 100}}
		for what, change := range map[string]func(){
			"a reservation":       func() { e.begin("b", now) },
			"its end":             func() { e.End("b") },
			"a report":            func() { e.polled("b", engine.Load{Slots: 4}, true, now) },
			"a word by a reply":   func() { e.Heard("b", engine.Load{Slots: 4}, now) },
			"a busy engine":       func() { e.Full("b") },
			"a dropped report":    func() { e.Outdated("b") },
			"a failed go":         func() { e.RestFor("b", now) },
			"a finished go":       func() { e.Well("b") },
			"a read":              func() { e.believe(prefixcache.Notice{Server: "a", Takes: time.Second}, "p", now) },
			"a leaving engine":    func() { e.takeAway(map[string]bool{"b": true}) },
			"a picture":           func() { e.take(e.picture, now) },
			"a chain kept (desk)": func() { e.Kept("p", "b", parts) },
		} {
			before := e.list(nil, now)
			held := slices.Clone(before)
			change()
			SoMsg(what+" makes a new one", same(e.list(nil, now), before), ShouldBeFalse)
			SoMsg(what+" leaves the old one", before, ShouldResemble, held)
		}
	})
	Convey("what an engine keeps of a prompt is no part of the snapshot", t, func() {
		e := table(true)
		parts := []engine.Part{{ID: "x", Tokens: 100}}
		e.kept.Note("a", "", parts, 1000)
		So(e.list(parts, now)[0].Kept, ShouldEqual, 100)
		So(e.list(nil, now)[0].Kept, ShouldEqual, 0)
		So(e.list([]engine.Part{{ID: "y", Tokens: 100}}, now)[0].Kept, ShouldEqual, 0)
	})
}

// BenchmarkIdle asks of a hundred engines as each waiter does at each turn of the gate.
func BenchmarkIdle(b *testing.B) {
	e := newEngines("s", 12*time.Second, true)
	list, table := engine.List{Serial: 1}, map[string]string{}
	for i := range 100 {
		name := fmt.Sprint("e", i)
		list.Engines = append(list.Engines, engine.Listed{Name: name, Addr: name, Pool: "p", Site: "s", State: "live", Role: engine.Decode, Slots: 4})
		table[name] = engine.Decode
	}
	e.take(serve.Picture{Engines: list, Roles: map[string]serve.RolesInForce{"p": {Table: engine.RoleTable{Roles: table}}}}, time.Second)
	for b.Loop() {
		e.Idle("p", time.Minute)
	}
}
