package serve

import (
	"context"
	"time"

	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/verdict"
)

// Stop bounds what a server still does that stops as planned (design.md section 6). Its
// moments are of the server's clock.
type Stop struct {
	Take   time.Duration // requests that come at it or later are refused
	Finish time.Duration // no request's time ends later; 0: each keeps its own
}

// CodeStopping is the code of what a stopping node did not take, or gave up unbegun.
const CodeStopping = "node-stops"

// elsewhere is when a request should come back that any other node can take at once.
const elsewhere = time.Millisecond

// stopping is the refusal of a request by a node that stops.
func stopping() *Refusal {
	return ComeBack(CodeStopping, "this node stops; another one takes the request", elsewhere)
}

// Stop begins the planned stop: requests that come from stop.Take on are refused, and
// those in hand end by stop.Finish, each with the answer that its ledger gives then.
func (s *Server) Stop(stop Stop) {
	s.stop.Store(&stop)
	if stop.Finish <= 0 {
		return
	}
	s.fleet.Background(func(ctx context.Context) {
		if lifecycle.Pause(ctx, stop.Finish-s.clock.Now()) {
			s.giveUp()
		}
	})
}

// takes tells whether requests are still taken.
func (s *Server) takes() bool {
	stop := s.stop.Load()
	return stop == nil || s.clock.Now() < stop.Take
}

// late refuses a request whose body was on its way for so long that it was read whole when
// requests were no longer taken, where the process does not outlast the stop.
func (s *Server) late() *Refusal {
	if stop := s.stop.Load(); stop == nil || stop.Finish <= 0 || s.takes() {
		return nil
	}
	return stopping()
}

// end is when a request's time is over that ends by itself at a moment; stopped says that
// the server's planned stop ends it earlier.
func (s *Server) end(own time.Duration) (by time.Duration, stopped bool) {
	stop := s.stop.Load()
	if stop == nil || stop.Finish <= 0 {
		return own, false
	}
	by = stop.Finish
	if s.givenUp.Err() != nil {
		// The timer that gave them up and the clock may disagree by a little.
		by = min(by, s.clock.Now())
	}
	return min(by, own), by < own
}

// bound brings the request's end forward to that of the planned stop.
func (q *request) bound() {
	if by, stopped := q.s.end(q.ledger.Expiry); stopped {
		q.ledger.Expiry, q.stopped = by, true
	}
}

// stoppedFault words the end of a request whose time the planned stop has cut.
func stoppedFault(e *verdict.Error) {
	e.Code, e.Reason = CodeStopping, "this node stops, and the request's time ended with it"
	if e.Verdict == verdict.NotRun {
		e.RetryAfter = elsewhere
	}
}
