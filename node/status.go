package node

import (
	"time"

	"linedrum.example/linedrum/control"
	"linedrum.example/linedrum/core"
	"linedrum.example/linedrum/register"
)

// KnowsSite tells whether a node or an engine is at a site, or it was emptied.
func (n *Node) KnowsSite(site string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.core.Member.Alive() {
		if e.Site == site {
			return true
		}
	}
	for _, e := range n.picture.Engines.Engines {
		if e.Site == site {
			return true
		}
	}
	return n.picture.Sites.Empty[site]
}

// Status is this node's view of the fleet.
func (n *Node) Status() control.Status {
	var s control.Status
	n.mu.Lock()
	now := n.clock.Now()
	self := n.core.Member.Self()
	s.Node.Addr, s.Node.Site, s.Node.Incarnation, s.Node.Disk = self.Addr, self.Site, self.Incarnation, self.Disk
	if n.settings.Data != "" {
		state := n.diskState()
		trusted := state == register.DiskTrusted
		s.Node.DiskTrusted, s.Node.DiskState = &trusted, state.String()
	}
	s.Node.Permit = n.core.Keeper.Held()
	s.Node.PermitMS = max((n.core.Keeper.Until() - now).Milliseconds(), 0)
	s.Node.Stopping = n.stopping.Load()
	s.DiskSet = n.core.Holder.Set()
	s.InForce.Desk, s.InForce.Engines, s.InForce.Sites = n.picture.DeskSerial, n.picture.EngineSerial, n.picture.SiteSerial
	s.InForce.Windows = n.picture.Windows
	s.EmptySites = control.Names(n.picture.Sites.Empty)
	for _, e := range n.core.Member.Alive() {
		s.Members = append(s.Members, control.MemberStatus{Addr: e.Addr, HTTP: e.HTTP, Site: e.Site, Incarnation: e.Incarnation, Disk: e.Disk})
	}
	for _, e := range n.core.Member.Departed() {
		s.Members = append(s.Members, control.MemberStatus{Addr: e.Addr, HTTP: e.HTTP, Site: e.Site, Incarnation: e.Incarnation, Disk: e.Disk, Departed: true})
	}
	keys := append([]string(nil), core.BaseKeys...)
	if n.picture.Desk != nil {
		for _, p := range n.picture.Desk.Pools {
			keys = append(keys, core.KeyRoles+p.Name)
		}
	}
	for _, key := range keys {
		cell := n.core.Keeper.Cell(key)
		s.Keys = append(s.Keys, control.KeyStatus{Key: key, Owner: n.core.Owner(key), Epoch: cell.Epoch.Count, Holder: cell.Epoch.Holder, Serial: cell.Serial})
	}
	n.mu.Unlock()
	s.Engines = n.engines.status(now)
	s.Queues = n.gate.Waiting()
	return s
}

// diskState of this machine's disk, also while it is not open. Called under mu.
func (n *Node) diskState() register.DiskState {
	if n.core.Acceptor == nil {
		return register.DiskLost
	}
	return n.core.Acceptor.State()
}

func (t *engines) status(now time.Duration) []control.EngineStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []control.EngineStatus{}
	for _, e := range t.picture.Engines.Engines {
		s := t.servers[e.Name]
		if s == nil {
			continue
		}
		if pool, plain := t.plainPool(e.Pool); plain {
			out = append(out, statusOf(t.observePlain(e, s, pool, now)))
			continue
		}
		out = append(out, control.EngineStatus{
			Listed: e, Role: t.picture.Roles[e.Pool].Table.Roles[e.Name], Reports: t.plays(s, now),
			Running: s.load.Running, Slots: s.load.Slots, AgeMS: s.load.AgeMS + (now - s.at).Milliseconds(), Silent: s.at == 0 || now-s.at >= t.stale,
		})
	}
	return out
}
