package node

import (
	"bytes"
	"sync"

	"linedrum.example/linedrum/core"
	"linedrum.example/linedrum/desk"
	"linedrum.example/linedrum/register"
)

// desks keeps the newest desk files parsed. A file of thousands of desks takes
// its time, which must not be spent under the core lock: what arrives is parsed
// on its connection's own goroutine, and only looked up when it comes in force.
type desks struct {
	mu   sync.Mutex // taken alone, or innermost
	kept []parsed
}

type parsed struct {
	value   []byte
	file    *desk.File // nil: this program cannot read it
	digest  string
	applied []desk.Applied
	source  []byte // the form that the file came in, where it is not the file
}

// keptDesks is the one in force, and the next ones, each found by up to three disks.
const keptDesks = 6

// find parses a register's value, unless it was a moment ago. Two that find the
// same new value at once both parse it; neither waits for the other.
func (d *desks) find(value []byte) parsed {
	if p, ok := d.look(value); ok {
		return p
	}
	p := parsed{value: value}
	if stored, err := desk.DecodeStored(value); err == nil {
		p.file, _ = desk.Parse(stored.File)
		p.applied = stored.Applied
		p.digest, p.source = desk.Digest(stored.File), stored.Source
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.kept = append(d.kept, p)
	if len(d.kept) > keptDesks {
		d.kept = d.kept[1:]
	}
	return p
}

func (d *desks) look(value []byte) (parsed, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.kept {
		if bytes.Equal(p.value, value) {
			return p, true
		}
	}
	return parsed{}, false
}

// prepare parses desk files in a frame before the core sees it.
func (d *desks) prepare(m register.Message) {
	for _, kc := range m.Entries {
		if kc.Key == core.KeyDesk && len(kc.Entry.Value) > 0 {
			d.find(kc.Entry.Value)
		}
	}
}
