// Package control is what operators and a platform do to a fleet, whatever face they
// come by: read and edit the desk file, the list of engines and the emptied sites, all
// by compare-and-set on their registers (design.md section 4).
package control

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"linedrum.example/linedrum/core"
	"linedrum.example/linedrum/desk"
	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/lease"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/verdict"
)

// Registers is the control state as one node reaches it.
type Registers interface {
	// Do performs one operation and waits for its outcome.
	Do(ctx context.Context, req register.Request) register.Result
	// OpID names one write.
	OpID() string
	// Hurry has the permit renewed at once: something was written.
	Hurry()
	// Seen is what this node holds of a key now, without asking anybody.
	Seen(key string) register.Entry
	// Awake tells that this node has run without a break for a moment; else what is
	// read now may have lain in a socket, for nobody knows how long.
	Awake() bool
}

// Control is one node's way to the control state; safe for concurrent use.
type Control struct {
	registers Registers
	clock     lease.Clock
	inForce   time.Duration
	applies   *desk.Memory
}

// New makes one for a fleet with the in-force bound. An operation that is not decided
// within twice the bound is not done, or its outcome is unknown. An apply is remembered
// for keep at least.
func New(r Registers, clock lease.Clock, inForce, keep time.Duration) *Control {
	return &Control{registers: r, clock: clock, inForce: inForce, applies: desk.NewMemory(keep)}
}

// Applied takes note of the applies that a desk file in force remembers.
func (c *Control) Applied(applies []desk.Applied) { c.applies.Note(applies, c.clock.Now()) }

const (
	// patienceBounds is how long an operation may take, in in-force bounds.
	patienceBounds = 2
	// answerWithin is how long an operator waits for an answer here: a second of silence
	// sends it to another node, so what is not decided by then is answered as such.
	answerWithin = 750 * time.Millisecond
	// answerPerByte is what an operator waits longer for each byte that it sends.
	answerPerByte = 5 * time.Microsecond
)

// AnswerWithin bounds ctx by the time that an operator's call with a body of so many
// bytes (negative: not known) is to be answered in, be it by trying elsewhere.
func AnswerWithin(ctx context.Context, bytes int64) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, answerWithin+time.Duration(max(bytes, 0))*answerPerByte)
}

// evidenceAge is how old what a majority showed may be when an answer that rests on it
// leaves, counted in boot time from when it was asked for (design.md section 4.7).
func (c *Control) evidenceAge() time.Duration { return c.inForce * 3 / 8 }

// Evidence is what a majority of the disks showed, for as long as an answer may rest on it.
type Evidence[T any] = lease.Grant[T]

// evidence is of what was asked for at a moment; it may be too old already.
func evidence[T any](c *Control, asked time.Duration, shown T) Evidence[T] {
	e, _ := lease.Give(c.clock, asked+c.evidenceAge(), shown)
	return e
}

// noMajority is the fault of an operation that nothing came of.
func noMajority() *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: "no-majority",
		Reason: "no majority of the disks replied; another node may reach one", RetryAfter: time.Second}
}

// Read reads one key through its holder: linearizable. The fault is not-run; without one
// the evidence held when the read was done.
func (c *Control) Read(ctx context.Context, key string) (Evidence[register.Entry], *verdict.Error) {
	for ctx.Err() == nil {
		asked := c.clock.Now()
		res := c.registers.Do(ctx, register.Request{Key: key, Read: true, Patience: patienceBounds * c.inForce})
		if res.Outcome != register.Done {
			break
		}
		if e := evidence(c, asked, res.Cell); e.Held() {
			return e, nil
		}
	}
	return Evidence[register.Entry]{}, noMajority()
}

// StoredDesk is the newest desk file as a majority holds it.
type StoredDesk struct {
	desk.Stored
	Serial uint64 // of the register; 0: there is none yet
}

// DeskInForce reads the newest desk file, linearizably. The fault is not-run.
func (c *Control) DeskInForce(ctx context.Context) (Evidence[StoredDesk], *verdict.Error) {
	read, fault := c.Read(ctx, core.KeyDesk)
	if fault != nil {
		return Evidence[StoredDesk]{}, fault
	}
	cell := read.Value()
	found := StoredDesk{Serial: cell.Serial}
	if cell.Serial > 0 {
		var err error
		if found.Stored, err = desk.DecodeStored(cell.Value); err != nil {
			return Evidence[StoredDesk]{}, &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusInternalServerError, Code: "unreadable",
				Reason: "the stored desk file cannot be read", Cause: err}
		}
	}
	return evidence(c, read.Until()-c.evidenceAge(), found), nil
}

