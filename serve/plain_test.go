package serve

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/desk"
	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/strict"
	"linedrum.example/linedrum/verdict"
)

func TestPlainPath(t *testing.T) {
	const aim = 120 * time.Millisecond
	kind := desk.Kind{Aim: strict.Duration(aim), Changing: true, Goes: 1}
	answer := func(int, Go) (Reply, error) {
		return Reply{Head: Head{Status: 200}, HandOver: -1, Pieces: &pieces{1, 2, io.EOF}}, nil
	}
	Convey("A request for a plain engine is one call, whatever is known of its prompt", t, func() {
		var connect time.Duration
		w := &world{direct: true, plain: true}
		w.write = func(n int, g Go) (Reply, error) { connect = g.Connect; return answer(n, g) }
		h, record := w.serve(kind, false)
		So(h.end, ShouldEqual, "end")
		So(w.begun, ShouldResemble, []string{"direct after "})
		So(w.spends, ShouldEqual, 0)
		So(record.Moves[0].Terms.Whole, ShouldBeTrue)
		So(connect, ShouldEqual, aim/offerPart)
	})
	Convey("A changing one that may have run is not offered again, one that was not reached is", t, func() {
		w := &world{direct: true, plain: true, write: func(int, Go) (Reply, error) { return Reply{}, errCut }}
		h, _ := w.serve(kind, false)
		So(h.fault.Verdict, ShouldEqual, verdict.MayHaveRun)
		So(len(w.begun), ShouldEqual, 1)
		w = &world{direct: true, plain: true}
		w.write = func(n int, g Go) (Reply, error) {
			if n == 1 {
				return Reply{}, &verdict.Error{Verdict: verdict.NotRun, Code: engine.CodeDial}
			}
			return answer(n, g)
		}
		h, _ = w.serve(kind, false)
		So(h.end, ShouldEqual, "end")
		So(w.spends, ShouldEqual, 1)
	})
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		w := &world{plain: true, full: true, tell: func() time.Duration { return time.Minute + time.Since(began) }}
		var h *heard
		Convey("Without an engine it is refused within a quarter of its aim, to come back in time", t, func() {
			h, _ = w.serve(kind, false)
			So(time.Since(began), ShouldBeLessThanOrEqualTo, aim/offerPart+time.Millisecond)
			So(h.fault.Verdict, ShouldEqual, verdict.NotRun)
			So(h.fault.RetryAfter, ShouldEqual, aim/comeBackPart)
		})
	})
}
