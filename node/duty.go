package node

import (
	"context"
	"encoding/json"

	"linedrum.example/linedrum/core"
	"linedrum.example/linedrum/crew"
	"linedrum.example/linedrum/desk"
	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/roles"
)

// tickDuties does the duty of each pool's roles while this node has it.
func (n *Node) tickDuties(ctx context.Context) {
	crew.Every(ctx, n.settings.Bounds.InForce.D()/8, func() {
		picture := n.newest()
		n.windowsDuty(ctx)
		if picture.Desk == nil {
			return
		}
		for _, pool := range picture.Desk.Pools {
			key := core.KeyRoles + pool.Name
			n.mu.Lock()
			held := n.core.Hold(key) && n.core.Keeper.Held()
			cell := n.core.Keeper.Cell(key)
			n.mu.Unlock()
			n.engines.duty(pool.Name, held)
			if held {
				n.rolesDuty(ctx, key, cell, pool)
			} else {
				delete(n.planner, key)
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

// rolesDuty plans one pool's roles, records the plan on a majority, and only
// then orders engines, under the fence of the record (section 4.5).
func (n *Node) rolesDuty(ctx context.Context, key string, cell register.Cell, pool desk.Pool) {
	planner := n.planner[key]
	if planner == nil {
		recovery := n.settings.Bounds.Recovery.D()
		planner = roles.New(roles.Timing{Lasts: recovery / 4, Apart: recovery / 2})
		n.planner[key] = planner
	}
	var table engine.RoleTable
	if cell.Serial > 0 {
		_ = json.Unmarshal(cell.Value, &table)
	}
	now := n.clock.Now()
	next, changed := planner.Plan(now, table.Roles, n.engines.states(pool.Name, now), pool.MinPrefill, pool.MinDecode)
	// Orders go out under an epoch of this node's own: taking the duty over writes
	// the table anew, so that the former holder's orders are stale from then on.
	holder := cell.Epoch.Holder == n.core.Self()
	rival := n.rivals[key]
	if rival == nil {
		rival = &core.Rivalry{}
		n.rivals[key] = rival
	}
	if !rival.MayTake(holder, now, n.core.HoldDown()) {
		return
	}
	if changed || len(next) > 0 && !holder {
		value, err := json.Marshal(engine.RoleTable{Roles: next})
		if err != nil {
			panic(err) // a map of texts always encodes
		}
		r := n.doHere(ctx, register.Request{
			Key: key, Base: cell.Serial, Value: value, Op: n.OpID(), Patience: n.settings.Bounds.InForce.D() / 2,
		})
		n.Hurry()
		if r.Outcome != register.Done {
			return
		}
		cell, table.Roles = r.Cell, next
	}
	if cell.Serial > 0 {
		n.engines.order(n, pool.Name, table.Roles, fenceOf(cell))
	}
}
