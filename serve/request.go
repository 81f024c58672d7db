package serve

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"

	"linedrum.example/linedrum/desk"
	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/explain"
	"linedrum.example/linedrum/ledger"
	"linedrum.example/linedrum/once"
	"linedrum.example/linedrum/verdict"
)

// request is one caller's request on its way through the node. Each part owns
// what it names: governed the desk, keyed the once-only key (claims.go), paired the
// engines (pair.go), replied what the caller gets, and the ledger what has been tried.
type request struct {
	s       *Server
	fleet   Fleet
	engines Engines
	ask     *Ask
	caller  Caller
	ctx     context.Context
	arrived time.Duration
	ledger  ledger.Ledger
	governed
	keyed
	paired
	replied
	inForce InForce // of the last look that had a lease
	decided engine.Decided
	repeats int
	spent   bool           // the budget was found empty at the moment of a repeat
	stopped bool           // the planned stop of this node ends its time
	why     explain.Record // for whoever asks why it went where it went
}

// governed is the desk that a request is under.
type governed struct {
	desk   desk.Desk
	kind   desk.Kind
	pool   string
	out    int    // most tokens to be put out
	serial uint64 // of the desk file
	plain  bool   // the pool's engines take requests whole
}

func (s *Server) request(ask *Ask, caller Caller) *request {
	q := &request{
		s: s, fleet: s.fleet, engines: s.engines, ask: ask, caller: caller, ctx: caller.Context(), arrived: s.clock.Now(),
	}
	q.ledger.Expiry = q.arrived + q.claimPatience() // until its kind is known
	return q
}

// Serve serves one request that was read whole; it returns when the caller has got
// its reply.
func (s *Server) Serve(ask *Ask, caller Caller) {
	q := s.request(ask, caller)
	q.takeKey()
	refusal := s.late()
	if refusal == nil {
		refusal = s.checkKey(ask.OnceKey)
	}
	if refusal == nil {
		refusal = q.read()
	}
	if refusal != nil {
		q.turnAway(refusal)
		return
	}
	q.run()
}

// Refuse ends a request that its face could not read, or not whole. Of a keyed one
// not-run is said only where its key is shown to be free (section 5.7).
func (s *Server) Refuse(ask *Ask, caller Caller, refusal *Refusal) {
	q := s.request(ask, caller)
	q.takeKey()
	q.turnAway(refusal)
}

// run takes moves until the request has its reply (section 5.1).
func (q *request) run() {
	defer q.free()
	defer q.release()
	q.fleet.Real(q.arrived)
	for {
		view := q.look()
		move := q.ledger.Next(view)
		q.noteMove(view, move)
		switch move.Step {
		case ledger.StepClaim:
			if full, comeBack := q.s.gate.Full(q.line(), q.kind.Queue, q.ledger.Expiry-q.s.clock.Now()); full {
				q.turnAway(settled(queueFull(comeBack)))
				return
			}
			if fault := q.takeClaim(); fault != nil {
				q.failed(settled(fault))
				return
			}
			if q.reply != nil { // recorded by an earlier request of the same key
				q.finish()
				return
			}
		case ledger.StepWait:
			if fault := q.await(move); fault != nil {
				q.settleClaim(fault.Verdict)
				q.failed(q.refusal(fault))
				return
			}
		case ledger.StepPrefill, ledger.StepDecode:
			if !q.turn(move.Step) {
				continue
			}
			if move.Repeat && !q.spend() {
				// Another request took the last of the budget since the look.
				q.spent = true
				continue
			}
			if move.Step == ledger.StepPrefill {
				q.prefill()
			} else {
				q.decode(q.memory)
			}
		case ledger.StepFinish:
			q.release()
			q.record(once.Done)
			q.finish()
			return
		case ledger.StepBreak:
			q.broken()
			return
		case ledger.StepFail:
			q.release()
			fault := q.fault(move)
			if q.ledger.Once && q.ledger.Claim == ledger.ClaimNone {
				q.turnAway(q.refusal(fault))
				return
			}
			q.settleClaim(fault.Verdict)
			q.failed(q.refusal(fault))
			return
		}
	}
}

