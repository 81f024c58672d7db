package register

import (
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"testing"
	"time"

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
	// replaced has d2 lost, and d3 take its place while a write is under way.
	replaced = scenario{voters: three, next: []string{"d0", "d1", "d3"}, silent: []string{"d2"}, alike: three[:2], writers: []Request{claimOf("a", 0)}, changers: 1}
	// leaving has d2 alive until d3 has taken its place.
	leaving = scenario{voters: three, next: []string{"d0", "d1", "d3"}, alike: three[:2], writers: []Request{claimOf("a", 0)}, changers: 1}
	// growing has one voter become three.
	growing = scenario{voters: three[:1], next: three, alike: three[1:], writers: []Request{claimOf("a", 0)}, changers: 1}
	// handed has two nodes make the same change, as when the duty changes hands.
	handed = scenario{voters: three, next: []string{"d0", "d1", "d3"}, silent: []string{"d2"}, alike: three[:2], changers: 2}
)

func (s scenario) with(f faults) scenario   { s.faults = f; return s }
func (s scenario) planted(p plant) scenario { s.plant = p; return s }
func (s scenario) unsynced() scenario       { s.async = true; return s }

func TestExploreTrial(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(4000))
	states, _ := strconv.Atoi(os.Getenv("TRIAL_STATES"))
	for _, c := range []struct {
		name string
		s    scenario
	}{
		{"rivals", rivals},
		{"rivals tick", rivals.with(faults{Tick: 1})},
		{"rivals power", rivals.with(faults{Power: 1})},
		{"rivals dup", rivals.with(faults{Duplicate: 1})},
		{"rivals lose", rivals.with(faults{LoseReply: 1})},
		{"unsynced", rivals.unsynced()},
		{"unsynced power", rivals.unsynced().with(faults{Power: 1})},
		{"replaced", replaced},
		{"replaced tick wipe", replaced.with(faults{Tick: 1, Wipe: 1})},
		{"replaced power wipe", replaced.with(faults{Power: 1, Wipe: 1})},
		{"leaving wipe", leaving.with(faults{Wipe: 1})},
		{"growing wipe", growing.with(faults{Wipe: 1})},
		{"handed", handed},
		{"handed tick", handed.with(faults{Tick: 1})},
		{"PLANT epoch", rivals.planted(plantEpochUnchecked)},
		{"PLANT majority", rivals.planted(plantMajoritySkipped)},
		{"PLANT replies unsynced", rivals.unsynced().planted(plantRepliesUnsynced).with(faults{Power: 2})},
		{"PLANT retried", rivals.unsynced().planted(plantSyncRetried).with(faults{FailSync: 2, Power: 2})},
		{"PLANT snapshot", rivals.planted(plantSnapshotUnsynced).with(faults{Snapshot: 2, Power: 2})},
		{"PLANT onestep replaced", replaced.planted(plantOneStep).with(faults{Tick: 1, Wipe: 1})},
		{"PLANT onestep growing", growing.planted(plantOneStep).with(faults{Tick: 1, Wipe: 1})},
		{"PLANT copy replaced", replaced.planted(plantCopyNotAwaited).with(faults{Wipe: 1})},
		{"PLANT copy growing", growing.planted(plantCopyNotAwaited).with(faults{Wipe: 1})},
		{"PLANT set replaced", replaced.planted(plantSetUnchecked).with(faults{Wipe: 1})},
		{"PLANT set growing", growing.planted(plantSetUnchecked).with(faults{Wipe: 1})},
	} {
		if only := os.Getenv("TRIAL"); only != "" && !strings.HasPrefix(c.name, only) {
			continue
		}
		began := time.Now()
		r := explore.Breadth(func() explore.Model { return newModel(&c.s) }, explore.Bounds{Depth: 100, States: states})
		t.Logf("%s: %+v %v", c.name, r, time.Since(began))
	}
}
