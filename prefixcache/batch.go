package prefixcache

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"linedrum.example/linedrum/engine"
)

// Announcement is the short form of a notice, for fleets in which notices go by relays and in
// batches: engines and nodes by a hash of their names, shared parts alone by their keys.
type Announcement struct {
	Source uint32        // the node that sent the go
	Server uint32        // reads
	Writer uint32        // fetches what was read; 0: nobody
	Takes  time.Duration // of reading; whole ms are told
	Own    int           // tokens of the last part, which no other prompt shares
	// The source's last read, of the pool of Server: what it was expected to take and what it
	// took, in whole ms. Expected 0: it is not told.
	Expected, Took time.Duration
	Keys           []Key // of the parts before it
}

// NameHash stands for an engine's life, or for a node (with an empty life), in announcements;
// it is never 0.
func NameHash(name, life string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(life))
	return max(h.Sum32(), 1)
}

// AnnouncementOf makes the announcement of a chain's go; the caller fills in who takes part.
func AnnouncementOf(parts []engine.Part) Announcement {
	if len(parts) == 0 {
		return Announcement{}
	}
	last := len(parts) - 1
	keys := chain(parts[:last])
	return Announcement{Own: parts[last].Tokens, Keys: keys[:min(len(keys), mostKeys)]}
}

// batchForm is the first byte of a batch; notices begin with noticeForm.
const batchForm = 2

// mostAnnouncements bounds a batch, so that it stays within a few kilobytes.
const mostAnnouncements = 64

// Batch is several announcements in one message.
type Batch struct {
	// PassOn: the receiver is the relay of its zone, and passes them on there.
	PassOn        bool
	Announcements []Announcement
}

// Encode is the bytes of a batch, about 40 an announcement. Those beyond 64 are left out: they
// are news that is worth a guess, no more.
func (b Batch) Encode() []byte {
	list := b.Announcements[:min(len(b.Announcements), mostAnnouncements)]
	out := make([]byte, 0, 4+48*len(list))
	passOn := byte(0)
	if b.PassOn {
		passOn = 1
	}
	out = append(out, batchForm, passOn, byte(len(list)))
	for _, a := range list {
		out = binary.BigEndian.AppendUint32(out, a.Source)
		out = binary.BigEndian.AppendUint32(out, a.Server)
		out = binary.BigEndian.AppendUint32(out, a.Writer)
		out = binary.AppendUvarint(out, wholeMS(a.Takes))
		out = binary.AppendUvarint(out, uint64(max(a.Own, 0)))
		out = binary.AppendUvarint(out, wholeMS(a.Expected))
		out = binary.AppendUvarint(out, wholeMS(a.Took))
		out = appendKeys(out, a.Keys)
	}
	return out
}

// DecodeBatch reads them; anything else is ErrNotice.
func DecodeBatch(b []byte) (Batch, error) {
	if len(b) < 3 || b[0] != batchForm || b[1] > 1 || b[2] > mostAnnouncements {
		return Batch{}, ErrNotice
	}
	out := Batch{PassOn: b[1] == 1}
	r := reader{rest: b[3:]}
	for range b[2] {
		a := Announcement{Source: uint32(r.fixed(4)), Server: uint32(r.fixed(4)), Writer: uint32(r.fixed(4))}
		a.Takes = r.ms()
		a.Own = int(r.varint(mostTokens))
		a.Expected, a.Took = r.ms(), r.ms()
		a.Keys = r.keys()
		out.Announcements = append(out.Announcements, a)
	}
	if r.failed || len(r.rest) > 0 {
		return Batch{}, ErrNotice
	}
	return out, nil
}

// Announced believes an announcement of engines that the caller found by their hashes: server
// reads, and writer fetches what was read; a writer without a name is nobody. The part that no
// other prompt shares counts against their memory alone.
func (b *Book) Announced(a Announcement, server, life, writer, writerLife string, memory int, now time.Duration) {
	b.nextOwn++
	keys := append(append(make([]Key, 0, len(a.Keys)+1), a.Keys...), Key{Hash: b.nextOwn, Tokens: a.Own})
	b.note(server, life, keys, memory)
	b.Reads(server, life, a.Takes, now)
	if writer != "" {
		b.note(writer, writerLife, keys, memory)
	}
}