// Edit is a desk file on top of the one that stands under the serial Base.
type Edit struct {
	File    json.RawMessage // checked by whoever sends it (desk.Parse)
	Source  json.RawMessage // the form that it came in, where that is not the file itself
	Edition uint64          // the operators' own number of it; 0: none
	Base    uint64
	ID      string // a repeat of the same id is recognized; empty: a new one
}

// Outcome is what became of an edit.
type Outcome struct {
	register.Outcome        // Done, Conflict, NotDone or Unknown
	Serial           uint64 // Done: of the edit. Conflict: which it lost to
	Repeated         bool   // it had been taken before, under the same id
	// Shown is how long an answer may rest on it (Done, Conflict).
	Shown lease.Holder
}

// ApplyDesk takes a whole desk file, or nothing of it (section 4.3). The fault says
// why nothing was tried.
func (c *Control) ApplyDesk(ctx context.Context, e Edit) (Outcome, *verdict.Error) {
	if e.ID == "" {
		e.ID = c.registers.OpID()
	}
	shown, fault := c.DeskInForce(ctx)
	if fault != nil {
		return Outcome{Outcome: register.NotDone}, fault
	}
	stored := shown.Value()
	if serial, had := stored.Find(e.ID); had {
		return Outcome{Outcome: register.Done, Serial: serial, Repeated: true, Shown: shown}, nil
	}
	if stored.Serial != e.Base {
		return Outcome{Outcome: register.Conflict, Serial: stored.Serial, Shown: shown}, nil
	}
	next := stored.Next(e.File, e.ID, e.Base+1)
	next.Edition, next.Source = e.Edition, e.Source
	c.Applied(stored.Applied)
	next.Applied = c.applies.Prune(next.Applied, c.clock.Now())
	value, err := next.Encode()
	if err != nil {
		return Outcome{Outcome: register.NotDone}, &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusInternalServerError, Code: "unreadable",
			Reason: "the desk file cannot be stored", Cause: err}
	}
	asked := c.clock.Now()
	res := c.registers.Do(ctx, register.Request{Key: core.KeyDesk, Base: e.Base, Op: "desk:" + e.ID, Value: value, Patience: patienceBounds * c.inForce})
	c.registers.Hurry()
	return Outcome{Outcome: res.Outcome, Serial: res.Cell.Serial, Shown: evidence(c, asked, res.Cell)}, nil
}

// Change edits a key on top of whatever it holds: next derives the value, or gives
// none where there is nothing to change, and then the outcome is Done under the serial
// that stands. An edit that comes between is no loss: the next value is derived from
// that one; Conflict means that others kept coming between.
func (c *Control) Change(ctx context.Context, key string, next func(register.Entry) []byte) (Outcome, *verdict.Error) {
	op := c.registers.OpID()
	for range 4 {
		shown, fault := c.Read(ctx, key)
		if fault != nil {
			return Outcome{Outcome: register.NotDone}, fault
		}
		cell := shown.Value()
		value := next(cell)
		if value == nil {
			return Outcome{Outcome: register.Done, Serial: cell.Serial, Repeated: true, Shown: shown}, nil
		}
		asked := c.clock.Now()
		res := c.registers.Do(ctx, register.Request{Key: key, Base: cell.Serial, Op: op, Value: value, Patience: patienceBounds * c.inForce})
		c.registers.Hurry()
		switch res.Outcome {
		case register.Done:
			return Outcome{Outcome: register.Done, Serial: cell.Serial + 1, Shown: evidence(c, asked, res.Cell)}, nil
		case register.Conflict:
			continue
		}
		return Outcome{Outcome: register.Unknown}, nil
	}
	return Outcome{Outcome: register.Conflict}, nil
}

