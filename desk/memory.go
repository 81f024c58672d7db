package desk

import (
	"sync"
	"time"
)

// Memory is what one node knows of how old applies are: how long ago it saw each first,
// by its own boot time. That is never longer than the apply has stood, so whatever a node
// lets go by it is old on every clock. A node that has only just come lets nothing go. It
// is safe for concurrent use.
type Memory struct {
	keep time.Duration

	mu   sync.Mutex // innermost
	seen map[string]time.Duration
}

// NewMemory makes a node's memory; an apply is old when it was seen that long ago.
func NewMemory(keep time.Duration) *Memory {
	return &Memory{keep: keep, seen: map[string]time.Duration{}}
}

// Note takes what a register remembers into account.
func (m *Memory) Note(applied []Applied, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := make(map[string]time.Duration, len(applied))
	for _, a := range applied {
		at, had := m.seen[a.ID]
		if !had {
			at = now
		}
		seen[a.ID] = at
	}
	m.seen = seen
}

// Prune lets the old ones go, but for the last KeepApplied; and the eldest, where there
// are more than MostApplied.
func (m *Memory) Prune(applied []Applied, now time.Duration) []Applied {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(applied) > KeepApplied {
		at, had := m.seen[applied[0].ID]
		old := had && now-at >= m.keep
		if !old && len(applied) <= MostApplied {
			break
		}
		applied = applied[1:]
	}
	return applied
}