// turn takes the next go's turn at its engine. A cold engine may have none, since goes
// wait for the read after their writer was nominated: another writer is looked for.
func (q *request) turn(step ledger.Step) bool {
	name := q.pair.Writer.Name
	if step == ledger.StepPrefill {
		name = q.pair.Reader.Name
	}
	if q.engines.Turn(q.pool, name, q.s.clock.Now()) {
		return true
	}
	q.release()
	return false
}

// spend takes one repeated go out of the budget, if there is one left.
func (q *request) spend() bool {
	if !q.fleet.Spend() {
		return false
	}
	q.repeats++
	q.s.log.Say(event.GoRepeated, event.Fields{"request": q.ask.ID, "goes": len(q.ledger.Goes)})
	return true
}

// noteMove keeps a decision for explaining; a long wait is kept once.
func (q *request) noteMove(view ledger.View, move ledger.Move) {
	m := explain.Move{Goes: len(q.ledger.Goes), Claim: q.ledger.Claim, FirstByte: q.ledger.FirstByte, Terms: explain.TermsOf(&q.ledger), View: view, Move: move}
	if n := len(q.why.Moves); n > 0 && q.why.Moves[n-1].Move == move && move.Step == ledger.StepWait {
		q.why.Moves[n-1] = m
		return
	}
	q.why.Moves = append(q.why.Moves, m)
}

// look is the ledger's view of the world now.
func (q *request) look() ledger.View {
	q.bound()
	now := q.s.clock.Now()
	v := ledger.View{Now: now, Budget: !q.spent && q.fleet.May()}
	if inForce, held := q.fleet.InForce(); held {
		v.Permit = true
		q.inForce = inForce
		picture := inForce.Value()
		q.follow(picture)
		q.decided = engine.Decided{
			Node: q.s.settings.Listen, Desk: picture.DeskSerial, File: picture.DeskDigest, Engines: picture.Engines.Serial, Sites: picture.SiteSerial,
		}
	}
	v.Left = q.deaf || q.ctx.Err() != nil && !(q.ledger.Once && len(q.ledger.Goes) > 0)
	// What was nominated must still be allowed by what is in force now.
	v.Direct = q.writing && q.memory == nil && q.pair.Direct
	v.Capacity = q.writing && q.engines.Usable(q.pool, q.pair.Writer.Name, engine.Decode) &&
		(q.memory != nil || v.Direct || q.reading && q.engines.Usable(q.pool, q.pair.Reader.Name, engine.Prefill))
	if !v.Capacity {
		v.Direct = false
		q.release()
	}
	return v
}

// expiryContext ends with the request's time, also where a planned stop that begins
// meanwhile ends it earlier, and when the caller has gone.
func (q *request) expiryContext() (context.Context, context.CancelFunc) {
	base := q.ctx
	if q.ledger.Once && len(q.ledger.Goes) > 0 {
		// A once-only request that has begun is finished for its key's sake, even
		// when this caller has gone (section 5.7).
		base = context.WithoutCancel(base)
	}
	ctx, cancel := context.WithTimeout(base, q.ledger.Expiry-q.s.clock.Now())
	forget := context.AfterFunc(q.s.givenUp, cancel)
	return ctx, func() {
		forget()
		cancel()
	}
}

// Names of what is at fault in a request, as callers of the project's own interface
// know them.
const (
	FieldKey    = "Idempotency-Key"
	FieldKind   = "X-Linedrum-Kind"
	fieldModel  = "model"
	fieldStream = "stream"
	fieldOut    = "max_tokens"
)

// defaultOut is how many tokens are put out where nobody says.
const defaultOut = 16

