package serve

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/explain"
	"linedrum.example/linedrum/ledger"
	"linedrum.example/linedrum/verdict"
)

// replied is what the caller gets, and has got.
type replied struct {
	head  Head
	reply []byte // a whole reply; nil: none yet, or it was passed on as it came
	began bool   // the head was given
	last  string // id of the last piece passed on that had one
	blank bool   // the last piece passed on had none
	deaf  bool   // the caller takes nothing more
}

// take takes an engine's reply in: a stream is passed on as it comes, anything else
// is given only when it is whole, so that another engine can still replace it.
func (q *request) take(reply Reply) error {
	defer reply.Pieces.Close()
	if q.began && reply.Head.Status != q.head.Status {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Code: engine.CodeBad, Reason: "an engine does not take the stream up"}
	}
	var whole bytes.Buffer
	for {
		piece, err := reply.Pieces.Next()
		if errors.Is(err, io.EOF) {
			if !q.began {
				q.head, q.reply = reply.Head, whole.Bytes()
			}
			return nil
		}
		if err != nil {
			// What bears no id cannot be gone on after.
			q.ledger.Resume = q.ledger.Resume && !q.blank
			return err
		}
		if !q.ask.Stream && !q.began {
			held := q.holds(whole.Len(), len(piece.Bytes))
			whole.Write(piece.Bytes)
			if held {
				continue
			}
			if q.ledger.Once {
				return &verdict.Error{Verdict: verdict.Ran, Code: engine.CodeBad, Reason: "the engine's reply is too long"}
			}
			// Too long to be kept: from here on it is passed on as it comes.
			piece.Bytes = whole.Bytes()
		}
		if err := q.pass(reply.Head, piece); err != nil {
			return err
		}
	}
}

// heldTwice is what a byte of a reply costs until the reply is whole: its buffer grows by halves
// at least, and is copied when it does.
const heldTwice = 2

// holds tells whether a reply that has so many bytes may be held with more of them until it is
// whole. What a once-only request's record may take is held in any case.
func (q *request) holds(had, more int) bool {
	limits := q.s.settings.Limits
	if had+more > limits.Body {
		return false
	}
	return q.caller.Hold(int64(heldTwice*more)) || q.ledger.Once && had+more <= limits.Recall
}

// pass gives the caller one piece. Until the first one the go can still fail like any
// other; after it only a kind that may be resumed goes on, with what comes after it.
func (q *request) pass(head Head, piece Piece) error {
	if q.last != "" && piece.ID != "" && !above(piece.ID, q.last) {
		q.ledger.Resume = false
		return &verdict.Error{Verdict: verdict.MayHaveRun, Code: engine.CodeBad, Reason: "an engine sent a piece of the stream again"}
	}
	if !q.began {
		q.began, q.ledger.FirstByte, q.head = true, true, head
		if err := q.caller.Begin(head); err != nil {
			q.deaf = true
			return errors.Trace(err)
		}
	}
	if err := q.caller.Piece(piece.Bytes); err != nil {
		q.deaf = true
		return errors.Trace(err)
	}
	q.blank = piece.ID == ""
	if !q.blank {
		q.last = piece.ID
	}
	return nil
}

// above compares ids of pieces: numbers by value, others as texts.
func above(id, last string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	if errA == nil && errB == nil {
		return a > b
	}
	return id > last
}

// broken ends a reply that cannot be finished so that nobody takes it for whole.
func (q *request) broken() {
	fault := &verdict.Error{Verdict: verdict.MayHaveRun, Code: "stream-broken", Reason: "the stream broke before its end"}
	q.caller.Break(fault)
	q.s.log.Say(event.StreamCut, event.Fields{"request": q.ask.ID, "writer": q.pair.Writer.Name})
	q.ended(fault)
}

