package node

import (
	"context"
	"time"

	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/lifecycle"
)

// Reports: engines are asked for their load; whom a list tells of enough, by the planner alone.

// pollEngines asks every listed engine for its load.
func (n *Node) pollEngines(ctx context.Context) {
	pool := n.crew.Pool(16, 1024)
	lifecycle.Every(ctx, n.settings.Bounds.Recovery.D()/24, func() {
		n.engines.place(n.fleetView())
		for _, target := range n.engines.toPoll() {
			if !pool.Submit(func(ctx context.Context) { n.poll(ctx, target) }) {
				n.engines.polled(target.Name, engine.Load{}, false, 0)
			}
		}
		n.gate.Pump()
	})
}

func (t *engines) toPoll() []engine.Listed {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turn++
	var out []engine.Listed
	for _, s := range t.servers {
		if _, plain := t.plainPool(s.listed.Pool); plain {
			continue // it gives no report: its answers tell
		}
		if t.toldOf(s.listed) && (t.turn%2 != 0 || !t.duties[s.listed.Pool]) {
			continue // each report has its price: whoever plans the roles asks, half as often
		}
		if !s.polling {
			s.polling = true
			out = append(out, s.listed)
		}
	}
	return out
}

// duty notes whether a pool's roles are this node's to plan.
func (t *engines) duty(pool string, held bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.duties[pool] = held
}

func (t *engines) polled(name string, load engine.Load, ok bool, now time.Duration) (turned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latest = nil
	s := t.servers[name]
	if s == nil {
		return false
	}
	s.polling = false
	if ok {
		s.load, s.at, s.since = load, now, 0
	}
	turned = s.silent == ok
	s.silent = !ok
	return turned
}

func (n *Node) poll(ctx context.Context, target engine.Listed) {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Bounds.Recovery.D()/12)
	defer cancel()
	load, err := n.speech.Load(ctx, target)
	if n.engines.polled(target.Name, load, err == nil, n.clock.Now()) {
		if err != nil {
			n.log.Say(event.EngineSilent, event.Fields{"engine": target.Name, "reason": err.Error()})
		} else {
			n.log.Say(event.EngineBack, event.Fields{"engine": target.Name, "role": load.Role})
		}
	}
	n.gate.Pump()
}
