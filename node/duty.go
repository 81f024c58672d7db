package node

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/roles"
)

// duty is one task of which the key's owner is the one doer (section 4.4).
type duty struct {
	key     string
	nearest time.Duration // since when this node is the nearest without a break
	near    bool
	named   bool // the former holder handed it over
	held    bool
	planner *roles.Planner
	busy    bool
}

// tickDuties takes and gives duties by the ring, and does those held.
func (n *Node) tickDuties(ctx context.Context) {
	every(ctx, n.settings.Bounds.InForce.D()/8, func() {
		picture := n.Picture()
		if picture.Desk == nil {
			return
		}
		for _, pool := range picture.Desk.Pools {
			d := n.hold(keyRoles + pool.Name)
			if d != nil {
				n.rolesDuty(ctx, d, pool.Name, pool.MinPrefill, pool.MinDecode)
			}
		}
	})
}

// holdDown is how long a node must have been the nearest before it takes a duty
// that was not handed to it: control does not follow a flapping node (section 4.4).
func (n *Node) holdDown() time.Duration { return n.settings.Bounds.Recovery.D() / 4 }

// hold returns the duty while this node has it.
func (n *Node) hold(key string) *duty {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := n.duties[key]
	if d == nil {
		d = &duty{key: key, planner: roles.New(roles.Timing{
			Lasts: n.settings.Bounds.Recovery.D() / 4, Apart: n.settings.Bounds.Recovery.D() / 2,
		})}
		n.duties[key] = d
	}
	now := n.clock.Now()
	owner := n.owner(key)
	if owner != n.link.Self() || !n.member.Joined() {
		if d.held && owner != "" {
			// The holder names its successor, which need not wait.
			n.giveUp(d, owner)
		}
		d.near, d.named, d.held = false, false, false
		return nil
	}
	if !d.near {
		d.near, d.nearest = true, now
	}
	if !d.held && (d.named || now-d.nearest >= n.holdDown()) && n.keeper.Held() {
		d.held = true
		n.log.Say(event.DutyTaken, event.Fields{"key": key, "named": d.named})
	}
	if !d.held {
		return nil
	}
	return d
}

// giveUp hands a duty and its key to a named successor. Called under mu.
func (n *Node) giveUp(d *duty, successor string) {
	d.held = false
	n.holder.Drop(d.key)
	n.link.Frame(successor, register.Message{Kind: register.KindName, From: n.link.Self(), Key: d.key}, noCohort)
	n.log.Say(event.DutyGiven, event.Fields{"key": d.key, "to": successor})
}

// named takes note that the holder of a duty hands it to this node.
func (n *Node) named(m register.Message) {
	d := n.duties[m.Key]
	if d == nil {
		d = &duty{key: m.Key, planner: roles.New(roles.Timing{
			Lasts: n.settings.Bounds.Recovery.D() / 4, Apart: n.settings.Bounds.Recovery.D() / 2,
		})}
		n.duties[m.Key] = d
	}
	d.named = true
}

// giveAll hands every duty held to the node that is nearest without this one.
func (n *Node) giveAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.duties {
		if !d.held {
			continue
		}
		for _, addr := range (nearest{n}).Nearest(d.key) {
			if addr != n.link.Self() {
				n.giveUp(d, addr)
				break
			}
		}
	}
}

// rolesDuty plans one pool's roles, records the plan on a majority, and only
// then orders engines, under the fence of the record.
func (n *Node) rolesDuty(ctx context.Context, d *duty, pool string, minPrefill, minDecode int) {
	key := keyRoles + pool
	states := n.engines.states(pool, n.clock.Now())
	n.mu.Lock()
	cell := n.keeper.Cell(key)
	held := n.keeper.Held()
	n.mu.Unlock()
	if !held {
		return
	}
	var table engine.RoleTable
	if cell.Serial > 0 {
		_ = json.Unmarshal(cell.Value, &table)
	}
	next, changed := d.planner.Plan(n.clock.Now(), table.Roles, states, minPrefill, minDecode)
	// Orders go out under an epoch of this node's own: taking the duty over writes
	// the table anew, so that the former holder's orders are stale from then on.
	if changed || len(next) > 0 && cell.Epoch.Holder != n.link.Self() {
		value, err := json.Marshal(engine.RoleTable{Roles: next})
		if err != nil {
			return
		}
		r := n.doHere(ctx, register.Request{
			Key: key, Base: cell.Serial, Value: value, Op: n.opID(), Patience: n.settings.Bounds.InForce.D() / 2,
		})
		n.mu.Lock()
		n.keeper.Hurry()
		n.mu.Unlock()
		if r.Outcome != register.Done {
			return
		}
		cell = r.Cell
		table.Roles = next
	}
	if cell.Serial == 0 {
		return
	}
	n.engines.order(n, pool, table.Roles, fenceOf(cell))
}

// opID names one write, so that a repeat of it is recognized.
func (n *Node) opID() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.link.Self() + "#" + strconv.FormatUint(n.rand.Uint64(), 16)
}
