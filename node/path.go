package node

import (
	"context"
	"strconv"
	"sync"
	"time"

	"linedrum.example/linedrum/bus"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/link"
	"linedrum.example/linedrum/serve"
	"linedrum.example/linedrum/settings"
)

// What the requests' path (serve.Fleet) and the faces need of a node besides the
// control state.

// Real counts a request that arrived into the retry budget.
func (n *Node) Real(at time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.budget.Real(at)
}

// May tells whether a repeat is within this node's retry budget.
func (n *Node) May() bool {
	nodes, _, _ := n.fleetView()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.budget.May(n.clock.Now(), nodes)
}

// Spend takes one repeat out of the retry budget, if there is one.
func (n *Node) Spend() bool {
	nodes, _, _ := n.fleetView()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	if !n.budget.May(now, nodes) {
		return false
	}
	n.budget.Spend(now)
	return true
}

// Background runs what outlives a request, until the node stops.
func (n *Node) Background(run func(ctx context.Context)) { n.crew.Start(run) }

// Ended hears of each request that got its reply.
func (n *Node) Ended(e serve.Ended) { n.bus.Publish(bus.TopicRequest, e) }

// Path is the way that requests of all faces take.
func (n *Node) Path() *serve.Server { return n.path }

// Settings are those that the node was started with.
func (n *Node) Settings() settings.Settings { return n.settings }

// Log is the node's log.
func (n *Node) Log() *event.Log { return n.log }

// Net is the network of the node's machine.
func (n *Node) Net() link.Network { return n.host.Net }

// Now is boot time.
func (n *Node) Now() time.Duration { return n.clock.Now() }

// Uint64 is the node's randomness.
func (n *Node) Uint64() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rand.Uint64()
}

// counters are kept by the subscriber of ended requests.
type counters struct {
	mu     sync.Mutex
	counts map[string]uint64
}

func (c *counters) ended(e serve.Ended) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["requests"]++
	c.counts["verdict."+e.Verdict]++
	c.counts["status."+strconv.Itoa(e.Status)]++
	c.counts["goes"] += uint64(e.Goes)
	c.counts["repeats"] += uint64(e.Repeats)
	if e.Code != "" {
		c.counts["code."+e.Code]++
	}
}

// Counts are the node's counters, by name.
func (n *Node) Counts() map[string]uint64 {
	n.counters.mu.Lock()
	out := map[string]uint64{}
	for key, v := range n.counters.counts {
		out[key] = v
	}
	n.counters.mu.Unlock()
	link := &n.link.Counts
	out["link.datagrams_bad"] = link.BadDatagrams.Load()
	out["link.datagrams_foreign"] = link.ForeignDatagrams.Load()
	out["link.frames_bad"] = link.BadFrames.Load()
	out["link.frames_sent"] = link.Sent.Load()
	out["link.bytes_sent"] = link.Bytes.Load()
	out["link.dropped"] = link.Dropped.Load()
	out["log.lost"] = n.log.Lost()
	n.mu.Lock()
	out["calot.notices_sent"] = n.core.Member.Notices
	out["permit.asked"], out["permit.granted"] = n.core.Keeper.Asked, n.core.Keeper.Granted
	disk := n.disk
	n.mu.Unlock()
	n.countPeers(out)
	out["requests.held"] = uint64(n.path.Held())
	if disk != nil {
		out["disk.syncs"], out["disk.records"] = disk.Counts()
	}
	return out
}
