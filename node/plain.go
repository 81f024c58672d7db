package node

import (
	"time"

	"linedrum.example/linedrum/control"
	"linedrum.example/linedrum/desk"
	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/pairing"
)

// Engines of plain pools give no reports: what a node knows of their load is what their
// answers tell, and what it has there itself (design.md section 5.11).

// plainPool looks a pool up among those whose engines are plain. Called under t.mu.
func (t *engines) plainPool(name string) (desk.Pool, bool) {
	p, plain := t.plain[name]
	return p, plain
}

// statusOf shows a plain engine to operators: silent is one that rests after a failed go, since
// it is asked for nothing else.
func statusOf(s pairing.Server) control.EngineStatus {
	return control.EngineStatus{
		Listed: s.Listed, Role: engine.Whole, Reports: engine.Whole, Running: s.Load.Running + s.Inflight, Slots: s.Load.Slots,
		AgeMS: s.Age.Milliseconds(), Silent: s.Resting,
	}
}

// observePlain is the pairing's picture of one plain engine. Called under t.mu.
func (t *engines) observePlain(e engine.Listed, s *server, pool desk.Pool, now time.Duration) pairing.Server {
	one := pairing.Server{
		Listed: e, Role: engine.Whole, Load: engine.Load{Slots: max(e.Slots, s.load.Slots)}, Seen: true, Age: t.ramp,
		Inflight: s.inflight, Resting: now < s.resting, Cold: t.coldLeft(s, now), Quiet: now, Recent: t.recent(s, now),
	}
	if s.at > 0 && now-s.at < t.stale {
		one.Load.Running = int(s.busy + 0.5)
	}
	if s.began > 0 {
		one.Quiet = now - s.began
	}
	v := pairing.View{Nodes: t.nodes, Rank: t.rank, Connections: pool.Connections}
	one.Idle = v.IdleConnections(e.Name)
	return one
}

// busySmoothing is the weight of the newest word on a plain engine's load, as a divisor: an
// answer tells of one moment, and requests there last for some ten ms.
const busySmoothing = 4

// heardPlain takes what a plain engine said of its load beside an answer. The request that
// was answered counted there; what else this node has there, it knows better itself.
func (s *server) heardPlain(load engine.Load, now, stale time.Duration) {
	others := float64(max(load.Running+load.Waiting-s.inflight, 0))
	if s.at == 0 || now-s.at >= stale {
		s.busy = others
	}
	s.busy += (others - s.busy) / busySmoothing
	s.at = now
	if load.Slots > 0 {
		s.load.Slots = load.Slots
	}
}
