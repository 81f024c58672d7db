package serve

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/desk"
	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/verdict"
)

// untilGivenUp is a reply of an engine that says no more until its call is given up.
type untilGivenUp struct {
	pieces
	call context.Context
}

func (u *untilGivenUp) Next() (Piece, error) {
	if piece, err := u.pieces.Next(); err == nil {
		return piece, nil
	}
	<-u.call.Done()
	return Piece{}, errCut
}

// What the stop of these tests lasts, from its beginning.
const (
	takeFor   = 2 * time.Second
	finishFor = 6 * time.Second
)

// stopWhile serves one request, and stops the server a second after it came; it tells what
// the client got, and how long after the stop's beginning.
func stopWhile(t *testing.T, scene func(w *world), finish bool) (h *heard, after time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		w := &world{crew: lifecycle.New(context.Background())}
		defer w.crew.Stop()
		w.tell = func() time.Duration { return time.Minute + time.Since(began) }
		h = &heard{}
		Convey("a stop", t, func() {
			scene(w)
			s := w.serverOf(desk.Kind{})
			w.crew.Start(func(ctx context.Context) {
				lifecycle.Pause(ctx, time.Second)
				stop := Stop{Take: w.Now() + takeFor}
				if finish {
					stop.Finish = w.Now() + finishFor
				}
				s.Stop(stop)
			})
			s.Serve(&Ask{ID: "a", Facts: desk.Facts{Model: "d"}, Stream: true}, h)
			after = time.Since(began) - time.Second
			So(w.taken, ShouldEqual, 0)
		})
	})
	return h, after
}

// slowStream is an engine that gives some pieces and then no more.
func slowStream(pieceCount int) func(w *world) {
	return func(w *world) {
		w.write = func(int, Go) (Reply, error) {
			return Reply{Head: Head{Status: http.StatusOK}, HandOver: -1, Pieces: &untilGivenUp{pieces{1, pieceCount, io.EOF}, w.calls}}, nil
		}
	}
}

func TestStopBoundsRequestsInHand(t *testing.T) {
	// That the default time of a request is longer than the stop is what these rest on.
	waiting, waited := stopWhile(t, func(w *world) { w.full = true }, true)
	silent, silentFor := stopWhile(t, slowStream(0), true)
	streaming, streamed := stopWhile(t, slowStream(2), true)
	own, ownTime := stopWhile(t, slowStream(2), false)
	Convey("what no engine has taken is told so as the stop ends, or before", t, func() {
		So(waiting.end, ShouldEqual, "fail")
		So(waiting.fault.Verdict, ShouldEqual, verdict.NotRun)
		So(waiting.fault.Status, ShouldBeIn, http.StatusServiceUnavailable, http.StatusTooManyRequests)
		So(waiting.fault.RetryAfter, ShouldBeGreaterThan, 0)
		So(waited, ShouldBeLessThanOrEqualTo, finishFor)
	})
	Convey("what an engine may have run gets an answer that says so", t, func() {
		So(silent.end, ShouldEqual, "fail")
		So(silent.fault.Verdict, ShouldEqual, verdict.MayHaveRun)
		So(silent.fault.Code, ShouldEqual, CodeStopping)
		So(silentFor, ShouldEqual, finishFor)
	})
	Convey("a stream is broken off as the stop ends, and never looks whole", t, func() {
		So(streaming.end, ShouldEqual, "break")
		So(streaming.text, ShouldEqual, "1 2 ")
		So(streamed, ShouldEqual, finishFor)
	})
	Convey("a stop without an end lets a request keep its own time", t, func() {
		So(own.end, ShouldEqual, "break")
		So(ownTime, ShouldBeGreaterThan, finishFor)
	})
}

func TestStopRefusesLateRequests(t *testing.T) {
	Convey("a stopping server takes requests for a while, and then refuses them at once", t, func() {
		now := time.Minute
		w := &world{tell: func() time.Duration { return now }}
		w.write = func(int, Go) (Reply, error) {
			return Reply{Head: Head{Status: http.StatusOK}, HandOver: -1, Pieces: &pieces{1, 1, io.EOF}}, nil
		}
		s := w.serverOf(desk.Kind{})
		s.Stop(Stop{Take: now + takeFor, Finish: now + finishFor})
		now += takeFor - 1
		So(s.Hold(), ShouldBeNil)
		So(ended(s).end, ShouldEqual, "end")
		s.Free()
		now++
		refusal := s.Hold()
		So(refusal, ShouldNotBeNil)
		fault := refusal.Told()
		So(fault.Verdict, ShouldEqual, verdict.NotRun)
		So(fault.Status, ShouldEqual, http.StatusServiceUnavailable)
		So(fault.Code, ShouldEqual, CodeStopping)
		So(fault.RetryAfter, ShouldBeBetween, 0, 100*time.Millisecond)
		So(s.Held(), ShouldEqual, 0)
		// Its head came in time, its body did not.
		late := ended(s)
		So(late.end, ShouldEqual, "fail")
		So(late.fault.Code, ShouldEqual, CodeStopping)
		So(late.fault.Verdict, ShouldEqual, verdict.NotRun)
		s.Stop(Stop{Take: now})
		So(s.Hold(), ShouldNotBeNil)
		So(ended(s).end, ShouldEqual, "end")
	})
}

// ended is one request's way through a server.
func ended(s *Server) *heard {
	h := &heard{}
	s.Serve(&Ask{ID: "a", Facts: desk.Facts{Model: "d"}, Stream: true}, h)
	return h
}
