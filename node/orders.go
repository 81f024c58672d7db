package node

import (
	"context"
	"time"

	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/roles"
)

// Roles: what engines play, what the planner of a pool sees of them, and the orders that it has sent.

// toldOf tells whether the list says all of an engine that service needs.
func (t *engines) toldOf(e engine.Listed) bool { return t.listing && e.Role != "" }

// plays is the role that an engine plays, by its newest word.
func (t *engines) plays(s *server, now time.Duration) string {
	if t.toldOf(s.listed) && (s.load.Role == "" || now-s.at >= t.stale) {
		return s.listed.Role
	}
	return s.load.Role
}

// states is the role planner's picture.
func (t *engines) states(pool string, now time.Duration) []roles.State {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []roles.State
	for _, e := range t.picture.Engines.Engines {
		s := t.servers[e.Name]
		if s == nil || e.Pool != pool {
			continue
		}
		out = append(out, roles.State{
			Name: e.Name, Site: e.Site,
			Usable: !e.Leaving() && !t.gone[e.Name] && !t.picture.Sites.Empty[e.Site] && (t.toldOf(e) && !s.silent || s.at > 0 && now-s.at < 2*t.stale),
			Use:    roles.Use(t.picture.Roles[pool].Table.Roles[e.Name], s.load, max(s.load.Slots, e.Slots)),
		})
		if t.toldOf(e) {
			out[len(out)-1].Plays = t.plays(s, now)
		}
	}
	return out
}

// due tells whether an engine needs an order. Where the list says what it plays, an
// order that changes nothing is not worth its price, and one that was taken gets its
// time; else an older fence is made stale as well.
func (t *engines) due(s *server, role string, fence engine.Fence, now time.Duration) bool {
	if t.toldOf(s.listed) {
		return t.plays(s, now) != role && (s.ordered != fence || now-s.obeyed >= t.ramp)
	}
	return s.at > 0 && !(s.load.Role == role && (!s.load.Fence.Less(fence) || s.ordered == fence))
}

// order sends roles to the engines that do not report them under this fence. An order is
// dropped that could not be written in time, or when may says no.
func (t *engines) order(n *Node, pool string, table map[string]string, fence engine.Fence, may func() bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, role := range table {
		s := t.servers[name]
		if s == nil || t.ordering[name] || !t.due(s, role, fence, n.clock.Now()) {
			continue
		}
		t.ordering[name] = true
		listed := s.listed
		n.crew.Start(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, n.orderTime())
			defer cancel()
			err := n.speech.Order(ctx, listed, engine.Order{Pool: pool, Role: role, Fence: fence, May: may})
			t.mu.Lock()
			delete(t.ordering, name)
			if err == nil {
				s.ordered, s.obeyed = fence, n.clock.Now()
			}
			t.mu.Unlock()
			fields := event.Fields{"engine": name, "role": role, "term": fence.Count, "serial": fence.Serial}
			if err != nil {
				fields["reason"] = err.Error()
				n.log.Say(event.RoleBounced, fields)
				return
			}
			n.log.Say(event.RoleOrdered, fields)
		})
	}
}