// read checks a request against the desk file in force. Without a lease nothing is known
// of that, and the request is told to come back at once.
func (q *request) read() *Refusal {
	inForce, held := q.fleet.InForce()
	if !held {
		return q.s.noLease()
	}
	q.inForce = inForce
	picture := inForce.Value()
	if picture.Desk == nil {
		return ComeBack("no-desk-file", "no desk file is in force", 2*time.Second)
	}
	d, k, err := picture.Desk.Match(q.ask.Facts)
	if errors.Is(err, desk.ErrRule) {
		return ComeBack("rule-failed", "a rule of the desk file failed", 2*time.Second)
	}
	if err != nil {
		field, status := FieldKind, http.StatusBadRequest
		if d.Name == "" {
			field, status = fieldModel, http.StatusNotFound
		}
		return Under(inForce, q.s.ComeBackAfter(), Bad(status, "unknown-desk", field, "%s", err))
	}
	q.govern(picture, d, k)
	q.out = q.ask.Out
	if fault := q.allowed(k); fault != nil {
		return Under(inForce, q.s.ComeBackAfter(), fault)
	}
	if q.out == 0 {
		q.out = min(defaultOut, k.MaxTokens)
	}
	patience := k.Expiry.D()
	if q.ask.Patience > 0 {
		patience = min(patience, q.ask.Patience)
	}
	q.ledger.Expiry = q.s.clock.Now() + patience
	q.why.Serials = explain.Serials{Desk: picture.DeskSerial, Engines: picture.Engines.Serial, Sites: picture.SiteSerial, Roles: picture.Roles[d.Pool].Fence}
	return nil
}

// govern puts the request under a desk of the file in force.
func (q *request) govern(p Picture, d desk.Desk, k desk.Kind) {
	q.desk, q.kind, q.pool = d, k, d.Pool
	pool, _ := p.Desk.Pool(d.Pool)
	q.plain, q.ledger.Whole = pool.Plain, pool.Plain
	q.serial = p.DeskSerial
	q.ledger.Changing, q.ledger.Resume, q.ledger.Most = k.Changing, k.Resume, k.Goes
	q.ledger.PureRead, q.ledger.TakenOnce, q.ledger.MayDirect = q.s.manner.PureRead, q.s.manner.TakenOnce, q.s.manner.MayDirect
	if d.Host != "" {
		// Who is chosen by where it was sent gets its reply as the kind has it.
		q.ask.Stream = k.Streams
	}
}

// allowed tells whether a kind takes what was asked.
func (q *request) allowed(k desk.Kind) *verdict.Error {
	switch {
	case q.ask.Stream && !k.Streams:
		return Bad(http.StatusBadRequest, "bad-field", fieldStream, "this kind of caller gets whole replies only")
	case q.ask.Stream && q.ledger.Once:
		return Bad(http.StatusBadRequest, "bad-field", fieldStream, "a once-only request cannot stream")
	case q.out > k.MaxTokens:
		return Bad(http.StatusBadRequest, "bad-field", fieldOut, "this kind of caller may ask for %d at most", k.MaxTokens)
	case !q.ledger.Once && k.Once == desk.OnceRequired:
		return Bad(http.StatusBadRequest, "bad-header", FieldKey, "this kind of caller is once-only and needs a key")
	case q.ledger.Once && k.Once == desk.OnceNever:
		return Bad(http.StatusBadRequest, "bad-header", FieldKey, "this kind of caller is not once-only, so a key would not be kept")
	}
	return nil
}

// follow puts a request that no engine has begun under the newest desk file: one
// that waits in a queue must not go where the file of some seconds ago sent it.
// Where the new file has no place for it any more it keeps its old one, since what
// was read whole is not dropped by an edit (section 4.3).
func (q *request) follow(p Picture) {
	if p.DeskSerial == q.serial || p.Desk == nil || q.memory != nil || q.began || q.ledger.Verdict() != verdict.NotRun {
		return
	}
	q.serial = p.DeskSerial
	d, k, err := p.Desk.Match(q.ask.Facts)
	if err != nil || q.allowed(k) != nil {
		return
	}
	if d.Pool != q.pool {
		q.release()
	}
	q.govern(p, d, k)
}

// Bad is the fault of a request that nobody could serve as it stands.
func Bad(status int, code, field, format string, args ...any) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Status: status, Code: code, Field: field, Reason: fmt.Sprintf(format, args...)}
}
