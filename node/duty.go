package node

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"linedrum.example/linedrum/core"
	"linedrum.example/linedrum/desk"
	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/roles"
	"linedrum.example/linedrum/tenure"
)

// tickDuties does the duty of each pool's roles while this node has it.
func (n *Node) tickDuties(ctx context.Context) {
	lifecycle.Every(ctx, n.settings.Bounds.InForce.D()/8, func() {
		picture := n.newest()
		n.windowsDuty(ctx)
		if picture.Desk == nil {
			return
		}
		for _, pool := range picture.Desk.Pools {
			if pool.Plain {
				continue // its engines have no roles
			}
			key := core.KeyRoles + pool.Name
			n.mu.Lock()
			held := n.core.Hold(key) && n.core.Keeper.Held()
			cell := n.core.Keeper.Cell(key)
			n.mu.Unlock()
			n.engines.duty(pool.Name, held)
			if held {
				n.rolesDuty(ctx, key, cell, pool)
			} else if post := n.posts[key]; post != nil {
				post.planner = nil
			}
		}
	})
}

// windowsDuty opens the next window for once-only keys when the last one has
// been open for a quarter of once_keep, by this node's own count of boot time. A
// holder that counts otherwise, or two at once, make windows longer or shorter,
// never wrong: the floor is in the register, and disks keep to it (section 3.7).
func (n *Node) windowsDuty(ctx context.Context) {
	n.mu.Lock()
	held := n.core.Hold(core.KeyWindows) && n.core.Keeper.Held()
	cell := n.core.Keeper.Cell(core.KeyWindows)
	n.mu.Unlock()
	now := n.clock.Now()
	if cell.Serial != n.window.serial || n.window.since == 0 {
		n.window.serial, n.window.since = cell.Serial, now
	}
	if !held || cell.Serial > 0 && now-n.window.since < n.settings.Bounds.OnceKeep.D()/register.KeptWindows {
		return
	}
	n.doHere(ctx, register.Request{
		Key: core.KeyWindows, Base: cell.Serial, Value: register.DecodeWindows(cell).Next().Encode(), Op: n.OpID(),
		Patience: n.settings.Bounds.InForce.D() / 2,
	})
	n.Hurry()
}

// rolesDuty plans one pool's roles, records the plan on a majority with this node's name
// in it, and only then orders engines, under the term of the record (section 4.5).
func (n *Node) rolesDuty(ctx context.Context, key string, cell register.Entry, pool desk.Pool) {
	post := n.post(key)
	cell = post.newest(cell)
	table := tableOf(cell)
	now := n.clock.Now()
	holder := table.Holder == n.core.Self()
	states := n.engines.states(pool.Name, now)
	next, changed := post.planner.Plan(now, table.Roles, states, pool.MinPrefill, pool.MinDecode)
	if cell.Serial > 0 && !post.tenure.May(table.Record, now) {
		next = roles.Steady(table.Roles, next, states)
		changed = !maps.Equal(next, table.Roles)
	}
	if !post.rival.MayTake(holder, now, n.core.HoldDown()) {
		return
	}
	if changed || len(next) > 0 && !holder {
		table = engine.RoleTable{Roles: next, Record: baseOf(cell, table).Next(n.core.Self())}
		var ok bool
		if cell, ok = n.writeTable(ctx, key, cell.Serial, table); !ok {
			return
		}
		post.written = cell
	}
	if cell.Serial > 0 && post.tenure.May(table.Record, n.clock.Now()) {
		fence := fenceOf(table, cell.Serial)
		n.engines.order(n, pool.Name, table.Roles, fence, func() bool { return n.mayOrder(key, fence) })
	}
}

func (n *Node) writeTable(ctx context.Context, key string, base uint64, table engine.RoleTable) (register.Entry, bool) {
	value, err := json.Marshal(table)
	if err != nil {
		panic(err) // a map of texts always encodes
	}
	r := n.doHere(ctx, register.Request{
		Key: key, Base: base, Value: value, Op: n.OpID(), Patience: n.settings.Bounds.InForce.D() / 2,
	})
	n.Hurry()
	return r.Cell, r.Outcome == register.Done
}

// mayOrder tells whether this node is sure to hold its term still: its permit has not run
// out, and shows no newer table of another term.
func (n *Node) mayOrder(key string, fence engine.Fence) bool {
	n.mu.Lock()
	held, cell := n.core.Keeper.Held(), n.core.Keeper.Cell(key)
	n.mu.Unlock()
	return held && tenure.Still(fence.Count, fence.Serial, baseOf(cell, tableOf(cell)))
}

// orderTime is for how long orders may be on their way: no longer than the permit lasts.
func (n *Node) orderTime() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return min(n.core.Keeper.Until()-n.clock.Now(), n.settings.Bounds.InForce.D()/2)
}

func baseOf(cell register.Entry, table engine.RoleTable) tenure.Base {
	return tenure.Base{Record: table.Record, Serial: cell.Serial, Epoch: cell.Epoch.Count}
}

func tableOf(cell register.Entry) engine.RoleTable {
	var table engine.RoleTable
	if cell.Serial > 0 {
		_ = json.Unmarshal(cell.Value, &table)
	}
	return table
}

// post is what this node remembers of its duty for one pool's roles. It outlives the
// duty, but for the planner.
type post struct {
	planner *roles.Planner
	rival   core.ConflictBackoff
	tenure  *tenure.Tenure
	written register.Entry // by this node, and chosen; the permit may not show it yet
}

// newest is the newer one of what the permit shows and what this node wrote itself.
func (p *post) newest(cell register.Entry) register.Entry {
	if p.written.Serial > cell.Serial {
		return p.written
	}
	return cell
}

func (n *Node) post(key string) *post {
	p := n.posts[key]
	if p == nil {
		wait := tenure.Wait(n.core.Keeper.Longest(), n.settings.Bounds.Lease.D())
		p = &post{tenure: tenure.New(n.core.Self(), wait)}
		n.posts[key] = p
	}
	if p.planner == nil {
		recovery := n.settings.Bounds.Recovery.D()
		p.planner = roles.New(roles.Timing{Lasts: recovery / 4, Apart: recovery / 2})
	}
	return p
}
