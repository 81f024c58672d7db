// Package explain keeps why each request went where it went: the ledger of its
// goes, every move with the view that it was derived from, and what each engine
// scored (design.md section 5.8). It is bounded, and pure apart from its lock.
package explain

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/ledger"
	"linedrum.example/linedrum/pairing"
	"linedrum.example/linedrum/verdict"
)

// Form is the version of records; a reader refuses others.
const Form = 2

// Record is one request from its arrival to its reply.
type Record struct {
	Form    int           `json:"form"`
	Request string        `json:"request"`
	Node    string        `json:"node"`
	Desk    string        `json:"desk"`
	Kind    string        `json:"kind"`
	Pool    string        `json:"pool"`
	Once    bool          `json:"once"`
	Stream  bool          `json:"stream"`
	Arrived time.Duration `json:"arrived"` // boot time of its node
	Expiry  time.Duration `json:"expiry"`
	Ended   time.Duration `json:"ended"`
	Serials Serials       `json:"serials"`
	Goes    []ledger.Go   `json:"goes"`
	Moves   []Move        `json:"moves"`
	Pairs   []Nomination  `json:"pairs"`
	Status  int           `json:"status"`
	Verdict string        `json:"verdict"`
	Code    string        `json:"code,omitempty"`
	Repeat  bool          `json:"repeat,omitempty"` // answered from an earlier request's record
}

// Terms are what else a move rests on; a request follows the newest desk file until
// it has begun, so they are the move's own.
type Terms struct {
	Changing  bool `json:"changing,omitempty"`
	Most      int  `json:"most,omitempty"`
	Resume    bool `json:"resume,omitempty"`
	PureRead  bool `json:"pure_read,omitempty"`
	TakenOnce bool `json:"taken_once,omitempty"`
	MayDirect bool `json:"may_direct,omitempty"`
	Whole     bool `json:"whole,omitempty"`
}

// TermsOf reads a ledger's terms.
func TermsOf(l *ledger.Ledger) Terms {
	return Terms{l.Changing, l.Most, l.Resume, l.PureRead, l.TakenOnce, l.MayDirect, l.Whole}
}

// Serials in force when the request had been read.
type Serials struct {
	Desk    uint64       `json:"desk"`
	Engines uint64       `json:"engines"`
	Sites   uint64       `json:"sites"`
	Roles   engine.Fence `json:"roles"`
}

// Move is one decision of the ledger and all that it rested on.
type Move struct {
	Goes      int          `json:"goes"` // how many goes the ledger held
	Claim     ledger.Claim `json:"claim"`
	FirstByte bool         `json:"first_byte"`
	Terms     Terms        `json:"terms,omitzero"`
	View      ledger.View  `json:"view"`
	Move      ledger.Move  `json:"move"`
}

// Nomination is one pairing and all that it rested on.
type Nomination struct {
	View    pairing.View     `json:"view"`
	Servers []pairing.Server `json:"servers"`
	Again   string           `json:"again,omitempty"` // a writer alone, for memory at this reader
	Reader  string           `json:"reader"`
	Writer  string           `json:"writer"`
	Direct  bool             `json:"direct,omitempty"` // the writer reads by itself
	Readers []pairing.Score  `json:"readers,omitempty"`
	Writers []pairing.Score  `json:"writers,omitempty"`
}

// Search is what became of a look for one record over the cohort.
type Search struct {
	Record   *Record // nil: nobody has it
	Asked    []string
	Silent   []string
	Departed []string
}

// Book keeps the newest records of a node.
type Book struct {
	mu     sync.Mutex
	most   int
	byID   map[string]*Record
	order  []string
	pruned uint64
}

// NewBook keeps at most so many.
func NewBook(most int) *Book { return &Book{most: most, byID: map[string]*Record{}} }

// Add takes one record in; the oldest ones go when there are too many.
func (b *Book) Add(r Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byID[r.Request] == nil {
		b.order = append(b.order, r.Request)
	}
	b.byID[r.Request] = &r
	for len(b.order) > b.most {
		delete(b.byID, b.order[0])
		b.order = b.order[1:]
		b.pruned++
	}
}

// Find looks for a request.
func (b *Book) Find(id string) (Record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.byID[id]; r != nil {
		return *r, true
	}
	return Record{}, false
}

// All lists the records kept, oldest first, and how many were pruned.
func (b *Book) All() (records []Record, pruned uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range b.order {
		records = append(records, *b.byID[id])
	}
	return records, b.pruned
}

// Read parses one recorded line and refuses what this code cannot judge.
func Read(line []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(line, &r); err != nil {
		return r, fmt.Errorf("not a record: %w", err)
	}
	switch {
	case r.Form != Form:
		return r, fmt.Errorf("a record of form %d, not %d", r.Form, Form)
	case r.Request == "":
		return r, fmt.Errorf("a record without a request")
	}
	for i := range r.Goes {
		g := &r.Goes[i]
		switch g.Name {
		case ledger.Prefill.String():
			g.Phase = ledger.Prefill
		case ledger.Decode.String():
			g.Phase = ledger.Decode
		default:
			return r, fmt.Errorf("go %d has the unknown phase %q", i, g.Name)
		}
		v, ok := verdict.Parse(g.Word)
		if !ok {
			return r, fmt.Errorf("go %d has the unknown verdict %q", i, g.Word)
		}
		g.Verdict = v
	}
	for i, m := range r.Moves {
		if m.Goes < 0 || m.Goes > len(r.Goes) {
			return r, fmt.Errorf("move %d speaks of %d goes, of which there are %d", i, m.Goes, len(r.Goes))
		}
	}
	return r, nil
}

// Difference is one decision that this code takes otherwise than was recorded.
type Difference struct {
	Request  string `json:"request"`
	What     string `json:"what"`
	Recorded string `json:"recorded"`
	Now      string `json:"now"`
}

// Replay takes every recorded decision again and lists those that differ.
func Replay(r Record) (decisions int, out []Difference) {
	for i, m := range r.Moves {
		l := ledger.Ledger{
			Once: r.Once, Expiry: r.Expiry, Claim: m.Claim, FirstByte: m.FirstByte, Goes: r.Goes[:m.Goes],
			Changing: m.Terms.Changing, Most: m.Terms.Most, Resume: m.Terms.Resume,
			PureRead: m.Terms.PureRead, TakenOnce: m.Terms.TakenOnce, MayDirect: m.Terms.MayDirect,
		}
		decisions++
		if now := l.Next(m.View); now != m.Move {
			out = append(out, Difference{r.Request, fmt.Sprintf("move %d", i), fmt.Sprintf("%+v", m.Move), fmt.Sprintf("%+v", now)})
		}
	}
	for i, n := range r.Pairs {
		decisions++
		reader, writer, direct := n.Again, "", false
		if n.Again != "" {
			for _, s := range n.Servers {
				if s.Name == n.Again {
					w, _ := n.View.Writer(n.Servers, s)
					writer = w.Name
				}
			}
		} else {
			pair, _ := n.View.Nominate(n.Servers)
			reader, writer, direct = pair.Reader.Name, pair.Writer.Name, pair.Direct
		}
		if reader != n.Reader || writer != n.Writer || direct != n.Direct {
			out = append(out, Difference{r.Request, fmt.Sprintf("pairing %d", i), n.Reader + " to " + n.Writer, reader + " to " + writer})
		}
	}
	return decisions, out
}
