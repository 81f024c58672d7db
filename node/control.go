package node

import (
	"context"
	"encoding/json"
	"time"

	"linedrum.example/linedrum/bus"
	"linedrum.example/linedrum/desk"
	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/quorum"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/ring"
	"linedrum.example/linedrum/wire"
)

// Keys of the control state (section 3.1).
const (
	keyDesk    = "desk"
	keyEngines = "engines"
	keySites   = "sites"
	keyRoles   = "roles/" // and the pool's name
	keyDisks   = "disks"
)

var baseKeys = []string{keyDesk, keyEngines, keySites}

var noCohort = wire.Cohort{}

// Picture is what is in force on this node, all taken at one instant.
type Picture struct {
	Desk         *desk.File
	DeskSerial   uint64
	Engines      engine.List
	EngineSerial uint64
	Sites        engine.SiteState
	SiteSerial   uint64
	Roles        map[string]RolesInForce
	Until        time.Duration // of the permit
}

// RolesInForce is one pool's table with the fence of its orders.
type RolesInForce struct {
	Table engine.RoleTable
	Fence engine.Fence
}

// Picture copies what is in force; its maps are never written after that.
func (n *Node) Picture() Picture {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.picture
	p.Until = n.keeper.Until()
	return p
}

// Permit tells whether a new go may start now.
func (n *Node) Permit() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.keeper.Held()
}

// keeping is the keeper's port.
type keeping struct{ n *Node }

func (k keeping) Set() quorum.Set                      { return k.n.holder.Set() }
func (k keeping) NewSet(set quorum.Set)                { k.n.newSet(set) }
func (k keeping) Settle(key string)                    { k.n.settle(key) }
func (k keeping) Adopt(key string, cell register.Cell) { k.n.adopt(key, cell) }

// settle has a key's holder finish what stands on some disks only.
func (n *Node) settle(key string) {
	now := n.clock.Now()
	if now < n.settling[key] {
		return
	}
	patience := n.settings.Bounds.InForce.D() / 2
	n.settling[key] = now + patience
	n.paths.Do(register.Request{Key: key, Read: true, Patience: patience}, func(register.Result) {
		delete(n.settling, key)
		n.keeper.Hurry()
	})
}

// adopt puts one confirmed cell in force. Maps are made anew, since pictures share them.
func (n *Node) adopt(key string, cell register.Cell) {
	fields := event.Fields{"serial": cell.Serial}
	number := event.DeskInForce
	switch {
	case cell.Serial == 0:
		return
	case key == keyDesk:
		var stored desk.Stored
		var file *desk.File
		if err := json.Unmarshal(cell.Value, &stored); err == nil {
			file, _ = desk.Parse(stored.File)
		}
		// A file that this program cannot read is no file: everything bounces.
		n.picture.Desk, n.picture.DeskSerial = file, cell.Serial
		if file == nil {
			fields["unreadable"] = true
		}
		n.wantKeys()
	case key == keyEngines:
		number = event.EnginesTaken
		var list engine.List
		_ = json.Unmarshal(cell.Value, &list)
		n.picture.Engines, n.picture.EngineSerial = list, cell.Serial
		fields["list"], fields["engines"] = list.Serial, len(list.Engines)
	case key == keySites:
		number = event.SitesTaken
		var state engine.SiteState
		_ = json.Unmarshal(cell.Value, &state)
		n.picture.Sites, n.picture.SiteSerial = state, cell.Serial
	default:
		number = event.RolesTaken
		pool := key[len(keyRoles):]
		var table engine.RoleTable
		_ = json.Unmarshal(cell.Value, &table)
		roles := map[string]RolesInForce{}
		for name, r := range n.picture.Roles {
			roles[name] = r
		}
		roles[pool] = RolesInForce{table, fenceOf(cell)}
		n.picture.Roles = roles
		fields["pool"] = pool
	}
	n.engines.take(n.picture)
	n.log.Say(number, fields)
	n.bus.Publish(bus.TopicInForce, map[string]any{"key": key, "serial": cell.Serial})
}

func fenceOf(cell register.Cell) engine.Fence {
	return engine.Fence{Count: cell.Epoch.Count, Holder: cell.Epoch.Holder, Serial: cell.Serial}
}

// wantKeys makes the permit cover the role tables of all pools in force.
func (n *Node) wantKeys() {
	keys := append([]string(nil), baseKeys...)
	if n.picture.Desk != nil {
		for _, p := range n.picture.Desk.Pools {
			keys = append(keys, keyRoles+p.Name)
		}
	}
	n.keeper.Want(keys)
}

// Do performs one operation on the control state and waits for its outcome.
func (n *Node) Do(ctx context.Context, req register.Request) register.Result {
	return n.wait(ctx, req, n.paths.Do)
}

// doHere is Do by this node's own holder, for duties that this node has.
func (n *Node) doHere(ctx context.Context, req register.Request) register.Result {
	return n.wait(ctx, req, n.holder.Do)
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

// look reads one key from a majority without writing anything.
type look struct {
	key     string
	replies map[string]register.Cell
	due     time.Duration
	done    func(register.Cell, bool)
}

// Look finds the cell that a majority of disks holds alike; false when they
// differ or too few reply.
func (n *Node) Look(ctx context.Context, key string, patience time.Duration) (register.Cell, bool) {
	type found struct {
		cell register.Cell
		ok   bool
	}
	out := make(chan found, 1)
	n.mu.Lock()
	if n.nextLook == 0 {
		n.nextLook = n.rand.Uint64() >> 8
	}
	n.nextLook++
	set := n.holder.Set()
	n.looks[n.nextLook] = &look{
		key: key, replies: map[string]register.Cell{}, due: n.clock.Now() + patience,
		done: func(c register.Cell, ok bool) { out <- found{c, ok} },
	}
	for _, d := range set.All() {
		n.link.Frame(d.Addr, register.Message{
			Kind: register.KindQuery, Ask: n.nextLook, From: n.member.Self().Addr,
			Set: quorum.Set{Serial: set.Serial}, Cells: []register.KeyCell{{Key: key}},
		}, noCohort)
	}
	n.mu.Unlock()
	select {
	case f := <-out:
		return f.cell, f.ok
	case <-ctx.Done():
		return register.Cell{}, false
	}
}

func (n *Node) receiveLook(m register.Message) {
	l := n.looks[m.Ask]
	if l == nil || !m.Yes || len(m.Cells) != 1 || m.Cells[0].Key != l.key {
		return
	}
	l.replies[m.Disk] = m.Cells[0].Cell
	for _, mine := range l.replies {
		if n.holder.Set().Majority(func(d string) bool {
			theirs, ok := l.replies[d]
			return ok && theirs.Same(mine)
		}) {
			delete(n.looks, m.Ask)
			l.done(mine, true)
			return
		}
	}
}

func (n *Node) tickLooks() {
	now := n.clock.Now()
	for ask, l := range n.looks {
		if now >= l.due {
			delete(n.looks, ask)
			l.done(register.Cell{}, false)
		}
	}
}

// fleetView is this node's place among the live ones, for dealing out shares.
func (n *Node) fleetView() (nodes, rank int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	alive := n.member.Alive()
	for i, e := range alive {
		if e.Addr == n.link.Self() {
			rank = i
		}
	}
	return max(len(alive), 1), rank
}

// owner is the live node nearest to a key.
func (n *Node) owner(key string) string {
	if near := n.member.Nearest(ring.Of(key)); len(near) > 0 {
		return near[0].Addr
	}
	return ""
}
