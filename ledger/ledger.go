// Package ledger is the record of one request's goes, and the pure function that
// derives the next move from it (design.md section 5.1).
package ledger

import (
	"time"

	"linedrum.example/linedrum/verdict"
)

// Phase of a go.
type Phase uint8

// The two phases.
const (
	Prefill Phase = iota + 1
	Decode
)

// String names a phase.
func (p Phase) String() string { return [...]string{"", "prefill", "decode"}[p%3] }

// Go is one call to an engine and what is known of it.
type Go struct {
	Phase   Phase           `json:"-"`
	Name    string          `json:"phase"`
	Server  string          `json:"server"`
	Verdict verdict.Verdict `json:"-"`
	Word    string          `json:"verdict"`
	Code    string          `json:"code,omitempty"`
	Began   time.Duration   `json:"began"`
	Ended   time.Duration   `json:"ended"`
}

// Claim is the state of a once-only key.
type Claim uint8

// States of the claim.
const (
	ClaimNone    Claim = iota // not asked for yet
	ClaimMine                 // a majority holds it for this request
	ClaimUnknown              // the outcome is not known: nothing may be sent
	ClaimTaken                // another request holds it
)

// Ledger is everything the next move rests on.
type Ledger struct {
	Once      bool
	Expiry    time.Duration // boot time
	Claim     Claim
	Goes      []Go
	FirstByte bool // a byte of the reply reached the caller

	Changing bool // it may run once at most, though no key is claimed for it
	Most     int  // engines that it may be sent to, as Counted counts; 0: MaxGoes of any kind
	Resume   bool // a stream that broke may go on at another engine

	// PureRead: a prefill neither runs the request nor begins it.
	PureRead bool
	// TakenOnce: memory is gone once a writer may have fetched it.
	TakenOnce bool
	// MayDirect: writers read prompts by themselves where need be.
	MayDirect bool
	// Whole: engines take the request whole, so that there is no prefill.
	Whole bool
}

// View is the world outside the ledger at one instant.
type View struct {
	Now        time.Duration
	Permit     bool
	PermitSoon bool // of records of earlier releases, which waited a moment for a permit
	Budget     bool // a repeated go is within the fleet's budget
	Left       bool // the consumer has gone
	Capacity   bool // an engine of the phase that comes next can take a go
	Direct     bool // the engine nominated reads the prompt itself, and writes
}

// Step is what to do next.
type Step uint8

// Steps.
const (
	StepClaim Step = iota + 1
	StepPrefill
	StepDecode
	StepWait
	StepFinish
	StepFail
	StepBreak
)

// Move is the step, and for a failure its code and verdict.
type Move struct {
	Step    Step
	Repeat  bool // this go counts against the retry budget
	Verdict verdict.Verdict
	Code    string
}

// Codes of failures that the ledger itself decides.
const (
	CodeExpired = "expired"
	CodePermit  = "no-permit"
	CodeBudget  = "retry-budget"
	CodeClaim   = "claim-unknown"
	CodeLeft    = "consumer-left"
	CodeGoes    = "too-many-goes"
	CodeRan     = "ran"
	CodeMayRun  = "may-have-run"
)

// MaxGoes bounds the goes of one request, where nothing else does.
const MaxGoes = 6

// CodeUnreached is a go of which nothing was written to the engine.
const CodeUnreached = "engine-unreachable"

// counted is how many goes an operator or the retry budget counts: all but the first
// prefill that an engine took up. Those turned away count.
func counted(goes []Go) int {
	n, free := 0, false
	for _, g := range goes {
		if g.Phase == Prefill && g.Verdict != verdict.NotRun && !free {
			free = true
			continue
		}
		n++
	}
	return n
}

// Counted is how many engines the request was sent to, against Most. What never
// reached an engine does not count.
func (l *Ledger) Counted() int {
	n := counted(l.Goes)
	for _, g := range l.Goes {
		if g.Verdict == verdict.NotRun && (g.Code == CodeUnreached || g.Code == CodePermit) {
			n--
		}
	}
	return n
}

// room tells whether Most allows the step, and the decode that has to follow a prefill.
func (l *Ledger) room(step Step) bool {
	if l.Most == 0 {
		return len(l.Goes) < MaxGoes
	}
	need := 1
	if step == StepPrefill && l.took(Prefill) {
		need = 2 // only the first one taken up is free
	}
	return l.Counted()+need <= l.Most && len(l.Goes) < max(MaxGoes, 2*l.Most)
}

// took tells whether an engine may have taken up a go of the phase.
func (l *Ledger) took(phase Phase) bool {
	for _, g := range l.Goes {
		if g.Phase == phase && g.Verdict != verdict.NotRun {
			return true
		}
	}
	return false
}

