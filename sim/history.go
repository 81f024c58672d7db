package sim

import (
	"fmt"
	"time"

	"linedrum.example/linedrum/register"
)

// Operation is one operation of a history and what its caller was told.
type Operation struct {
	Client      int
	Key         string
	Read        bool
	Base        uint64
	Value       string
	Outcome     register.Outcome
	Serial      uint64 // the cell told of
	Seen        string
	Call, Reply int64
}

// History collects operations.
type History struct {
	World *World
	Ops   []*Operation
	next  int
}

// Client keeps doing operations on a few keys through random nodes: it reads,
// and writes on top of what it last saw.
func (h *History) Client(client int, keys []string, pause time.Duration, until time.Duration) {
	seen := map[string]uint64{}
	var step func()
	step = func() {
		w := h.World
		if w.Now() >= until {
			return
		}
		again := func() { w.At(pause/2+time.Duration(w.Rand.Int64N(int64(pause))), step) }
		n := w.Nodes[w.Rand.IntN(len(w.Nodes))]
		if n.Core == nil || n.frozen {
			again()
			return
		}
		h.next++
		key := keys[w.Rand.IntN(len(keys))]
		op := &Operation{Client: client, Key: key, Call: int64(w.Now()), Reply: -1, Outcome: register.Unknown}
		req := register.Request{Key: key, Patience: 2 * time.Second}
		if w.Rand.IntN(3) == 0 {
			op.Read, req.Read = true, true
		} else {
			op.Base, op.Value = seen[key], fmt.Sprintf("v%d", h.next)
			req.Base, req.Value, req.Op = op.Base, []byte(op.Value), fmt.Sprintf("op%d", h.next)
		}
		h.Ops = append(h.Ops, op)
		replied := false
		done := func(outcome register.Outcome, cell register.Entry) {
			if replied {
				return
			}
			replied = true
			op.Outcome, op.Serial, op.Seen = outcome, cell.Serial, string(cell.Value)
			if outcome != register.Unknown {
				op.Reply = int64(w.Now())
				seen[key] = max(seen[key], cell.Serial)
			}
			again()
		}
		n.Do(req, func(r register.Result) { done(r.Outcome, r.Cell) })
		// A node that dies takes its reply along: the caller never learns.
		w.At(4*time.Second, func() { done(register.Unknown, register.Entry{}) })
	}
	h.World.At(time.Duration(client)*time.Millisecond, step)
}
