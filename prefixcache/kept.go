// Package prefixcache is what one node believes that each engine keeps of prompts, and how
// long it still reads: the chains of parts that this node had read or fetched there,
// and those that other nodes tell of (design.md section 5.4). It is a belief, never a
// promise: an engine that kept less reads more.
package prefixcache

import (
	"container/list"
	"hash/fnv"
	"time"

	"linedrum.example/linedrum/engine"
)

// maxParts bounds what is remembered of one engine, whatever its memory.
const maxParts = 8192

// Book is not safe for concurrent use: its owner guards it.
type Book struct {
	engines map[string]*shelf
	nextOwn uint64 // names parts of other nodes that no other prompt shares
}

// shelf is one engine's life. A part is named by all parts up to it, since an
// engine can use it only behind these.
type shelf struct {
	life   string
	parts  map[uint64]*list.Element
	order  *list.List // of part, the newest first
	tokens int
	busy   time.Duration // until then it reads on what is known
}

type part struct {
	key    uint64
	tokens int
}

// New makes a book that knows nothing.
func New() *Book { return &Book{engines: map[string]*shelf{}} }

// Note takes down that an engine, in the given life, has the chain in its memory
// now. Memory is how many tokens of this node's requests it holds, about: its memory
// divided among the nodes that use it. A memory that is not known (0) is bounded by
// the number of parts alone.
func (b *Book) Note(server, life string, parts []engine.Part, memory int) {
	if len(parts) == 0 {
		return
	}
	b.note(server, life, chain(parts), memory)
}

// Key names a part of a chain by all parts up to it.
type Key struct {
	Hash   uint64
	Tokens int
}

func (b *Book) shelf(server, life string) *shelf {
	s := b.engines[server]
	if s == nil || s.life != life {
		s = &shelf{life: life, parts: map[uint64]*list.Element{}, order: list.New()}
		b.engines[server] = s
	}
	return s
}

func (b *Book) note(server, life string, keys []Key, memory int) {
	s := b.shelf(server, life)
	// The last part is the first to give way: without those before it, it is of no use.
	for i := len(keys) - 1; i >= 0; i-- {
		if e := s.parts[keys[i].Hash]; e != nil {
			s.order.MoveToFront(e)
			continue
		}
		s.parts[keys[i].Hash] = s.order.PushFront(part{keys[i].Hash, keys[i].Tokens})
		s.tokens += keys[i].Tokens
	}
	for s.order.Len() > maxParts || memory > 0 && s.tokens > memory && s.order.Len() > 0 {
		oldest := s.order.Remove(s.order.Back()).(part)
		delete(s.parts, oldest.key)
		s.tokens -= oldest.tokens
	}
}

// Tokens is how many tokens at the chain's beginning an engine keeps in this life.
func (b *Book) Tokens(server, life string, parts []engine.Part) int {
	return b.TokensOf(server, life, chain(parts))
}

// Keys are the names of a chain's parts, for asking TokensOf of many engines.
func Keys(parts []engine.Part) []Key { return chain(parts) }

// TokensOf is Tokens for a chain whose keys are at hand.
func (b *Book) TokensOf(server, life string, keys []Key) int {
	s := b.engines[server]
	if s == nil || s.life != life {
		return 0
	}
	n := 0
	for _, key := range keys {
		if s.parts[key.Hash] == nil {
			break
		}
		n += key.Tokens
	}
	return n
}

// Reads notes that an engine has so much more to read, after all it had.
func (b *Book) Reads(server, life string, takes, now time.Duration) {
	s := b.shelf(server, life)
	s.busy = min(max(s.busy, now)+max(takes, 0), now+longest)
}

// longest backlog that is believed: an engine that stood still would be found out by
// its reports.
const longest = 10 * time.Second

// Backlog is how long an engine still reads on all that is known.
func (b *Book) Backlog(server, life string, now time.Duration) time.Duration {
	s := b.engines[server]
	if s == nil || s.life != life {
		return 0
	}
	return max(s.busy-now, 0)
}

// Forget drops one engine: its memory is gone, or it was found not to keep its parts.
func (b *Book) Forget(server string) { delete(b.engines, server) }

// Retain drops all engines but those that are listed.
func (b *Book) Retain(listed func(server string) bool) {
	for server := range b.engines {
		if !listed(server) {
			delete(b.engines, server)
		}
	}
}

// chain names each part by all parts up to it.
func chain(parts []engine.Part) []Key {
	out := make([]Key, len(parts))
	h := fnv.New64a()
	for i, p := range parts {
		_, _ = h.Write([]byte(p.ID))
		_, _ = h.Write([]byte{0})
		out[i] = Key{h.Sum64(), p.Tokens}
	}
	return out
}
