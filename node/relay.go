package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/pairing"
	"linedrum.example/linedrum/prefixcache"
)

// In fleets of more than tellAll nodes, what is read is told by way of one relay in each zone:
// the node that sends a go tells the relays, and each of them tells its zone, in batches. So a
// go crosses to another zone once, and a node gets few messages (section 5.4).

// relay is what this node is to pass on in its zone.
type relay struct {
	mu      sync.Mutex // innermost
	pending []prefixcache.Announcement
}

// add takes announcements to be passed on with the next batch.
func (r *relay) add(list []prefixcache.Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, list...)
}

// take empties it.
func (r *relay) take() []prefixcache.Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.pending
	r.pending = nil
	return out
}

// announcement of a pair that was selected. Called under t.mu.
func (t *engines) announcement(pair pairing.Pair, parts []engine.Part) prefixcache.Announcement {
	a := prefixcache.AnnouncementOf(parts)
	a.Source = prefixcache.NameHash(t.self, "")
	a.Takes = pair.Takes
	a.Expected, a.Took = t.ownRead.Expected, t.ownRead.Took
	t.ownRead = pairing.Read{}
	a.Server = prefixcache.NameHash(pair.Reader.Name, pair.Reader.Life)
	if pair.Direct {
		a.Server = prefixcache.NameHash(pair.Writer.Name, pair.Writer.Life)
	} else {
		a.Writer = prefixcache.NameHash(pair.Writer.Name, pair.Writer.Life)
	}
	return a
}

// announced takes what other nodes tell. Engines that are not listed here, or no longer, are
// passed over.
func (t *engines) announced(list []prefixcache.Announcement, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	self := prefixcache.NameHash(t.self, "")
	for _, a := range list {
		server := t.servers[t.hashes[a.Server]]
		if server == nil || a.Source == self {
			continue
		}
		t.pace(server.listed.Pool).Add(pairing.Read{Expected: a.Expected, Took: a.Took})
		writer, writerLife := "", ""
		if w := t.servers[t.hashes[a.Writer]]; w != nil {
			writer, writerLife = w.listed.Name, w.listed.Life
		}
		t.kept.Announced(a, server.listed.Name, server.listed.Life, writer, writerLife, t.memory(server.listed.Pool), now)
	}
	t.latest = nil
}

// announceReads tells the relays of this node's goes.
func (n *Node) announceReads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-n.engines.announcements:
			n.announce(a)
		}
	}
}

func (n *Node) announce(a prefixcache.Announcement) {
	list := []prefixcache.Announcement{a}
	to := n.relays()
	if own := slices.Index(to, n.settings.Listen); own >= 0 {
		n.relay.add(list)
		to = slices.Delete(to, own, own+1)
	}
	n.sendReads(prefixcache.Batch{PassOn: true, Announcements: list}.Encode(), to)
}

// relays are the nodes that pass this node's announcements on, one in each zone: of those with
// a disk, which have the wider lines, or else of all, the one with the highest weight for this
// node. A relay that is gone costs its zone what it would have passed on, until it leaves the
// table; then another one has the highest weight.
func (n *Node) relays() (out []string) {
	n.mu.Lock()
	alive := n.core.Member.Alive()
	n.mu.Unlock()
	type candidate struct {
		addr   string
		disk   bool
		weight uint32
	}
	best := map[string]candidate{}
	for _, e := range alive {
		one := candidate{e.Addr, e.Disk != "", prefixcache.NameHash(n.settings.Listen, e.Addr)}
		had, ok := best[e.Site]
		if !ok || one.disk && !had.disk || one.disk == had.disk && one.weight > had.weight {
			best[e.Site] = one
		}
	}
	for _, c := range best {
		out = append(out, c.addr)
	}
	return out
}

// passReadsOn tells this node's zone, in batches, what it is the relay of.
func (n *Node) passReadsOn(ctx context.Context) {
	lifecycle.Every(ctx, n.settings.Bounds.Recovery.D()/batchesPerRecovery, func() {
		list := n.relay.take()
		if len(list) == 0 {
			return
		}
		n.sendReads(prefixcache.Batch{Announcements: list}.Encode(), n.others(n.settings.Site))
	})
}

// batchesPerRecovery is how often a relay passes on, as a part of the recovery bound: 25 ms of
// 15 s. What is read there meanwhile is a few prompts of the whole fleet.
const batchesPerRecovery = 600

// heardReads takes what another node tells of reads, in either form.
func (n *Node) heardReads(payload []byte) {
	batch, err := prefixcache.DecodeBatch(payload)
	if err != nil {
		n.engines.told(payload, n.clock.Now())
		return
	}
	n.engines.announced(batch.Announcements, n.clock.Now())
	if batch.PassOn {
		n.relay.add(batch.Announcements)
	}
}
