package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/lifecycle"
)

// TestStopWhileStarting stops a node that has no majority, and so no lease yet.
func TestStopWhileStarting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("a node that is stopped while it starts leaves at once and never serves", t, func() {
			fleet := newTestFleet()
			defer fleet.stop()
			fleet.start(fleet.machines...)
			So(within(10*time.Second, fleet.allVote), ShouldBeTrue)
			alone := fleet.machines[0]
			for _, m := range fleet.machines {
				m.kill(false)
			}
			alone.node, alone.said = nil, &lockedBuffer{}
			ctx, cancel := context.WithCancel(context.Background())
			starting := lifecycle.New(context.Background())
			starting.Start(func(context.Context) { fleet.startUntil(ctx, alone) })
			pass(alone.settings.Bounds.InForce.D() / 4)
			cancel()
			told := time.Now()
			starting.Wait()
			So(alone.err, ShouldEqual, ErrStopped)
			So(time.Since(told), ShouldBeLessThan, alone.settings.Bounds.InForce.D()/2)
			So(alone.heard(event.Stopping), ShouldBeTrue)
			So(alone.heard(event.Started), ShouldBeFalse)
		})
	})
}
