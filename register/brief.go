package register

import (
	"encoding/binary"
	"hash/fnv"
	"strings"
)

// A brief query names, for each key, what the asker holds by its serial and a digest of
// its epoch, and is answered with those keys alone that the disk holds otherwise. Every
// node asks every voting disk several times a second, and hardly ever has anything
// changed: a whole query and its reply are 1,904 bytes for five keys (section 4.2).

// Brief makes a query brief.
func (m *Message) Brief(cells []KeyEntry) {
	keys := make([]string, 0, len(cells))
	m.Again, m.Entries, m.Digests = true, nil, nil
	for _, kc := range cells {
		keys = append(keys, kc.Key)
		m.Digests = append(m.Digests, kc.Entry.Serial, digestOf(kc.Entry.Epoch))
	}
	m.Key = strings.Join(keys, briefComma)
}

const briefComma = "\n" // no key holds one

// briefValue is the longest value in a brief reply, in bytes. A longer one is left out
// of it (Bare) and asked of one disk: else every change would be sent by each voting
// disk to each node.
const briefValue = 512

// held is what a brief query says of one key.
type held struct {
	key           string
	serial, epoch uint64
}

// brief reads such a query; false for one that makes no sense.
func (m Message) brief() ([]held, bool) {
	keys := strings.Split(m.Key, briefComma)
	if len(m.Digests) != 2*len(keys) {
		return nil, false
	}
	out := make([]held, 0, len(keys))
	for i, key := range keys {
		out = append(out, held{key, m.Digests[2*i], m.Digests[2*i+1]})
	}
	return out, true
}

func (h held) is(c Entry) bool { return h.serial == c.Serial && h.epoch == digestOf(c.Epoch) }

func digestOf(e Epoch) uint64 {
	if e == (Epoch{}) {
		return 0
	}
	var count [8]byte
	binary.BigEndian.PutUint64(count[:], e.Count)
	h := fnv.New64a()
	_, _ = h.Write(count[:])
	_, _ = h.Write([]byte(e.Holder))
	return h.Sum64()
}
