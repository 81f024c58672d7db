package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAwake(t *testing.T) {
	Convey("A break is noticed by whoever looks first after it, and is over after a calm moment", t, func() {
		a := awake{gap: 500 * time.Millisecond, calm: 500 * time.Millisecond}
		now := time.Hour
		for range 100 {
			now += 10 * time.Millisecond
			a.tick(now)
			So(a.calmAt(now), ShouldBeTrue)
		}
		now += 4 * time.Second // frozen; an order is read before the next tick
		So(a.calmAt(now), ShouldBeFalse)
		for range 49 {
			now += 10 * time.Millisecond
			a.tick(now)
			So(a.calmAt(now), ShouldBeFalse)
		}
		now += 10 * time.Millisecond
		So(a.calmAt(now), ShouldBeTrue)
	})
}
