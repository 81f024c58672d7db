package serve

import (
	"context"
	"net/http"
	"time"

	"linedrum.example/linedrum/admission"
	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/ledger"
	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/pairing"
	"linedrum.example/linedrum/verdict"
)

// paired is a request's engines.
type paired struct {
	pair      pairing.Pair
	nominated time.Duration // when, by what was known then
	reading   bool          // the reader is reserved
	writing   bool          // the writer is reserved
	memory    *Memory       // of the prefill
	handed    bool          // a writer may have taken it
}

// release gives back what is still reserved.
func (q *request) release() {
	if !q.reading && !q.writing {
		return
	}
	if q.reading {
		q.engines.End(q.pair.Reader.Name)
	}
	if q.writing {
		q.engines.End(q.pair.Writer.Name)
	}
	q.reading, q.writing = false, false
	q.s.gate.Pump()
}

// free lets go of memory that was read and that no writer was given.
func (q *request) free() {
	if q.memory != nil && !q.handed {
		q.s.speech.Free(*q.memory)
	}
	q.memory = nil
}

// line names the queue that this request waits in.
func (q *request) line() string { return q.desk.Name + "/" + q.kind.Name }

func queueFull(comeBack time.Duration) *verdict.Error {
	return &verdict.Error{
		Verdict: verdict.NotRun, Status: http.StatusTooManyRequests, Code: "queue-full",
		Reason: "the queue of this kind of caller is full", RetryAfter: max(comeBack, time.Second),
	}
}

// offerPart is the part of its aim within which a request for a plain engine is offered to
// one, or refused: a refusal costs little until then, and the engines are hardly ever full
// for longer.
const offerPart = 4

// comeBackPart is when a request for a plain engine that was refused comes back, as a part
// of its aim: soon enough to be in time yet.
const comeBackPart = 2

// offerWithin is how long a request for a plain engine may wait for one; 0: to its deadline.
func (q *request) offerWithin() time.Duration { return q.kind.Aim.D() / offerPart }

// tooMany refuses a request that no engine can take now.
func (q *request) tooMany(comeBack time.Duration) *verdict.Error {
	fault := queueFull(comeBack)
	if q.plain && q.kind.Aim > 0 {
		fault.RetryAfter = q.kind.Aim.D() / comeBackPart
	}
	return fault
}

// await waits for a pair of engines, in the queue of the caller's kind.
func (q *request) await(move ledger.Move) *verdict.Error {
	ctx, cancel := q.expiryContext()
	defer cancel()
	if move.Code == ledger.CodePermit {
		lifecycle.Pause(ctx, q.s.settings.Bounds.InForce.D()/40)
		return nil
	}
	bound, left := q.kind.Queue, q.ledger.Expiry-q.s.clock.Now()
	begun := q.ledger.Verdict() != verdict.NotRun
	if begun {
		bound, left = 1<<20, 48*time.Hour // what has begun is not turned away by a queue, nor given up before its expiry
	}
	terms := admission.Terms{Share: q.kind.Share, Bound: bound, Left: left}
	if aim := q.kind.Aim.D(); aim > 0 && !begun {
		terms.Aim = max(aim-(q.s.clock.Now()-q.arrived), 1)
		terms.Free = func() bool { return q.engines.Idle(q.pool, q.s.clock.Now()) }
	}
	if within := q.offerWithin(); q.plain && within > 0 && !begun {
		var ends context.CancelFunc
		ctx, ends = context.WithTimeout(ctx, max(within-(q.s.clock.Now()-q.arrived), 0))
		defer ends()
	}
	w, ok, comeBack := q.s.gate.Admit(q.line(), terms, q.reserve)
	if !ok {
		return q.tooMany(comeBack)
	}
	if !q.awaitTurn(ctx, w, begun) {
		// The ledger sees the expiry, that the caller left, or that there is no lease. If
		// the grant came at the same moment, the reservation is given back with the
		// request's end.
		granted := q.s.gate.Leave(w)
		if q.plain && !begun && !granted && q.inHand() {
			return q.tooMany(0)
		}
		return nil
	}
	if gaveUp, comeBack := w.GaveUp(); gaveUp && !begun {
		fault := q.tooMany(comeBack)
		fault.Code, fault.Reason = "too-busy", "no engine will come free within half of the request's time"
		return fault
	}
	return nil
}

// awaitTurn waits for a place in the queue until ctx ends; false means that it did. What
// has not begun keeps its place as long as there is a lease: without one it is not held.
func (q *request) awaitTurn(ctx context.Context, w *admission.Waiter, begun bool) bool {
	for {
		if begun {
			return granted(ctx, w)
		}
		inForce, held := q.fleet.InForce()
		if !held {
			return false
		}
		leased, cancel := context.WithTimeout(ctx, inForce.Until()-q.s.clock.Now()+q.s.settings.Bounds.InForce.D()/leaseTicks)
		turn := granted(leased, w)
		cancel()
		if turn || ctx.Err() != nil {
			return turn
		}
	}
}

// inHand tells that the request is still to be answered by an engine: its client is there,
// its time is not over, and there is a lease.
func (q *request) inHand() bool {
	_, held := q.fleet.InForce()
	return held && q.ctx.Err() == nil && q.s.givenUp.Err() == nil && q.s.clock.Now() < q.ledger.Expiry
}

// leaseTicks is how soon a lapsed lease is noticed, as a part of the in-force bound.
const leaseTicks = 200

// granted waits for a place until ctx ends; false means that it ended first.
func granted(ctx context.Context, w *admission.Waiter) bool {
	select {
	case <-w.Granted():
		return true
	case <-ctx.Done():
		return false
	}
}

// reserve is the gate's try: it runs under the gate's lock.
func (q *request) reserve() bool {
	now := q.s.clock.Now()
	q.nominated = now
	want := Want{Pool: q.pool, Prefix: q.ask.Prefix, Ask: q.ask, Pause: q.kind.Pause.D(), DirectOnly: q.ledger.DirectOnly()}
	if aim := q.kind.Aim.D(); aim > 0 {
		want.Aim = max(aim-(now-q.arrived), 1)
	}
	if q.memory != nil {
		s, nomination, ok := q.engines.ReserveWriter(want, q.pair.Reader, now)
		if ok {
			q.pair.Writer, q.writing = s, true
			q.why.Pairs = append(q.why.Pairs, nomination)
		}
		return ok
	}
	pair, nomination, ok := q.engines.Reserve(want, now)
	if ok {
		q.pair, q.reading, q.writing = pair, !pair.Direct, true
		q.why.Pairs = append(q.why.Pairs, nomination)
	}
	return ok
}

// fence says until when a go may begin, in the time of the engine's own life: not
// past the permit that it was decided under, nor the request's expiry. A report's
// age only runs behind the engine's own count, so the moment is never too late,
// however long this process is stopped before the go is sent (section 5.9).
func (q *request) fence(s pairing.Server) engine.NotAfter {
	left := min(q.inForce.Until(), q.ledger.Expiry) - q.nominated
	return engine.NotAfter{Boot: s.Load.Boot, MS: max((s.Age + left).Milliseconds(), 0)}
}
