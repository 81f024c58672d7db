package node

import (
	"context"
	"time"

	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/pairing"
	"linedrum.example/linedrum/prefixcache"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/wire"
)

// What engines still have to read, and keep, is told among the nodes: a notice for
// each go, once and never repeated (section 5.4).

const (
	// tellAll is the largest fleet in which every node tells every other one: with n
	// nodes each gets (n-1)/n of all goes. Larger ones tell by relays.
	tellAll     = 24
	noticeDepth = 256 // what waits beyond it is not told
)

// direct tells whether each node tells each other one itself. Called under t.mu.
func (t *engines) direct() bool { return t.nodes <= tellAll }

// memory of one of a pool's engines, in tokens; 0: not known. Called under t.mu.
func (t *engines) memory(pool string) int {
	if t.picture.Desk == nil {
		return 0
	}
	p, _ := t.picture.Desk.Pool(pool)
	return p.Engine.MemoryTokens
}

// tell notes a go that is about to be sent, and passes it on to the cohort. Called
// under t.mu.
func (t *engines) tell(pair pairing.Pair, parts []engine.Part, now time.Duration) {
	if pair.Takes == 0 || len(parts) == 0 {
		return
	}
	n := prefixcache.NoticeOf(parts)
	n.Takes = pair.Takes
	n.Server, n.Life = pair.Reader.Name, pair.Reader.Life
	if pair.Direct {
		n.Server, n.Life = pair.Writer.Name, pair.Writer.Life
	} else {
		n.Writer, n.WriterLife = pair.Writer.Name, pair.Writer.Life
	}
	// Here the writer keeps the chain only once it has fetched it (Kept): until then the
	// request may come back, and must not take the writer for one that need not read.
	own := n
	own.Writer, own.WriterLife = "", ""
	t.believe(own, pair.Writer.Pool, now)
	if t.direct() {
		select {
		case t.notices <- n:
		default:
		}
		return
	}
	select {
	case t.announcements <- t.announcement(pair, parts):
	default:
	}
}

// believe takes a notice in. Called under t.mu.
func (t *engines) believe(n prefixcache.Notice, pool string, now time.Duration) {
	t.latest = nil
	t.kept.Take(n, t.memory(pool), now, func(server string) bool { return t.servers[server] != nil })
}

// told takes another node's notice.
func (t *engines) told(payload []byte, now time.Duration) {
	n, err := prefixcache.DecodeNotice(payload)
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[n.Server]; s != nil {
		t.believe(n, s.listed.Pool, now)
	}
}

// tellReads passes this node's notices on.
func (n *Node) tellReads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case notice := <-n.engines.notices:
			n.sendReads(notice.Encode(), n.others(anySite))
		}
	}
}

// sendReads sends what is told of reads, in either form.
func (n *Node) sendReads(payload []byte, to []string) {
	m := register.Message{Kind: register.KindReads, From: n.settings.Listen, Cell: register.Entry{Value: payload}}
	for _, addr := range to {
		n.link.Frame(addr, m, wire.Cohort{})
	}
}

// anySite stands for all sites where one may be named.
const anySite = ""

// others are the addresses of the live cohort in a site, or anySite, but this node's.
func (n *Node) others(site string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, e := range n.core.Member.Alive() {
		if e.Addr != n.settings.Listen && (site == anySite || e.Site == site) {
			out = append(out, e.Addr)
		}
	}
	return out
}
