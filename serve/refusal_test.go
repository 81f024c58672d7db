package serve

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/desk"
	"linedrum.example/linedrum/ledger"
	"linedrum.example/linedrum/verdict"
)

// lapsing is a world whose lease ends at a moment of its clock.
func lapsing(at time.Duration) *world {
	w := &world{now: time.Second}
	w.until = func() time.Duration { return at }
	w.write = func(int, Go) (Reply, error) {
		return Reply{Head: Head{Status: http.StatusOK}, HandOver: -1, Pieces: &pieces{1, 1, io.EOF}}, nil
	}
	return w
}

// notNow asserts that a caller was told to come back, and nothing else.
func notNow(h *heard) {
	So(h.end, ShouldEqual, "fail")
	So(h.fault.Verdict, ShouldEqual, verdict.NotRun)
	So(h.fault.Status, ShouldEqual, http.StatusServiceUnavailable)
	So(h.fault.Code, ShouldEqual, CodeNoLease)
	So(h.fault.RetryAfter, ShouldBeGreaterThan, 0)
}

// asks are requests that the desk file of a world does not serve, and the status that
// says so under a lease.
var asks = []struct {
	what   string
	ask    func() *Ask
	status int
}{
	{"a route that is not there", func() *Ask { return &Ask{ID: "a", Facts: desk.Facts{Model: "other"}} }, http.StatusNotFound},
	{"a kind that is not there", func() *Ask { return &Ask{ID: "a", Facts: desk.Facts{Model: "d", Kind: "other"}} }, http.StatusBadRequest},
	{"more than the kind takes", func() *Ask { return &Ask{ID: "a", Facts: desk.Facts{Model: "d"}, Out: 101} }, http.StatusBadRequest},
}

func TestRefusal(t *testing.T) {
	Convey("under a lease the configuration refuses", t, func() {
		for _, a := range asks {
			w := lapsing(time.Hour)
			h := &heard{}
			w.serverOf(desk.Kind{}).Serve(a.ask(), h)
			SoMsg(a.what, h.fault.Status, ShouldEqual, a.status)
		}
	})
	Convey("without a lease every refusal is not-run, come back, and nothing is sent", t, func() {
		for _, a := range asks {
			w, h := lapsing(time.Second), &heard{}
			w.serverOf(desk.Kind{}).Serve(a.ask(), h)
			notNow(h)
		}
		w := lapsing(time.Second)
		h, _ := w.serve(desk.Kind{}, false)
		notNow(h)
		So(w.begun, ShouldBeEmpty)
	})
	Convey("a refusal whose lease runs out between look and telling is not told", t, func() {
		for _, a := range asks {
			w := lapsing(2 * time.Second)
			h := &heard{before: func() { w.now = 2 * time.Second }}
			w.serverOf(desk.Kind{}).Serve(a.ask(), h)
			notNow(h)
			So(w.last.Status, ShouldEqual, http.StatusServiceUnavailable) // as it is counted
		}
	})
	Convey("a request whose go lost its lease on the way is not-run, and no engine rests for it", t, func() {
		w := lapsing(2 * time.Second)
		w.read = func(int) error {
			w.now = 2 * time.Second
			return &verdict.Error{Verdict: verdict.NotRun, Code: ledger.CodePermit}
		}
		h, _ := w.serve(desk.Kind{}, false)
		notNow(h)
		So(w.begun, ShouldResemble, []string{"read r"})
		So(w.rested, ShouldBeEmpty)
	})
	Convey("an engine's refusal of the input is told under a lease alone", t, func() {
		for _, lapses := range []bool{false, true} {
			w := lapsing(2 * time.Second)
			w.direct = true
			w.write = func(int, Go) (Reply, error) {
				if lapses {
					w.now = 2 * time.Second
				}
				return Reply{}, &verdict.Error{Verdict: verdict.NotRun, Code: ledger.CodeInput}
			}
			h, _ := w.serve(desk.Kind{}, false)
			if lapses {
				notNow(h)
			} else {
				So(h.fault.Status, ShouldEqual, http.StatusBadRequest)
			}
		}
	})
	Convey("what was malformed is told with a lease or without", t, func() {
		fault := Malformed(Bad(http.StatusBadRequest, "bad-header", FieldKey, "x"))
		So(fault.Told().Status, ShouldEqual, http.StatusBadRequest)
		So(Under(nil, time.Second, Bad(http.StatusNotFound, "x", "x", "x")).Told().Status, ShouldEqual, http.StatusServiceUnavailable)
	})
	Convey("what may have run is never said not to have", t, func() {
		may := &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusBadGateway}
		So(Under(InForce{}, time.Second, may).Told(), ShouldEqual, may)
	})
}

func TestLapseInQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("a request that waits is not held beyond the lease, and keeps its place while that is renewed", t, func() {
			began := time.Now()
			w := lapsing(0)
			w.tell = func() time.Duration { return time.Second + time.Since(began) }
			renewals := 3
			w.until = func() time.Duration { return time.Second + time.Duration(renewals)*time.Second }
			w.full = true
			h := &heard{}
			w.serverOf(desk.Kind{}).Serve(&Ask{ID: "a", Facts: desk.Facts{Model: "d"}}, h)
			notNow(h)
			So(time.Since(began), ShouldBeBetween, 3*time.Second-1, 3*time.Second+100*time.Millisecond)
			So(w.begun, ShouldBeEmpty)
			So(w.taken, ShouldEqual, 0)
		})
	})
}
