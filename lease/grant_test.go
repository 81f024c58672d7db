package lease

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestGrant(t *testing.T) {
	Convey("a value is granted under a lease alone, and the grant ends with the lease", t, func() {
		c := &clock{now: time.Minute}
		g, ok := Give(c, time.Minute+time.Second, "desk")
		So(ok, ShouldBeTrue)
		So(g.Value(), ShouldEqual, "desk")
		So(g.Held(), ShouldBeTrue)
		c.now += time.Second - 1
		So(g.Held(), ShouldBeTrue)
		c.now++
		So(g.Held(), ShouldBeFalse)
	})
	Convey("no value comes out of a lease that ran out, nor out of the zero grant", t, func() {
		c := &clock{now: time.Minute}
		g, ok := Give(c, time.Minute, "desk")
		So(ok, ShouldBeFalse)
		So(g.Held(), ShouldBeFalse)
		So(g.Value(), ShouldEqual, "")
		So(Grant[string]{}.Held(), ShouldBeFalse)
	})
}
