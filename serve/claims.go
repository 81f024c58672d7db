package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"linedrum.example/linedrum/ledger"
	"linedrum.example/linedrum/once"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/verdict"
)

// keyed is a once-only request's key and claim.
type keyed struct {
	onceKey string
	claim   once.Claim
	base    uint64 // serial of our claim's cell
}

// claimPatience is that of one write to a once-only key: long enough for the
// key's owner to be found dead and the next one asked.
func (q *request) claimPatience() time.Duration { return 2 * q.s.settings.Bounds.InForce.D() }

// CheckKey says what is wrong with a once-only key as the caller gave it: empty is no
// key. A face asks before anything else of a request can fail: from then on not-run is
// said only if the key is shown to be free (section 5.7). What rests on the windows in
// force is left to Serve where there is no lease, so that a repeat is read whole first
// and hears what its key's register has kept.
func (s *Server) CheckKey(text string) *Refusal {
	inForce, held := s.fleet.InForce()
	if refusal := malformedKey(text, inForce); refusal != nil || !held {
		return refusal
	}
	return s.windowOf(text, inForce)
}

// checkKey is CheckKey for a request that was read whole.
func (s *Server) checkKey(text string) *Refusal {
	inForce, held := s.fleet.InForce()
	if refusal := malformedKey(text, inForce); refusal != nil || text == "" {
		return refusal
	}
	if !held {
		return s.noLease()
	}
	return s.windowOf(text, inForce)
}

// malformedKey is the refusal of a key of a form under which nothing was ever taken, so
// that it is not-run.
func malformedKey(text string, inForce InForce) *Refusal {
	if len(text) > longestKey {
		return BadKey()
	}
	if _, ok := once.Window(text); ok || text == "" {
		return nil
	}
	return Malformed(Bad(http.StatusBadRequest, "bad-header", FieldKey,
		"a key begins with the window that it was made in: make it anew as %q and keep it for all repeats (GET /linedrum/window names the window)",
		fmt.Sprintf("%d.YOUR-OWN-ID", max(inForce.Value().Windows.Open, 1))))
}

// windowOf refuses a key of a window that is not open, or was forgotten.
func (s *Server) windowOf(text string, inForce InForce) *Refusal {
	windows := inForce.Value().Windows
	window, ok := once.Window(text)
	switch {
	case !ok: // there is no key
		return nil
	case window < windows.Floor:
		return settled(passed())
	case windows.Open == 0:
		return ComeBack("no-window", "no window for once-only keys is open yet", time.Second)
	case window > windows.Open:
		return Under(inForce, s.ComeBackAfter(), Bad(http.StatusBadRequest, "bad-header", FieldKey,
			"window %d has not been opened; %d is open (GET /linedrum/window)", window, windows.Open))
	}
	return nil
}

const longestKey = 255 // bytes

// BadKey is the fault of a key of a length that is never taken.
func BadKey() *Refusal {
	return Malformed(Bad(http.StatusBadRequest, "bad-header", FieldKey, "a key has 1 to %d bytes", longestKey))
}

// takeKey makes a request with a key of the right form a once-only one.
func (q *request) takeKey() {
	window, ok := once.Window(q.ask.OnceKey)
	if !ok || len(q.ask.OnceKey) > longestKey {
		return
	}
	q.ledger.Once = true
	q.onceKey = once.Key(window, q.ask.OnceKey)
	q.claim = once.Claim{Claim: q.fleet.OpID(), Request: q.ask.ID, Body: q.ask.Digest}
}

// passed is the reply to a key whose window was forgotten: it may have run, and
// nobody will ever run it again (section 3.7).
func passed() *verdict.Error {
	return &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusConflict, Code: "key-passed", Field: FieldKey,
		Reason: "the window of this key was closed long ago and what became of the key is forgotten; it is not run again"}
}

// takeClaim claims the key on a majority before any engine is touched (section
// 5.7). A nil fault with a reply set means that an earlier request's reply was kept.
func (q *request) takeClaim() *verdict.Error {
	ctx, cancel := q.expiryContext()
	defer cancel()
	q.claim.State = once.Claimed
	base := uint64(0)
	for {
		r := q.fleet.Do(ctx, register.Request{
			Key: q.onceKey, Base: base, Op: q.claim.Claim, Value: q.claim.Encode(), Patience: q.claimPatience(),
		})
		if r.Outcome == register.Done {
			q.ledger.Claim, q.base = ledger.ClaimMine, r.Cell.Serial
			return nil
		}
		if r.Outcome == register.Passed {
			q.ledger.Claim = ledger.ClaimTaken
			return passed()
		}
		if r.Outcome != register.Conflict {
			q.ledger.Claim = ledger.ClaimUnknown
			q.abandon()
			return q.unclear("claim-unknown", "the key could not be claimed on a majority of the disks; this call reached no engine, an earlier one with this key may have: repeat it with the same key")
		}
		held, err := once.Decode(r.Cell)
		if err != nil {
			return q.unclear("claim-unreadable", "the key's record cannot be read")
		}
		if held.State == once.Released && r.Cell.Serial != base {
			base = r.Cell.Serial
			continue
		}
		return q.repeated(held)
	}
}

