package register

import (
	"os"
	"runtime/debug"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/explore"
)

func claimOf(op string, base uint64) Request {
	return Request{Key: modelKey, Base: base, Op: op, Value: []byte(op)}
}

var three = []string{"d0", "d1", "d2"}

// The beginnings of the scenarios; what may happen on one way through each is bounded by
// its faults.
var (
	// rivals write on one serial.
	rivals = scenario{voters: three, alike: three, writers: []Request{claimOf("a", 0), claimOf("b", 0)}}
	// replaced has d2 lost, and d3 take its place: of what was acknowledged, d0 alone is left.
	replaced = scenario{voters: three, next: []string{"d0", "d1", "d3"}, written: []string{"d0", "d2"}, silent: []string{"d2"}, changers: 1}
	// leaving has d2 there until d3 has taken its place.
	leaving = scenario{voters: three, next: []string{"d0", "d1", "d3"}, written: []string{"d0", "d2"}, changers: 1}
	// growing has one voter become three.
	growing = scenario{voters: three[:1], next: three, alike: three[1:], written: three[:1], changers: 1}
	// handed has two nodes make the same change, as when the duty changes hands.
	handed = scenario{voters: three, next: []string{"d0", "d1", "d3"}, written: []string{"d0", "d2"}, silent: []string{"d2"}, changers: 2}
)

func (s scenario) with(f faults) scenario   { s.faults = f; return s }
func (s scenario) planted(p plant) scenario { s.plant = p; return s }
func (s scenario) unsynced() scenario       { s.async = true; return s }

// further has one more write under way while the voters change.
func (s scenario) further() scenario { s.writers = []Request{claimOf("a", 1)}; return s }

// explored is a scenario with the number of states that are visited by default. Those
// marked whole are visited to their end: no state lies beyond.
type explored struct {
	name   string
	scene  scenario
	states int
	whole  bool
}

var scenarios = []explored{
	{"rivals", rivals, 10_000, true},
	{"rivals, power lost once", rivals.with(faults{Power: 1}), 10_000, true},
	{"rivals, a reply lost", rivals.with(faults{LoseReply: 1}), 1_500, false},
	{"rivals, a message twice", rivals.with(faults{Duplicate: 1}), 1_500, false},
	{"rivals, two rounds out of time", rivals.with(faults{Tick: 2}), 1_500, false},
	{"rivals, disks that sync late, fail, restart", rivals.unsynced().with(faults{Power: 1, Kill: 1, FailSync: 1, Snapshot: 1}), 2_000, false},
	{"replaced, then one wiped", replaced.with(faults{Wipe: 1}), 10_000, true},
	{"replaced, power lost, then one wiped", replaced.with(faults{Power: 1, Wipe: 1}), 1_500, false},
	{"replaced, a round out of time, then one wiped", replaced.with(faults{Tick: 1, Wipe: 1}), 1_500, false},
	{"replaced beside a write, then one wiped", replaced.further().with(faults{Wipe: 1}), 1_500, false},
	{"left in order, then one wiped", leaving.with(faults{Wipe: 1}), 1_500, false},
	{"grown, then one wiped", growing.with(faults{Wipe: 1}), 10_000, true},
	{"grown, power lost, then one wiped", growing.with(faults{Power: 1, Wipe: 1}), 10_000, true},
	{"grown beside a write, then one wiped", growing.further().with(faults{Wipe: 1}), 1_500, false},
	{"left out again, or replaced and then one wiped", replaced.with(faults{LeaveOut: 1, Wipe: 1}), 10_000, true},
	{"left out again by one node, replaced by another", handed.with(faults{LeaveOut: 1}), 1_500, false},
	{"changed by two nodes", handed, 1_500, false},
	{"changed by two nodes, two rounds out of time", handed.with(faults{Tick: 2}), 1_500, false},
}

// depth is beyond every scenario's end.
const depth = 200

// oftener raises bounds by hand.
func oftener() int {
	if n, err := strconv.Atoi(os.Getenv("LINEDRUM_SEEDS")); err == nil && n > 1 {
		return n
	}
	return 1
}

func (e explored) explore(states int) explore.Report {
	return explore.Breadth(func() explore.Model { return newModel(&e.scene) }, explore.Bounds{Depth: depth, States: states})
}

// slackly spares the collector: a state is small, and millions come and go.
func slackly() (restore func()) {
	was := debug.SetGCPercent(4000)
	return func() { debug.SetGCPercent(was) }
}

func TestExplore(t *testing.T) {
	defer slackly()()
	Convey("in every state that is reached: one write on a serial, one set under a number, and once all disks are back what was acknowledged is read and an order taken", t, func() {
		for _, e := range scenarios {
			states := e.states
			if !e.whole {
				states *= oftener()
			}
			r := e.explore(states)
			t.Logf("%s: %d states, %d steps, all within %d steps from the start, to the end: %v", e.name, r.States, r.Transitions, r.Depth, r.Exhausted)
			So(r.Fault, ShouldBeEmpty)
			if e.whole {
				So(r.Exhausted, ShouldBeTrue)
			}
		}
	})
}

func TestExplorePlanted(t *testing.T) {
	defer slackly()()
	Convey("each planted fault is found", t, func() {
		for _, e := range []explored{
			{name: "a disk accepts below its promise", scene: rivals.planted(plantEpochUnchecked)},
			{name: "one disk's yes counts for all", scene: rivals.planted(plantMajoritySkipped)},
			{name: "a reply before the sync", scene: rivals.unsynced().planted(plantRepliesUnsynced).with(faults{Power: 1})},
			{name: "a failed sync is tried again", scene: rivals.unsynced().planted(plantSyncRetried).with(faults{FailSync: 1, Power: 1})},
			{name: "a snapshot without a sync of its folder", scene: rivals.planted(plantSnapshotUnsynced).with(faults{Snapshot: 1, Power: 1})},
			{name: "no joint set, replaced", scene: replaced.planted(plantOneStep).with(faults{Wipe: 1})},
			{name: "no joint set, grown", scene: growing.planted(plantOneStep).with(faults{Wipe: 1})},
			{name: "a copy is not awaited, replaced", scene: replaced.planted(plantCopyNotAwaited).with(faults{Wipe: 1})},
			{name: "a copy is not awaited, grown", scene: growing.planted(plantCopyNotAwaited).with(faults{Wipe: 1})},
			{name: "a disk answers under any set, grown", scene: growing.further().planted(plantSetUnchecked).with(faults{Wipe: 1})},
			{name: "one disk's yes counts for all, replaced", scene: replaced.planted(plantMajoritySkipped).with(faults{Wipe: 1})},
		} {
			r := e.explore(20_000)
			t.Logf("%s: %q after %d states, by %d steps", e.name, r.Fault, r.States, len(r.Path))
			So(r.Fault, ShouldNotBeEmpty)
		}
	})
}
