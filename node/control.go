package node

import (
	"context"
	"encoding/json"
	"time"

	"linedrum.example/linedrum/bus"
	"linedrum.example/linedrum/core"
	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/lease"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/serve"
)

// InForce gives what is in force by this node's lease; false without one. The maps are
// never written after that.
func (n *Node) InForce() (serve.InForce, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return lease.Give(lease.Clock(n.clock), n.core.Keeper.Until(), n.picture)
}

// newest copies the newest control state that came in force here, with a lease or
// without one: for duties, which write by compare-and-set.
func (n *Node) newest() serve.Picture {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.picture
}

// Permit tells whether a new go may start now.
func (n *Node) Permit() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Keeper.Held()
}

// NotReady says why this node cannot serve callers now; empty when it can.
func (n *Node) NotReady() string {
	inForce, held := n.InForce()
	p := inForce.Value()
	switch {
	case n.stopping.Load():
		return "stopping"
	case !held:
		return "no permit"
	case p.Desk == nil:
		return "no desk file"
	case p.Windows.Open == 0:
		return "no window for once-only keys"
	}
	return ""
}

// Hurry has the permit renewed at once: something was written.
func (n *Node) Hurry() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.Keeper.Hurry()
}

// adopt puts one confirmed cell in force. Maps are made anew, since pictures share them.
func (n *Node) adopt(key string, cell register.Entry) {
	fields := event.Fields{"serial": cell.Serial}
	number := event.DeskInForce
	switch {
	case cell.Serial == 0:
		return
	case key == core.KeyDesk:
		p := n.desks.find(cell.Value)
		// A file that this program cannot read is no file: everything bounces.
		n.picture.Desk, n.picture.DeskSerial, n.picture.DeskDigest, n.picture.DeskSource = p.file, cell.Serial, p.digest, p.source
		if p.file == nil {
			fields["unreadable"] = true
		}
		n.Applied(p.applied)
		n.wantKeys()
	case key == core.KeyEngines:
		number = event.EnginesTaken
		var list engine.List
		_ = json.Unmarshal(cell.Value, &list)
		n.picture.Engines, n.picture.EngineSerial = list, cell.Serial
		fields["list"], fields["engines"] = list.Serial, len(list.Engines)
	case key == core.KeySites:
		number = event.SitesTaken
		var state engine.SiteState
		_ = json.Unmarshal(cell.Value, &state)
		n.picture.Sites, n.picture.SiteSerial = state, cell.Serial
		n.settling.Adopt(cell.Serial, n.clock.Now())
	case key == core.KeyWindows:
		number = event.WindowsTaken
		n.picture.Windows = register.DecodeWindows(cell)
		fields["open"], fields["floor"] = n.picture.Windows.Open, n.picture.Windows.Floor
	default:
		number = event.RolesTaken
		pool := key[len(core.KeyRoles):]
		var table engine.RoleTable
		_ = json.Unmarshal(cell.Value, &table)
		roles := map[string]serve.RolesInForce{}
		for name, r := range n.picture.Roles {
			roles[name] = r
		}
		roles[pool] = serve.RolesInForce{Table: table, Fence: fenceOf(table, cell.Serial)}
		n.picture.Roles = roles
		fields["pool"] = pool
	}
	n.engines.take(n.picture, n.clock.Now())
	if n.lister != nil {
		n.engines.takeAway(n.gone())
	}
	n.log.Say(number, fields)
	n.bus.Publish(bus.TopicInForce, map[string]any{"key": key, "serial": cell.Serial})
}

// fenceOf is the fence of a table's orders. The cell's epoch has no part in it: whoever
// settles a cell gives it an epoch of its own, and has not become the holder by that.
func fenceOf(table engine.RoleTable, serial uint64) engine.Fence {
	return engine.Fence{Count: table.Term, Holder: table.Holder, Serial: serial}
}

// wantKeys makes the permit cover the role tables of all pools in force.
func (n *Node) wantKeys() {
	keys := append([]string(nil), core.BaseKeys...)
	if n.picture.Desk != nil {
		for _, p := range n.picture.Desk.Pools {
			keys = append(keys, core.KeyRoles+p.Name)
		}
	}
	n.core.Keeper.Want(keys)
}

// Do performs one operation on the control state and waits for its outcome.
func (n *Node) Do(ctx context.Context, req register.Request) register.Result {
	return n.wait(ctx, req, n.core.Paths.Do)
}

// doHere is Do by this node's own holder, for duties that this node has.
func (n *Node) doHere(ctx context.Context, req register.Request) register.Result {
	return n.wait(ctx, req, n.core.Holder.Do)
}

func (n *Node) wait(ctx context.Context, req register.Request, do func(register.Request, func(register.Result))) register.Result {
	out := make(chan register.Result, 1)
	n.mu.Lock()
	do(req, func(r register.Result) { out <- r })
	n.mu.Unlock()
	select {
	case r := <-out:
		return r
	case <-ctx.Done():
		if req.Read {
			return register.Result{Outcome: register.NotDone}
		}
		return register.Result{Outcome: register.Unknown}
	}
}

// Seen is what this node holds of a key now.
func (n *Node) Seen(key string) register.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Keeper.Cell(key)
}

// Awake tells that this process has run without a break for a moment.
func (n *Node) Awake() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.awake.calmAt(n.clock.Now())
}

// Look reads one key from a majority without writing anything.
func (n *Node) Look(ctx context.Context, key string, patience time.Duration) (register.Entry, bool) {
	type found struct {
		cell register.Entry
		ok   bool
	}
	out := make(chan found, 1)
	n.mu.Lock()
	n.core.Look(key, patience, func(c register.Entry, ok bool) { out <- found{c, ok} })
	n.mu.Unlock()
	select {
	case f := <-out:
		return f.cell, f.ok
	case <-ctx.Done():
		return register.Entry{}, false
	}
}

// OpID names one write.
func (n *Node) OpID() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.OpID()
}

// fleetView is this node's place in the fleet, for dealing out shares (core.Fleet).
func (n *Node) fleetView() (nodes, rank int, partial bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	nodes, rank, partial = n.core.Fleet()
	n.budget.Unsure = partial
	return nodes, rank, partial
}
