package sim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/core"
)

// flapping has the node that is nearest to a duty's key come and go, and counts
// how often the duty changed hands and how soon after the time before.
func flapping(seed uint64) (changes int, soonest time.Duration) {
	w := ready(seed, Spec{Nodes: 9, Disks: 3})
	w.Run(10 * time.Second)
	owner := w.byAddr[w.Nodes[0].Core.Owner(core.KeyDisks)]
	for i := range 12 {
		// Down long enough for another node to take over, up for a moment.
		at := time.Duration(i) * 8500 * time.Millisecond
		w.At(at, func() { owner.Crash(false) })
		w.At(at+6*time.Second, owner.Start)
	}
	type taken struct {
		at time.Duration
		by *Node
	}
	var takes []taken
	had := map[*Node]int{}
	for _, n := range w.Nodes {
		had[n] = len(n.Log)
	}
	for range 100 * 100 {
		w.Run(10 * time.Millisecond)
		for _, n := range w.Nodes {
			for _, line := range n.Log[had[n]:] {
				if strings.Contains(line, " 211 ") && strings.Contains(line, core.KeyDisks) {
					takes = append(takes, taken{w.Now(), n})
				}
			}
			had[n] = len(n.Log)
		}
	}
	// It stays up now: the duty goes to it for good, once.
	if !w.Until(20*time.Second, func() bool { return owner.Core != nil && owner.Core.Hold(core.KeyDisks) }) {
		panic(fmt.Sprintf("seed %d: nobody gave the duty to its owner", seed))
	}
	soonest = time.Hour
	for i := 1; i < len(takes); i++ {
		if takes[i].by != takes[i-1].by {
			changes++
			soonest = min(soonest, takes[i].at-takes[i-1].at)
		}
	}
	return changes, soonest
}

func TestQuiet(t *testing.T) {
	Convey("under a flapping node a duty does not go back and forth within a few seconds", t, func() {
		for seed := uint64(1); seed <= 5; seed++ {
			changes, soonest := flapping(seed)
			t.Logf("seed %d: %d changes of hands in 100 s, the soonest after %v", seed, changes, soonest)
			So(soonest, ShouldBeGreaterThanOrEqualTo, 2500*time.Millisecond)
			So(changes, ShouldBeLessThanOrEqualTo, 2)
		}
	})
}
