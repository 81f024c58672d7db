package pairing

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPace(t *testing.T) {
	const ms = time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	some := func(most time.Duration) time.Duration { return time.Duration(random.Int64N(int64(most))) }
	add := func(p *Pace, times int, factor float64, wait time.Duration) {
		for range times {
			expected := paceLong + some(200*ms)
			took := time.Duration(factor * float64(expected))
			if wait > 0 {
				took += some(wait)
			}
			p.Add(Read{expected, took})
		}
	}
	Convey("Engines are those of the costs until enough was seen", t, func() {
		var none *Pace
		So(none.Factor(), ShouldEqual, 1)
		p := &Pace{}
		add(p, paceBatch-1, 2, 0)
		So(p.Factor(), ShouldEqual, 1)
		add(p, 1, 2, 0)
		So(p.Factor(), ShouldAlmostEqual, 2, 0.01)
	})
	Convey("Waits do not lengthen it while quicker reads are remembered, and those are forgotten in the end", t, func() {
		p := &Pace{}
		add(p, 4*paceBatch, 2, 0)
		add(p, (paceBatches-4)*paceBatch, 2, 2*time.Second)
		So(p.Factor(), ShouldAlmostEqual, 2, 0.01)
		add(p, paceBatches*paceBatch, 3, 0)
		So(p.Factor(), ShouldAlmostEqual, 3, 0.01)
		add(p, paceBatch, 1.5, 0)
		So(p.Factor(), ShouldAlmostEqual, 1.5, 0.01)
	})
	Convey("Short reads and direct ones tell nothing, and bounds hold", t, func() {
		p := &Pace{}
		for range 2 * paceBatch {
			p.Add(Read{paceLong / 2, time.Second})
			p.Add(Read{})
		}
		So(p.Factor(), ShouldEqual, 1)
		add(p, paceBatch, 100, 0)
		So(p.Factor(), ShouldEqual, paceMost)
		add(p, paceBatch, 0.01, 0)
		So(p.Factor(), ShouldEqual, paceLeast)
		So(ReadOf(Pair{Direct: true, Pace: 1, Takes: ms}, ms), ShouldResemble, Read{})
		So(ReadOf(Pair{Pace: 2, Takes: 100 * ms}, 90*ms), ShouldResemble, Read{50 * ms, 90 * ms})
	})
	Convey("Costs of reading follow it, and what a pair takes", t, func() {
		v := view()
		v.Tokens, v.Aim = 6000, 400*ms
		slow := v
		slow.Pace = 2
		pair, _ := v.Nominate(fleet())
		slower, ok := slow.Nominate(fleet())
		So(ok, ShouldBeTrue)
		So(slower.Pace, ShouldEqual, 2)
		So(slower.Takes, ShouldBeBetween, pair.Takes*3/2, pair.Takes*2+ms)
	})
}
