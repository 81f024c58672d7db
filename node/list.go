package node

import (
	"context"
	"encoding/json"
	"time"

	"linedrum.example/linedrum/core"
	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/serve"
	"linedrum.example/linedrum/settings"
	"linedrum.example/linedrum/warmth"
)

// keyList is the duty of looking at the list of engines: whoever owns its register.
const keyList = core.KeyEngines

// listing is the memory of the looks.
type listing struct {
	cold   map[string]int64 // of each engine, as it was listed last
	silent bool
	held   bool          // the duty was this node's at the last turn
	looked time.Duration // when the duty's last look began
	calls  int           // to the platform, that one look takes
}

// listLag is how far the platform's list lags behind; where that is not told, half as
// long as engines that leave may get work is taken.
func listLag(lister serve.Lister, bounds settings.Bounds) time.Duration {
	if l, ok := lister.(interface{ Lag() time.Duration }); ok && l.Lag() > 0 {
		return l.Lag()
	}
	return bounds.EngineLeave.D() / 2
}

// listPage is about how many engines a platform tells of at a call.
const listPage = 50

// tickList looks at the list of engines while that is this node's duty, or where what
// this node knows of it grows old, and records it when it changed (section 4.6).
func (n *Node) tickList(ctx context.Context) {
	rate := 0.0
	if r, ok := n.lister.(interface{ Rate() float64 }); ok {
		rate = r.Rate()
	}
	timing := n.core.Fresh.Timing()
	had := listing{calls: 1}
	lifecycle.Every(ctx, timing.Every/5, func() {
		n.mu.Lock()
		now := n.clock.Now()
		held := n.core.Hold(keyList) && n.core.Keeper.Held()
		due := held && (!had.held || now-had.looked >= timing.Every || n.settling.Due(had.looked, now, n.picture.Sites.Back, n.picture.Engines.Covers)) || !held && n.core.LookDue(had.calls, rate)
		if due {
			n.core.Fresh.Tried(now)
		}
		n.mu.Unlock()
		if had.held = held; !held {
			had.cold = nil
		}
		if due {
			had.looked = now
			n.lookAtList(ctx, &had, now, 3*timing.Every)
		}
	})
}

// lookAtList takes what it sees away from service at once, has the register hold it,
// and then tells the cohort that it looked.
func (n *Node) lookAtList(ctx context.Context, had *listing, began, patience time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	n.mu.Lock()
	// What another node writes from here on is not written over: it may have seen more.
	base, view := n.core.Keeper.Cell(core.KeyEngines), sitesView{n.picture.Sites.Back, n.settling.Covered(began)}
	n.mu.Unlock()
	engines, err := n.lister.List(ctx)
	if (err != nil) != had.silent {
		had.silent = err != nil
		if err != nil {
			n.log.Say(event.ListSilent, event.Fields{"reason": err.Error()})
		}
	}
	if err != nil {
		return
	}
	had.calls = 1 + len(engines)/listPage
	stays := map[string]bool{}
	for _, e := range engines {
		if !e.Leaving() {
			stays[e.Name] = true
		}
	}
	n.mu.Lock()
	n.core.Fresh.Looked(began, stays)
	n.engines.takeAway(n.gone())
	n.mu.Unlock()
	if serial, ok := n.record(ctx, base, engines, view, had); ok {
		n.mu.Lock()
		n.core.Looked(began, serial)
		n.mu.Unlock()
	}
}

// gone names the engines in force that this node has seen leave since. Called under mu.
func (n *Node) gone() map[string]bool {
	var out map[string]bool
	for _, e := range n.picture.Engines.Engines {
		if !e.Leaving() && !n.core.Fresh.Stays(e.Name) {
			if out == nil {
				out = map[string]bool{}
			}
			out[e.Name] = true
		}
	}
	return out
}

// record writes the list on top of the one in force where they differ, and tells under
// which serial the register holds what was seen. What an edit that came between makes
// stale is seen anew at the next turn.
func (n *Node) record(ctx context.Context, cell register.Entry, engines []engine.Listed, view sitesView, had *listing) (uint64, bool) {
	next, changed := had.next(cell, engines, view)
	if !changed {
		return cell.Serial, true
	}
	value, err := json.Marshal(next)
	if err != nil {
		panic(err) // texts and numbers always encode
	}
	r := n.Do(ctx, register.Request{Key: core.KeyEngines, Base: cell.Serial, Op: n.OpID(), Value: value, Patience: n.settings.Bounds.InForce.D() / 2})
	n.Hurry()
	if r.Outcome != register.Done {
		had.cold = nil // what was seen is news at the next look too
		return 0, false
	}
	return r.Cell.Serial, true
}

// sitesView is what the looker knew of the sites when its look began.
type sitesView struct {
	back    map[string]uint64 // the serials that took sites back
	covered uint64            // the newest serial whose changes the look shows
}

// next is the list to be recorded on top of the one in a cell after a look; false where
// that one says the same.
func (l *listing) next(cell register.Entry, engines []engine.Listed, view sitesView) (engine.List, bool) {
	var held engine.List
	_ = json.Unmarshal(cell.Value, &held)
	changed := cell.Serial == 0 || differ(held.Engines, engines) || l.colder(engines) ||
		warmth.Open(view.back, held.Covers, view.covered)
	return engine.List{Serial: cell.Serial + 1, Engines: engines, Covers: max(held.Covers, view.covered)}, changed
}

// colder tells whether an engine may have become cold since this node's last look. That
// it is cold only falls while nothing happens; what a node without an earlier look sees
// may be news.
func (l *listing) colder(engines []engine.Listed) bool {
	found, cold := false, map[string]int64{}
	for _, e := range engines {
		cold[e.Name] = e.ColdMS
		found = found || e.ColdMS > l.cold[e.Name]
	}
	l.cold = cold
	return found
}

// differ tells whether two lists say other things, but for how cold engines are.
func differ(a, b []engine.Listed) bool {
	if len(a) != len(b) {
		return true
	}
	was := map[string]engine.Listed{}
	for _, e := range a {
		e.ColdMS = 0
		was[e.Name] = e
	}
	for _, e := range b {
		e.ColdMS = 0
		if was[e.Name] != e {
			return true
		}
	}
	return false
}
