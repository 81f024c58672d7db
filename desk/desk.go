// Package desk is the operators' file: which questions go to which pool, and how
// patient each kind of caller is (docs/desk-files.md). The offline check and
// the fleet use this same code.
package desk

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"cel.dev/cel-go/cel"

	"linedrum.example/linedrum/strict"
)

// File is one whole desk file. It is taken entirely or not at all.
type File struct {
	Pools []Pool `json:"pools" need:"yes" min:"1" max:"64"`
	Desks []Desk `json:"desks" need:"yes" min:"1" max:"4096"`
	Rules []Rule `json:"rules,omitempty" max:"256"`

	programs map[string]cel.Program // of every expression in the file
	desks    map[string]int         // by name
	hosts    map[string][]place     // by host, in the order of their prefixes
}

// Pool is a set of engines by name, and how it is to be split in roles.
type Pool struct {
	Name       string  `json:"name" need:"yes"`
	MinPrefill int     `json:"min_prefill,omitempty" min:"1" max:"1000"`
	MinDecode  int     `json:"min_decode,omitempty" min:"1" max:"1000"`
	SiteCost   float64 `json:"site_cost" min:"0" max:"100"` // how dear traffic between sites is, 1 as a full engine
	// Connections is the most that all nodes together keep to one engine; 0: no bound.
	Connections int `json:"connections,omitempty" min:"0" max:"100000"`
	// WarmRate is how many requests a second a cold engine bears, of all nodes together;
	// 0: cold engines are dealt out by slots alone.
	WarmRate float64         `json:"warm_rate,omitempty" min:"0" max:"100000"`
	WarmFor  strict.Duration `json:"warm_for,omitempty" min:"0s" max:"10m"` // an engine is cold for so long from its start
	Health   string          `json:"health,omitempty" max:"256"`            // the path that tells an engine's health
	// Plain engines have no roles and read no prompts: each takes a request whole, gives no
	// report and takes no order (design.md section 5.11).
	Plain  bool   `json:"plain,omitempty"`
	Engine Engine `json:"engine,omitempty"`
}

// Engine is what all engines of a pool have in common; 0 where it is not known.
type Engine struct {
	Slots        int             `json:"slots,omitempty" min:"0" max:"100000"` // requests at once
	MemoryTokens int             `json:"memory_tokens,omitempty" min:"0" max:"1000000000"`
	TokenBytes   int             `json:"token_bytes,omitempty" min:"0" max:"100000000"` // of memory a token
	LinkMbps     float64         `json:"link_mbps,omitempty" min:"0" max:"100000000"`
	Hold         strict.Duration `json:"hold,omitempty" min:"0s" max:"10m"`   // read memory is kept so long for a writer
	Switch       strict.Duration `json:"switch,omitempty" min:"0s" max:"10m"` // a change of role takes so long
}

// Desk takes the questions that name it and sends them to one pool.
type Desk struct {
	Name string `json:"name" need:"yes"`
	Pool string `json:"pool,omitempty"` // or shares
	// Shares split a desk's questions over pools by weight, instead of pool.
	Shares []Share `json:"shares,omitempty" max:"64"`
	// Host and Prefix choose the desk by where a question was sent: the longest prefix
	// of the path among the desks of that host; "/" without one. A desk without a host
	// is chosen by model or rules, and never by where a question was sent.
	Host   string `json:"host,omitempty" max:"253"`
	Prefix string `json:"prefix,omitempty" max:"1024"`
	Model  string `json:"model" max:"128"` // the name that engines know; the desk's own name without one
	Kinds  []Kind `json:"kinds" need:"yes" min:"1" max:"64"`
}

// Share is one pool's part of a desk's questions.
type Share struct {
	Pool   string  `json:"pool" need:"yes"`
	Weight float64 `json:"weight" need:"yes" min:"0" max:"1000000"`
}

// Kind is one kind of caller, and its patience.
type Kind struct {
	Name      string          `json:"name" need:"yes"`
	Expiry    strict.Duration `json:"expiry" need:"yes" min:"50ms" max:"10m"`
	Queue     int             `json:"queue" need:"yes" min:"0" max:"10000"`
	Streams   bool            `json:"streams"`
	Once      string          `json:"once,omitempty" any:"required allowed never"`
	MaxTokens int             `json:"max_tokens,omitempty" min:"1" max:"1000000"`
	Share     int             `json:"share,omitempty" min:"1" max:"100"` // turns in the queue beside other kinds
	When      string          `json:"when" max:"2000"`                   // which requests are of this kind when they name none

	Goes     int             `json:"goes,omitempty" min:"0" max:"16"`    // most engines that one request is sent to; 0: 6
	Changing bool            `json:"changing,omitempty"`                 // run at most once a request: nothing that may have run is repeated
	Resume   bool            `json:"resume,omitempty"`                   // a broken stream may go on at another engine
	Aim      strict.Duration `json:"aim,omitempty" min:"0s" max:"10m"`   // a first piece within it is in time
	Pause    strict.Duration `json:"pause,omitempty" min:"0s" max:"10m"` // longest pause between pieces that is in time
	Urgency  int             `json:"urgency,omitempty" min:"0" max:"9"`  // 0 is first
	Sticky   bool            `json:"sticky,omitempty"`                   // prompts share parts: keep them where their parts are
}

