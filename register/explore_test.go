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
func (s scenario) written1() scenario       { s.writers = []Request{claimOf("a", 1)}; return s }
func (s scenario) unsynced() scenario       { s.async = true; return s }

func TestExploreTrial(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(4000))
	states, _ := strconv.Atoi(os.Getenv("TRIAL_STATES"))
	for _, c := range []struct {
		name string
		s    scenario
	}{
		{"replaced", replaced},
		{"replaced wipe", replaced.with(faults{Wipe: 1})},
		{"replaced power wipe", replaced.with(faults{Power: 1, Wipe: 1})},
		{"replaced tick wipe", replaced.with(faults{Tick: 1, Wipe: 1})},
		{"leaving wipe", leaving.with(faults{Wipe: 1})},
		{"growing wipe", growing.with(faults{Wipe: 1})},
		{"growing power wipe", growing.with(faults{Power: 1, Wipe: 1})},
		{"handed", handed},
		{"handed tick", handed.with(faults{Tick: 1})},
		{"replaced writer wipe", replaced.written1().with(faults{Wipe: 1})},
		{"growing writer wipe", growing.written1().with(faults{Wipe: 1})},
		{"PLANT onestep replaced", replaced.planted(plantOneStep).with(faults{Wipe: 1})},
		{"PLANT onestep growing", growing.planted(plantOneStep).with(faults{Wipe: 1})},
		{"PLANT copy replaced", replaced.planted(plantCopyNotAwaited).with(faults{Wipe: 1})},
		{"PLANT copy growing", growing.planted(plantCopyNotAwaited).with(faults{Wipe: 1})},
		{"PLANT set replaced", replaced.written1().planted(plantSetUnchecked).with(faults{Wipe: 1})},
		{"PLANT set growing", growing.written1().planted(plantSetUnchecked).with(faults{Wipe: 1})},
		{"PLANT majority change", replaced.planted(plantMajoritySkipped).with(faults{Wipe: 1})},
	} {
		if only := os.Getenv("TRIAL"); only != "" && !strings.HasPrefix(c.name, only) {
			continue
		}
		began := time.Now()
		r := explore.Breadth(func() explore.Model { return newModel(&c.s) }, explore.Bounds{Depth: 100, States: states})
		t.Logf("%s: %+v %v", c.name, r, time.Since(began))
	}
}
