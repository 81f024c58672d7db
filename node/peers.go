package node

import (
	"context"

	"linedrum.example/linedrum/budget"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/lifecycle"
)

// watchPeers says now and then, of each class of peers, what was refused or taken back since
// it was said last.
func (n *Node) watchPeers(ctx context.Context) {
	said := n.peers.Counts()
	lifecycle.Every(ctx, n.settings.Bounds.Recovery.D(), func() {
		now := n.peers.Counts()
		for class, counts := range now {
			if fields := crowded(said[class], counts); fields != nil {
				fields["class"] = class
				n.log.Say(event.PeersCrowded, fields)
			}
		}
		said = now
	})
}

// crowded are the fields of an event about one class; nil: nothing was refused or taken back.
func crowded(before, now budget.Counts) event.Fields {
	gaveWay, refused, short := now.GaveWay-before.GaveWay, now.Refused-before.Refused, now.Short-before.Short
	if gaveWay+refused+short == 0 {
		return nil
	}
	return event.Fields{
		"gave_way": gaveWay, "refused_connections": refused, "refused_bytes": short, "connections": now.Connections, "held_bytes": now.Held,
	}
}

// countPeers adds what each class of peers holds to the counters that operators see.
func (n *Node) countPeers(out map[string]uint64) {
	for class, c := range n.peers.Counts() {
		for key, v := range map[string]int64{
			"connections": int64(c.Connections), "bytes": c.Held, "most_bytes": c.Most,
			"gave_way": c.GaveWay, "refused_connections": c.Refused, "refused_bytes": c.Short,
		} {
			out["peers."+class+"."+key] = uint64(v)
		}
	}
}