// DirectOnly tells that no prefill can come any more: a writer has to read.
func (l *Ledger) DirectOnly() bool {
	return !l.Whole && !l.Holds() && (!l.room(StepPrefill) || l.count(Decode, CodeLapsed) > 1)
}

// repeats tells whether one more go of the phase is beyond what the request itself
// is owed. The sum of repeats is never less than the arrivals beyond the first.
func repeats(goes []Go, phase Phase) bool {
	n, charged := counted(goes), 0
	if phase == Prefill {
		for _, g := range goes {
			if g.Phase == Prefill {
				return true
			}
		}
		return n > 0 // it may be turned away, and counts then
	}
	for i, g := range goes {
		if repeats(goes[:i], g.Phase) {
			charged++
		}
	}
	return n > charged
}

// Verdict sums the goes up: not-run only if every one of them proved it.
func (l *Ledger) Verdict() verdict.Verdict {
	out := verdict.NotRun
	for _, g := range l.Goes {
		switch {
		case g.Phase == Prefill && l.PureRead:
		case g.Verdict == verdict.Ran && g.Phase == Decode:
			return verdict.Ran
		case g.Verdict != verdict.NotRun:
			out = verdict.MayHaveRun
		}
	}
	return out
}

// last is the newest go, nil without one.
func (l *Ledger) last() *Go {
	if len(l.Goes) == 0 {
		return nil
	}
	return &l.Goes[len(l.Goes)-1]
}

// Holds tells whether a prefill ran whose memory still lies at its reader.
func (l *Ledger) Holds() bool {
	ok := false
	for _, g := range l.Goes {
		switch {
		case g.Phase == Prefill && g.Verdict == verdict.Ran:
			ok = true
		case g.Phase == Decode && (g.Code == CodeLapsed || l.TakenOnce && g.Verdict != verdict.NotRun):
			ok = false
		}
	}
	return ok
}

// CodeLapsed is a decode go refused because the memory handed over is gone.
const CodeLapsed = "memory-lapsed"

func (l *Ledger) count(phase Phase, code string) int {
	n := 0
	for _, g := range l.Goes {
		if g.Phase == phase && (code == "" || g.Code == code) {
			n++
		}
	}
	return n
}

// Next derives the next move. It is pure: the same ledger and view give the same move.
func (l *Ledger) Next(v View) Move {
	last := l.last()
	if last != nil && last.Phase == Decode && last.Verdict == verdict.Ran {
		return Move{Step: StepFinish, Verdict: verdict.Ran}
	}
	if l.FirstByte && (!l.Resume || l.Once || l.Changing) {
		// Nothing replaces a stream that has begun (the never-list's spliced replies).
		return Move{Step: StepBreak, Verdict: verdict.MayHaveRun, Code: CodeMayRun}
	}
	fail := func(code string) Move {
		if l.FirstByte {
			return Move{Step: StepBreak, Verdict: verdict.MayHaveRun, Code: code}
		}
		return Move{Step: StepFail, Verdict: l.Verdict(), Code: code}
	}
	switch {
	case v.Left:
		return fail(CodeLeft)
	case last != nil && last.Verdict == verdict.MayHaveRun && l.Once,
		last != nil && last.Verdict == verdict.MayHaveRun && l.Changing && (last.Phase == Decode || !l.PureRead):
		return fail(CodeMayRun)
	case l.Claim == ClaimUnknown || l.Claim == ClaimTaken:
		return fail(CodeClaim)
	case v.Now >= l.Expiry:
		return fail(CodeExpired)
	case !l.room(StepDecode):
		return fail(CodeGoes)
	}
	if last != nil && last.Verdict == verdict.NotRun && last.Code == CodeInput {
		return fail(CodeInput)
	}
	if !v.Permit {
		if l.Verdict() == verdict.NotRun && !v.PermitSoon {
			return fail(CodePermit)
		}
		return Move{Step: StepWait, Code: CodePermit}
	}
	if l.Once && l.Claim == ClaimNone {
		return Move{Step: StepClaim}
	}
	move := Move{Step: StepPrefill}
	if l.Whole || l.Holds() || v.Direct {
		move.Step = StepDecode
	}
	if move.Step == StepPrefill && l.DirectOnly() {
		switch {
		case l.MayDirect && !v.Capacity:
			return Move{Step: StepWait, Code: "no-capacity"}
		case l.count(Decode, CodeLapsed) > 1:
			return fail(CodeLapsed)
		default:
			return fail(CodeGoes)
		}
	}
	phase := Prefill
	if move.Step == StepDecode {
		phase = Decode
	}
	move.Repeat = repeats(l.Goes, phase)
	if move.Repeat && !v.Budget {
		return fail(CodeBudget)
	}
	if !v.Capacity {
		return Move{Step: StepWait, Code: "no-capacity"}
	}
	return move
}

// CodeInput is an engine's refusal of what the caller asked: another engine would refuse it too.
const CodeInput = "engine-refused-input"
