package node

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/roles"
	"linedrum.example/linedrum/tenure"
)

func TestFences(t *testing.T) {
	table := engine.RoleTable{Roles: map[string]string{"e": engine.Prefill}, Record: tenure.Record{Holder: "a", Term: 4}}
	value, _ := json.Marshal(table)
	cell := register.Entry{Epoch: register.Epoch{Count: 9, Holder: "a"}, Serial: 6, Value: value}
	Convey("A cell that another node settles keeps its fence, and that node is no holder by it", t, func() {
		settled := cell
		settled.Epoch = register.Epoch{Count: 10, Holder: "b"}
		So(fenceOf(tableOf(settled), settled.Serial), ShouldResemble, fenceOf(tableOf(cell), cell.Serial))
		So(fenceOf(tableOf(settled), settled.Serial), ShouldResemble, engine.Fence{Count: 4, Holder: "a", Serial: 6})
		So(baseOf(settled, tableOf(settled)).Next("b"), ShouldResemble, tenure.Record{Holder: "b", Term: 11})
	})
	Convey("What this node wrote counts before its permit shows it", t, func() {
		p := post{written: cell}
		So(p.newest(register.Entry{Serial: 5}).Serial, ShouldEqual, 6)
		So(p.newest(register.Entry{Serial: 7}).Serial, ShouldEqual, 7)
	})
	Convey("A plan that may not be ordered moves no role, and takes in new engines as they are", t, func() {
		old := map[string]string{"a": engine.Prefill, "b": engine.Decode, "gone": engine.Decode}
		next := map[string]string{"a": engine.Decode, "b": engine.Decode, "c": engine.Prefill, "d": engine.Prefill}
		states := []roles.State{{Name: "a", Plays: engine.Prefill}, {Name: "b"}, {Name: "c", Plays: engine.Decode}, {Name: "d"}}
		So(roles.Steady(old, next, states), ShouldResemble, map[string]string{
			"a": engine.Prefill, "b": engine.Decode, "c": engine.Decode, "d": engine.Prefill,
		})
	})
}
