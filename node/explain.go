package node

import (
	"context"
	"encoding/json"

	"linedrum.example/linedrum/explain"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/wire"
)

// asking is one question to the cohort for a request's record.
type asking struct {
	waiting map[string]bool
	replied []string
	found   []byte
	done    chan struct{}
}

// explainTo answers a cohort member's question. Called under mu.
func (n *Node) explainTo(m register.Message) {
	out := register.Message{Kind: register.KindExplained, Ask: m.Ask, From: n.settings.Listen, Key: m.Key}
	if r, ok := n.book.Find(m.Key); ok {
		if b, err := json.Marshal(r); err == nil {
			out.Yes, out.Cell.Value = true, b
		}
	}
	n.link.Frame(m.From, out, wire.Cohort{})
}

// explained takes such an answer. Called under mu.
func (n *Node) explained(m register.Message) {
	a := n.asks[m.Ask]
	if a == nil || !a.waiting[m.From] {
		return
	}
	delete(a.waiting, m.From)
	a.replied = append(a.replied, m.From)
	if m.Yes {
		a.found = m.Cell.Value
	}
	if m.Yes || len(a.waiting) == 0 {
		delete(n.asks, m.Ask)
		close(a.done)
	}
}

// Explain finds a request's record, on whichever node it is (section 5.8).
func (n *Node) Explain(ctx context.Context, id string) explain.Search {
	if rec, ok := n.book.Find(id); ok {
		return explain.Search{Record: &rec}
	}
	ctx, cancel := context.WithTimeout(ctx, n.settings.Bounds.InForce.D())
	defer cancel()
	a, silent, departed := n.askCohort(ctx, id)
	out := explain.Search{Asked: append([]string{n.settings.Listen}, a.replied...), Silent: silent, Departed: departed}
	if a.found != nil {
		var rec explain.Record
		if err := json.Unmarshal(a.found, &rec); err == nil {
			out.Record = &rec
		}
	}
	return out
}

// Records lists all records of this node, oldest first.
func (n *Node) Records() []explain.Record {
	all, _ := n.book.All()
	return all
}

// askCohort asks every other live member at once.
func (n *Node) askCohort(ctx context.Context, id string) (a *asking, silent, departed []string) {
	a = &asking{waiting: map[string]bool{}, done: make(chan struct{})}
	n.mu.Lock()
	ask := n.rand.Uint64()
	for _, e := range n.core.Member.Alive() {
		if e.Addr != n.settings.Listen {
			a.waiting[e.Addr] = true
		}
	}
	departed = []string{}
	for _, e := range n.core.Member.Departed() {
		departed = append(departed, e.Addr)
	}
	if len(a.waiting) == 0 {
		close(a.done)
	} else {
		n.asks[ask] = a
		for addr := range a.waiting {
			n.link.Frame(addr, register.Message{Kind: register.KindExplain, Ask: ask, From: n.settings.Listen, Key: id}, wire.Cohort{})
		}
	}
	n.mu.Unlock()
	select {
	case <-a.done:
	case <-ctx.Done():
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.asks, ask)
	silent = []string{}
	if a.found == nil {
		for addr := range a.waiting {
			silent = append(silent, addr)
		}
	}
	return a, silent, departed
}