// finish gives the caller what it has not got yet. One who has gone by now is told
// nothing, and the request counts as done all the same.
func (q *request) finish() {
	err := error(nil)
	if !q.began {
		if !q.ask.Stream {
			q.head.Length = int64(len(q.reply))
		}
		if err = q.caller.Begin(q.head); err == nil && len(q.reply) > 0 {
			err = q.caller.Piece(q.reply)
		}
	}
	if err == nil {
		_ = q.caller.End()
	} else {
		q.caller.Break(&verdict.Error{Verdict: verdict.Ran, Code: ledger.CodeLeft, Reason: "the caller left", Cause: err})
	}
	q.ended(nil)
}

// fault words the ledger's failure for the caller.
func (q *request) fault(m ledger.Move) *verdict.Error {
	e := &verdict.Error{Verdict: m.Verdict, Code: m.Code, Status: http.StatusServiceUnavailable, RetryAfter: time.Second}
	switch m.Code {
	case ledger.CodePermit:
		return q.s.noLease().fault
	case ledger.CodeExpired:
		e.Status, e.Reason = http.StatusGatewayTimeout, "the request's time is over"
		if m.Verdict == verdict.NotRun {
			e.Status, e.Reason = http.StatusServiceUnavailable, "no engine came free within the request's time"
		}
		if q.stopped {
			stoppedFault(e)
		}
	case ledger.CodeBudget:
		e.Reason = "an engine failed, and the fleet's budget for repeated goes is spent"
	case ledger.CodeInput:
		e.Status, e.Reason, e.RetryAfter = http.StatusBadRequest, "the engine refused the request's input", 0
	case ledger.CodeLeft:
		e.Status, e.Reason = 499, "the caller left"
	case ledger.CodeMayRun:
		e.Reason = "an engine failed in the middle of a request that is run once only; it is not run again"
		if q.ledger.Once {
			e.Reason = "an engine failed in the middle of a once-only request; it is not run again"
		}
	case ledger.CodeLapsed:
		e.Reason = "the prompt's memory lapsed twice"
	default:
		e.Reason = "no engine finished the request"
	}
	if e.Verdict != verdict.NotRun {
		if e.Status == http.StatusServiceUnavailable {
			e.Status = http.StatusBadGateway
		}
		e.RetryAfter = 0
	}
	return e
}

func (q *request) failed(refusal *Refusal) {
	q.ended(q.caller.Fail(refusal))
}

// ended tells the process's other parts; it is the last thing a request does.
func (q *request) ended(fault *verdict.Error) {
	e := Ended{
		Request: q.ask.ID, Desk: q.desk.Name, Kind: q.kind.Name, Status: http.StatusOK, Verdict: verdict.Ran.String(),
		Goes: len(q.ledger.Goes), Repeats: q.repeats, Reader: q.pair.Reader.Name, Writer: q.pair.Writer.Name,
	}
	if q.head.Status > 0 {
		e.Status = q.head.Status
	}
	number := event.RequestDone
	if fault != nil {
		e.Status, e.Verdict, e.Code = fault.Status, fault.Verdict.String(), fault.Code
		// What callers got wrong is no failure of ours.
		if fault.Status >= 500 && fault.Verdict != verdict.NotRun {
			number = event.RequestFailed
		}
	}
	q.s.log.Say(number, event.Fields{"request": q.ask.ID, "desk": e.Desk, "status": e.Status, "verdict": e.Verdict, "code": e.Code, "goes": e.Goes})
	q.fleet.Ended(e)
	q.why.Form, q.why.Request, q.why.Node, q.why.Desk, q.why.Kind, q.why.Pool = explain.Form, q.ask.ID, q.s.settings.Listen, e.Desk, e.Kind, q.pool
	q.why.Once, q.why.Stream, q.why.Repeat = q.ledger.Once, q.ask.Stream, q.ledger.Claim == ledger.ClaimTaken && fault == nil
	q.why.Arrived, q.why.Expiry, q.why.Ended, q.why.Goes = q.arrived, q.ledger.Expiry, q.s.clock.Now(), q.ledger.Goes
	q.why.Status, q.why.Verdict, q.why.Code = e.Status, e.Verdict, e.Code
	q.s.book.Add(q.why)
}
