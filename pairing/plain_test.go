package pairing

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/engine"
)

func plainEngine(name, site string, running, inflight int) Server {
	return Server{
		Listed: engine.Listed{Name: name, Pool: "relay", Site: site, State: "live"}, Role: engine.Whole,
		Load: engine.Load{Slots: 6, Running: running}, Seen: true, Inflight: inflight, Quiet: time.Hour,
	}
}

func plainView() View {
	return View{Pool: "relay", Site: "a", Self: "node-1", Plain: true, Connections: 140, Nodes: 91, Rank: 3}
}

func selected(v View, servers ...Server) string {
	pair, ok := v.Nominate(servers)
	if !ok {
		return ""
	}
	return pair.Writer.Name
}

func TestSelectPlain(t *testing.T) {
	resting := func(s Server) Server { s.Resting = true; return s }
	leaving := func(s Server) Server { s.State = engine.Left; return s }
	own, other := plainEngine("own", "a", 0, 0), plainEngine("other", "b", 0, 0)
	Convey("An engine of the zone comes first, until it is much busier", t, func() {
		So(selected(plainView(), other, own), ShouldEqual, "own")
		So(selected(plainView(), other, plainEngine("own", "a", 1, 0)), ShouldEqual, "own")
		So(selected(plainView(), other, plainEngine("own", "a", 4, 0)), ShouldEqual, "other")
	})
	Convey("One that failed is used where there is no other", t, func() {
		So(selected(plainView(), other, resting(own)), ShouldEqual, "other")
		So(selected(plainView(), resting(own)), ShouldEqual, "own")
	})
	Convey("One that leaves, or of an emptied zone, is not", t, func() {
		So(selected(plainView(), leaving(own)), ShouldEqual, "")
		v := plainView()
		v.Empty = map[string]bool{"a": true}
		So(selected(v, own), ShouldEqual, "")
		So(selected(v, own, other), ShouldEqual, "other")
	})
	Convey("A node holds no more requests at an engine than its share of the connections", t, func() {
		busy := plainEngine("own", "a", 0, 1)
		So(selected(plainView(), busy, other), ShouldEqual, "other")
		So(selected(plainView(), busy), ShouldEqual, "")
		v := plainView()
		v.Nodes = 9
		So(selected(v, busy), ShouldEqual, "own")
	})
	Convey("An engine that is full is still asked by who has nothing there: it turns away what it cannot take", t, func() {
		v := plainView()
		v.Nodes = 9
		So(selected(v, plainEngine("own", "a", 30, 0)), ShouldEqual, "own")
		So(selected(v, plainEngine("own", "a", 30, 1)), ShouldEqual, "")
	})
	Convey("A cold one bears its rate of all nodes together", t, func() {
		v := plainView()
		v.WarmRate, v.Nodes = 4, 1
		cold := own
		cold.Cold, cold.Quiet = time.Second, 10*time.Millisecond
		So(selected(v, cold), ShouldEqual, "")
		cold.Quiet = time.Second
		So(selected(v, cold), ShouldEqual, "own")
	})
	Convey("Nodes that see engines alike spread over them, and each goes back to the same one", t, func() {
		engines := []Server{plainEngine("x", "b", 0, 0), plainEngine("y", "c", 0, 0), plainEngine("z", "d", 0, 0)}
		count := map[string]int{}
		for i := range 90 {
			v := plainView()
			v.Self = fmt.Sprintf("10.0.0.%d:7100", i)
			name := selected(v, engines...)
			So(selected(v, engines...), ShouldEqual, name)
			count[name]++
		}
		for _, s := range engines {
			So(count[s.Name], ShouldBeBetween, 15, 45)
		}
	})
}

// TestConnectionLimits adds up what all nodes of fleets of many sizes may hold.
func TestConnectionLimits(t *testing.T) {
	Convey("Unused connections of the fleet leave a quarter of an engine's limit; requests at once keep to it where it allows one a node", t, func() {
		for nodes := 1; nodes <= 130; nodes++ {
			for _, limit := range []int{1, 3, 16, 91, 140, 370, 550} {
				idle, inUse := 0, 0
				for rank := range nodes {
					v := View{Nodes: nodes, Rank: rank, Connections: limit}
					idle += max(v.IdleConnections("i-1"), 0)
					inUse += v.connectionShare()
				}
				if idle > limit-limit/busyPart || inUse > max(limit, nodes) {
					So(fmt.Sprintf("%d nodes, limit %d: %d unused, %d in use", nodes, limit, idle, inUse), ShouldBeEmpty)
				}
			}
		}
		So(View{Nodes: 9}.IdleConnections("i-1"), ShouldEqual, 0)
		So(View{Nodes: 9, Connections: 1}.IdleConnections("i-1"), ShouldBeIn, NoIdle, 1)
	})
}