// EmptySite empties a site, or brings it back, and gives the emptied ones by name. It is
// to be called as soon as the order was read: one that was held up, here or on its way,
// must not be carried out when the operator has gone on. So it turns a site over only
// where no order for that site was taken since what this node knew when it came (section
// 4.8); else it is to be sent again. An order that turns nothing over is written all the
// same: earlier ones, held up or held by a minority of the disks, are dead from then on.
func (c *Control) EmptySite(ctx context.Context, site string, empty bool) (Outcome, []string, *verdict.Error) {
	if !c.registers.Awake() {
		return Outcome{Outcome: register.NotDone}, nil, heldUp()
	}
	began, seen := c.clock.Now(), siteState(c.registers.Seen(core.KeySites))
	var now []string
	late := false
	out, fault := c.Change(ctx, core.KeySites, func(cell register.Entry) []byte {
		next := siteState(cell)
		late = ctx.Err() != nil || c.clock.Now()-began > c.inForce
		turns := next.Empty[site] != empty
		if late = late || turns && next.Ordered[site] != seen.Ordered[site]; late {
			return nil
		}
		next.Ordered[site] = cell.Serial + 1
		if empty {
			next.Empty[site] = true
		} else if next.Empty[site] {
			delete(next.Empty, site)
			next.Back[site] = cell.Serial + 1
		}
		value, err := json.Marshal(next)
		if err != nil {
			panic(err) // a map of texts always encodes
		}
		now = Names(next.Empty)
		return value
	})
	if late && fault == nil {
		return Outcome{Outcome: register.NotDone}, nil, heldUp()
	}
	return out, now, fault
}

// heldUp refuses an order that may be an old one.
func heldUp() *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: "held-up",
		Reason: "the order may have been held up; send it again", RetryAfter: time.Second}
}

func siteState(cell register.Entry) engine.SiteState {
	state := engine.SiteState{}
	_ = json.Unmarshal(cell.Value, &state)
	if state.Empty == nil {
		state.Empty = map[string]bool{}
	}
	if state.Back == nil {
		state.Back = map[string]uint64{}
	}
	if state.Ordered == nil {
		state.Ordered = map[string]uint64{}
	}
	return state
}

// Names lists a set in order.
func Names(set map[string]bool) []string {
	out := []string{}
	for name := range set {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// Status is one node's view of the fleet.
type Status struct {
	Node struct {
		Addr        string `json:"addr"`
		Site        string `json:"site"`
		Incarnation uint64 `json:"incarnation"`
		Disk        string `json:"disk,omitempty"`
		DiskTrusted *bool  `json:"disk_trusted,omitempty"`
		DiskState   string `json:"disk_state,omitempty"`
		Permit      bool   `json:"permit"`
		PermitMS    int64  `json:"permit_ms"`
		Stopping    bool   `json:"stopping"`
	} `json:"node"`
	DiskSet any `json:"disk_set"`
	InForce struct {
		Desk    uint64 `json:"desk"`
		Engines uint64 `json:"engines"`
		Sites   uint64 `json:"sites"`
		// Windows of once-only keys: the open one, and below which all are forgotten.
		Windows register.Windows `json:"windows"`
	} `json:"in_force"`
	EmptySites []string       `json:"empty_sites"`
	Members    []MemberStatus `json:"members"`
	Keys       []KeyStatus    `json:"keys"`
	Engines    []EngineStatus `json:"engines"`
	Queues     map[string]int `json:"queues"`
}

// MemberStatus is one entry of the membership table.
type MemberStatus struct {
	Addr        string `json:"addr"`
	HTTP        string `json:"http"`
	Site        string `json:"site"`
	Incarnation uint64 `json:"incarnation"`
	Disk        string `json:"disk,omitempty"`
	Departed    bool   `json:"departed,omitempty"`
}

// KeyStatus is one key of the control state.
type KeyStatus struct {
	Key    string `json:"key"`
	Owner  string `json:"owner"`
	Epoch  uint64 `json:"epoch"`
	Holder string `json:"holder"`
	Serial uint64 `json:"serial"`
}

// EngineStatus is one engine as the node sees it.
type EngineStatus struct {
	engine.Listed
	Role    string `json:"role"`
	Reports string `json:"reports"`
	Running int    `json:"running"`
	Slots   int    `json:"slots"`
	AgeMS   int64  `json:"age_ms"`
	Silent  bool   `json:"silent"`
}
