package core

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRivalry(t *testing.T) {
	Convey("two nodes that both believe in one duty take it from each other less and less", t, func() {
		var rivals [2]ConflictBackoff
		holder, changes, last := -1, 0, time.Duration(0)
		gap := time.Duration(0)
		const holdDown = 3 * time.Second
		for now := time.Second; now < 5*time.Minute; now += 250 * time.Millisecond {
			for i := range rivals {
				if rivals[i].MayTake(holder == i, now, holdDown) && holder != i {
					changes++
					gap, last = now-last, now
					holder = i
				}
			}
		}
		So(changes, ShouldBeBetween, 3, 20)
		So(gap, ShouldBeGreaterThan, 20*time.Second)
	})
	Convey("the checker sees what happens without it", t, func() {
		holder, changes := -1, 0
		for now := time.Second; now < 5*time.Minute; now += 250 * time.Millisecond {
			for i := range 2 {
				var forgetful ConflictBackoff
				if forgetful.MayTake(holder == i, now, 3*time.Second) && holder != i {
					changes++
					holder = i
				}
			}
		}
		So(changes, ShouldBeGreaterThan, 1000)
	})
}