// The three answers to whether a kind's requests are once-only.
const (
	OnceRequired = "required"
	OnceAllowed  = "allowed"
	OnceNever    = "never"
)

// Parse reads and checks a file, and names every fault with its place.
func Parse(b []byte) (*File, strict.Faults) {
	f := &File{}
	faults := strict.Load(b, f)
	f.fill()
	if len(faults) == 0 {
		f.index()
		f.check(&faults)
		f.compileRules(&faults)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return f, nil
}

func (f *File) fill() {
	for i := range f.Pools {
		p := &f.Pools[i]
		p.MinPrefill, p.MinDecode = max(p.MinPrefill, 1), max(p.MinDecode, 1)
	}
	for i := range f.Desks {
		d := &f.Desks[i]
		if d.Model == "" {
			d.Model = d.Name
		}
		if d.Host != "" && d.Prefix == "" {
			d.Prefix = "/"
		}
		for j := range d.Kinds {
			k := &d.Kinds[j]
			if k.Once == "" {
				k.Once = OnceNever
			}
			if k.MaxTokens == 0 {
				k.MaxTokens = 4096
			}
			k.Share = max(k.Share, 1)
		}
	}
}

// Find looks up a desk and a kind of caller; an empty kind means the desk's
// only one. It never falls back to another desk or pool. A desk with shares comes
// without a pool: Match draws it.
func (f *File) Find(desk, kind string) (Desk, Kind, error) {
	i, had := f.desks[desk]
	if !had {
		return Desk{}, Kind{}, fmt.Errorf("no desk is called %q", desk)
	}
	return f.Desks[i].find(kind)
}

func (d *Desk) find(kind string) (Desk, Kind, error) {
	if kind == "" && len(d.Kinds) == 1 {
		return *d, d.Kinds[0], nil
	}
	for _, k := range d.Kinds {
		if k.Name == kind {
			return *d, k, nil
		}
	}
	if kind == "" {
		return *d, Kind{}, fmt.Errorf("desk %q has several kinds of caller: name one", d.Name)
	}
	return *d, Kind{}, fmt.Errorf("desk %q knows no kind of caller %q", d.Name, kind)
}

// Pool looks up a pool.
func (f *File) Pool(name string) (Pool, bool) {
	for _, p := range f.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// Digest names a file by what it says, not by its spelling.
func Digest(file []byte) string {
	sum := sha256.Sum256(strict.Canonical(file))
	return hex.EncodeToString(sum[:6])
}

// Stored is the register's value: the file, and the ids of the latest applies,
// so that an operator can ask what became of one.
type Stored struct {
	File json.RawMessage `json:"file"`
	// Edition is the operators' own number of the file, and Source the form it came in,
	// where that is not the file itself; both are kept for reading back.
	Edition uint64          `json:"edition,omitempty"`
	Source  json.RawMessage `json:"source,omitempty"`
	Applied []Applied       `json:"applied"`
}

// Applied is one accepted apply.
type Applied struct {
	ID     string `json:"id"`
	Serial uint64 `json:"serial"`
}

// A register remembers so many applies at least, and at most; between them, those that
// are not old (Memory).
const (
	KeepApplied = 64
	MostApplied = 4096
)

// Next is the value that takes a file on top of what is stored. The file came as
// itself, so that no source stands for it; the edition never falls.
func (s Stored) Next(file json.RawMessage, id string, serial uint64) Stored {
	return s.NextEdition(file, id, serial, s.Edition, nil)
}

// NextEdition is Next for a file with the operators' own number, made from a source
// that is kept for reading back; nil: the file itself.
func (s Stored) NextEdition(file json.RawMessage, id string, serial, edition uint64, source json.RawMessage) Stored {
	applied := append(append([]Applied(nil), s.Applied...), Applied{id, serial})
	return Stored{File: file, Edition: edition, Source: source, Applied: applied}
}

// Find looks for an accepted apply.
func (s Stored) Find(id string) (uint64, bool) {
	for _, a := range s.Applied {
		if a.ID == id {
			return a.Serial, true
		}
	}
	return 0, false
}