// turnAway ends a request that no engine was touched for. Not-run is said of a
// key only when a majority of the disks shows that it is free (section 5.7);
// whatever this request's own fault is, one whose key ran hears what became of it.
func (q *request) turnAway(refusal *Refusal) {
	fault := refusal.fault
	if !q.ledger.Once || fault.Verdict != verdict.NotRun {
		q.failed(refusal)
		return
	}
	ctx, cancel := q.expiryContext()
	defer cancel()
	cell, ok := q.fleet.Look(ctx, q.onceKey, q.claimPatience())
	held, err := once.Decode(cell)
	switch {
	case !ok || err != nil:
		fault.Verdict = verdict.MayHaveRun
		fault.Reason += "; this call reached no engine, an earlier one with this key may have"
	case held.State == once.Released:
		q.failed(refusal) // its key is free, so it is told what it would be without one
		return
	case q.claim.Body == "":
		// What it asks could not be read, so it cannot be told from another request.
		fault.Verdict, fault.RetryAfter = held.Verdict(), 0
		fault.Reason += "; an earlier request with this key was taken"
	default:
		fault = q.repeated(held)
	}
	if fault == nil {
		q.finish()
		return
	}
	q.failed(settled(fault))
}

// unclear is the failure of a keyed request of which this node cannot say that
// its key never ran.
func (q *request) unclear(code, reason string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusServiceUnavailable, Code: code, Reason: reason, RetryAfter: time.Second}
}

// repeated answers a request whose key another one holds.
func (q *request) repeated(held once.Claim) *verdict.Error {
	q.ledger.Claim = ledger.ClaimTaken
	if held.Body != q.claim.Body {
		return &verdict.Error{Verdict: held.Verdict(), Status: http.StatusUnprocessableEntity, Code: "key-reused", Field: FieldKey,
			Reason: "this key belongs to request " + held.Request + ", which asked something else; the verdict is that request's"}
	}
	switch {
	case held.State == once.Done && len(held.Reply) > 0:
		q.reply = held.Reply
		q.head = Head{Status: http.StatusOK, Repeat: held.Request}
		return nil
	case held.State == once.Done:
		return &verdict.Error{Verdict: verdict.Ran, Status: http.StatusConflict, Code: "ran-before",
			Reason: "the request ran as " + held.Request + "; its reply was too long to keep"}
	case held.State == once.Claimed:
		return &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusConflict, Code: "in-progress", RetryAfter: time.Second,
			Reason: "the request was taken as " + held.Request + " and has not ended"}
	}
	return &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusConflict, Code: "ran-before",
		Reason: "the request may have run as " + held.Request + " and is not run again"}
}

// settleClaim leaves the key as the request's end demands: free again when it
// proved not to have run, closed for good when it may have.
func (q *request) settleClaim(v verdict.Verdict) {
	if !q.ledger.Once || q.ledger.Claim != ledger.ClaimMine {
		return
	}
	if v == verdict.NotRun {
		q.record(once.Released)
		return
	}
	q.record(once.Unclear)
}

// record writes the end of a claim of ours. If that fails the key stays claimed:
// a repeat hears may-have-run, and nobody runs it again.
func (q *request) record(state string) {
	if !q.ledger.Once || q.ledger.Claim != ledger.ClaimMine {
		return
	}
	q.claim.State = state
	if state == once.Done && len(q.reply) <= q.s.settings.Limits.Recall && json.Valid(q.reply) {
		q.claim.Reply = q.reply
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(q.ctx), q.claimPatience())
	defer cancel()
	q.fleet.Do(ctx, register.Request{
		Key: q.onceKey, Base: q.base, Op: q.fleet.OpID(), Value: q.claim.Encode(), Patience: q.claimPatience(),
	})
}

// abandon frees a key whose claim had an unknown outcome, in the background:
// nothing was sent under it. Where the claim does not stand yet it may still be on
// its way, so the free key is written anew: then the late claim loses.
func (q *request) abandon() {
	claim, key, patience, fleet := q.claim, q.onceKey, q.claimPatience(), q.fleet
	op := fleet.OpID()
	fleet.Background(func(ctx context.Context) {
		for range 8 {
			r := fleet.Do(ctx, register.Request{Key: key, Read: true, Patience: patience})
			if r.Outcome == register.Passed {
				return
			}
			if r.Outcome != register.Done {
				continue
			}
			held, err := once.Decode(r.Cell)
			mine := held.Claim == claim.Claim && held.State == once.Claimed
			if err != nil || !mine && held.State != once.Released || r.Cell.Op == op {
				return
			}
			free := once.Claim{State: once.Released, Claim: claim.Claim, Request: claim.Request, Body: claim.Body}
			if fleet.Do(ctx, register.Request{Key: key, Base: r.Cell.Serial, Op: op, Value: free.Encode(), Patience: patience}).Outcome == register.Done {
				return
			}
		}
	})
}
