package sim

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestMassJoin guards what was found by it: nodes that join at the same moment
// are not in each other's copied tables, and their trees pass each other by.
func TestMassJoin(t *testing.T) {
	Convey("nodes started at the same moment hold each other within the recovery bound", t, func() {
		for _, nodes := range []int{9, 10, 32, 64} {
			worst := time.Duration(0)
			for seed := uint64(20); seed < 25; seed++ {
				w := NewWorld(seed)
				w.AddFleet(Spec{Nodes: nodes, Disks: 3})
				w.StartAll()
				if !w.Until(200*time.Second, w.Converged) {
					t.Logf("n=%d seed=%d did not converge in 200 s", nodes, seed)
				}
				worst = max(worst, w.Now())
			}
			t.Logf("n=%d worst of 5 seeds: %v", nodes, worst)
			So(worst, ShouldBeLessThan, 12*time.Second)
		}
	})
}
