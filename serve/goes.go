package serve

import (
	"time"

	"github.com/juju/errors"

	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/ledger"
	"linedrum.example/linedrum/pairing"
	"linedrum.example/linedrum/verdict"
)

// begin notes a go in the ledger; its verdict is may-have-run until it is known.
func (q *request) begin(phase ledger.Phase, server string) *ledger.Go {
	now := q.s.clock.Now()
	q.ledger.Goes = append(q.ledger.Goes, ledger.Go{
		Phase: phase, Name: phase.String(), Server: server, Verdict: verdict.MayHaveRun, Began: now,
	})
	return &q.ledger.Goes[len(q.ledger.Goes)-1]
}

// end notes how a go ended. In the ledger, ran is a reply that came whole: an engine
// that ran the request and failed left none, so all that is known is that it may have run.
func (q *request) end(g *ledger.Go, err error) {
	g.Ended = q.s.clock.Now()
	g.Verdict = verdict.Ran
	if err == nil {
		q.engines.Well(g.Server)
	} else {
		g.Verdict = verdict.Of(err)
		if g.Verdict == verdict.Ran {
			g.Verdict = verdict.MayHaveRun
		}
		var e *verdict.Error
		if errors.As(err, &e) {
			g.Code = e.Code
		}
	}
	g.Word = g.Verdict.String()
}

// failedGo lets an engine rest and gives the pair back.
func (q *request) failedGo(server string, g *ledger.Go) {
	q.release()
	switch g.Code {
	case engine.CodeLapsed, engine.CodeInput, engine.CodeNoLease:
	case engine.CodeBusy:
		// Full until its next report; and where that says otherwise again and again,
		// another engine is the better one.
		q.engines.Full(server)
		q.engines.RestFor(server, q.s.clock.Now())
	case engine.CodeLate:
		// This process was stopped, or the engine began a new life: what it reported
		// counts no more.
		q.engines.Outdated(server)
	default:
		q.engines.RestFor(server, q.s.clock.Now())
	}
}

// goTo is the next go, at one engine.
func (q *request) goTo(s pairing.Server) Go {
	g := Go{
		Ask: q.ask, Server: s.Listed, Model: q.desk.Model, Left: q.ledger.Expiry - q.s.clock.Now(), Urgency: q.kind.Urgency,
		Fence: q.fence(s), Decided: q.decided, InForce: q.inForce, Out: q.out, After: q.ask.After, Again: q.wentTo(s.Name),
		Idle: s.Idle,
	}
	if q.plain {
		g.Connect = q.offerWithin()
	}
	if q.last != "" {
		g.After = q.last
	}
	return g
}

// wentTo tells whether an engine had a go of this request before the present one.
func (q *request) wentTo(server string) bool {
	for _, g := range q.ledger.Goes[:len(q.ledger.Goes)-1] {
		if g.Server == server {
			return true
		}
	}
	return false
}

func (q *request) prefill() {
	ctx, cancel := q.expiryContext()
	defer cancel()
	g := q.begin(ledger.Prefill, q.pair.Reader.Name)
	memory, err := q.s.speech.Read(ctx, q.goTo(q.pair.Reader))
	q.end(g, err)
	if err != nil {
		q.failedGo(q.pair.Reader.Name, g)
		return
	}
	q.engines.ReadTook(q.pool, q.pair, g.Ended-g.Began)
	q.engines.Kept(q.pool, q.pair.Reader.Name, q.ask.Parts)
	q.memory, q.handed = &memory, false
	q.reading = false
	q.engines.End(q.pair.Reader.Name)
	q.s.gate.Pump()
}

// decode has the writer put the reply out, from memory or, without any, from the
// prompt itself.
func (q *request) decode(from *Memory) {
	ctx, cancel := q.expiryContext()
	defer cancel()
	g := q.begin(ledger.Decode, q.pair.Writer.Name)
	reply, err := q.s.speech.Write(ctx, q.goTo(q.pair.Writer), from)
	if err == nil && reply.Load != nil {
		q.engines.Heard(q.pair.Writer.Name, *reply.Load, q.s.clock.Now())
	}
	if err == nil && from != nil && reply.HandOver >= 0 {
		q.engines.NoteLink(q.pair.Reader.Name, q.pair.Writer.Name, float64(reply.HandOver)/float64(q.fullCost()), q.s.clock.Now())
	}
	if err == nil {
		err = q.take(reply)
	}
	q.end(g, err)
	if err == nil {
		q.engines.Kept(q.pool, q.pair.Writer.Name, q.ask.Parts)
	}
	if from != nil && g.Verdict != verdict.NotRun {
		q.handed = true
		if q.ledger.TakenOnce {
			q.memory = nil
		}
	}
	if err != nil {
		if from != nil && g.Code == engine.CodeLapsed {
			q.memory = nil
			// Memory that is gone is a link that did not carry.
			q.engines.NoteLink(q.pair.Reader.Name, q.pair.Writer.Name, 1, q.s.clock.Now())
		}
		q.failedGo(q.pair.Writer.Name, g)
	}
}

// fullCost is how long a hand-over takes that is as bad as a full engine.
func (q *request) fullCost() time.Duration { return q.s.settings.Bounds.InForce.D() / 4 }
