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
}

// Control is one node's way to the control state; safe for concurrent use.
type Control struct {
	registers Registers
	patience  time.Duration
}

// New makes one; an operation that is not decided within the patience is not done, or
// its outcome is unknown.
func New(r Registers, patience time.Duration) *Control { return &Control{r, patience} }

// Read reads one key through its holder: linearizable. The fault is not-run.
func (c *Control) Read(ctx context.Context, key string) (register.Cell, *verdict.Error) {
	res := c.registers.Do(ctx, register.Request{Key: key, Read: true, Patience: c.patience})
	if res.Outcome != register.Done {
		return register.Cell{}, &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: "no-majority",
			Reason: "no majority of the disks replied", RetryAfter: time.Second}
	}
	return res.Cell, nil
}

// DeskInForce reads the newest desk file, linearizably: what is stored and the
// register's serial, 0 where there is none yet. The fault is not-run.
func (c *Control) DeskInForce(ctx context.Context) (desk.Stored, uint64, *verdict.Error) {
	cell, fault := c.Read(ctx, core.KeyDesk)
	if fault != nil || cell.Serial == 0 {
		return desk.Stored{}, 0, fault
	}
	stored, err := desk.DecodeStored(cell.Value)
	if err != nil {
		return stored, cell.Serial, &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusInternalServerError, Code: "unreadable",
			Reason: "the stored desk file cannot be read", Cause: err}
	}
	return stored, cell.Serial, nil
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
}

// ApplyDesk takes a whole desk file, or nothing of it (section 4.3). The fault says
// why nothing was tried.
func (c *Control) ApplyDesk(ctx context.Context, e Edit) (Outcome, *verdict.Error) {
	if e.ID == "" {
		e.ID = c.registers.OpID()
	}
	stored, serial, fault := c.DeskInForce(ctx)
	if fault != nil {
		return Outcome{Outcome: register.NotDone}, fault
	}
	if serial, had := stored.Find(e.ID); had {
		return Outcome{Outcome: register.Done, Serial: serial, Repeated: true}, nil
	}
	if serial != e.Base {
		return Outcome{Outcome: register.Conflict, Serial: serial}, nil
	}
	next := stored.Next(e.File, e.ID, e.Base+1)
	next.Edition, next.Source = e.Edition, e.Source
	value, err := next.Encode()
	if err != nil {
		return Outcome{Outcome: register.NotDone}, &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusInternalServerError, Code: "unreadable",
			Reason: "the desk file cannot be stored", Cause: err}
	}
	res := c.registers.Do(ctx, register.Request{Key: core.KeyDesk, Base: e.Base, Op: "desk:" + e.ID, Value: value, Patience: c.patience})
	c.registers.Hurry()
	return Outcome{Outcome: res.Outcome, Serial: res.Cell.Serial}, nil
}

// Change edits a key on top of whatever it holds: next derives the value, or gives
// none where there is nothing to change, and then the outcome is Done under the serial
// that stands. An edit that comes between is no loss: the next value is derived from
// that one; Conflict means that others kept coming between.
func (c *Control) Change(ctx context.Context, key string, next func(register.Cell) []byte) (Outcome, *verdict.Error) {
	op := c.registers.OpID()
	for range 4 {
		cell, fault := c.Read(ctx, key)
		if fault != nil {
			return Outcome{Outcome: register.NotDone}, fault
		}
		value := next(cell)
		if value == nil {
			return Outcome{Outcome: register.Done, Serial: cell.Serial, Repeated: true}, nil
		}
		res := c.registers.Do(ctx, register.Request{Key: key, Base: cell.Serial, Op: op, Value: value, Patience: c.patience})
		c.registers.Hurry()
		switch res.Outcome {
		case register.Done:
			return Outcome{Outcome: register.Done, Serial: cell.Serial + 1}, nil
		case register.Conflict:
			continue
		}
		return Outcome{Outcome: register.Unknown}, nil
	}
	return Outcome{Outcome: register.Conflict}, nil
}

// EmptySite empties a site, or brings it back, and gives the emptied ones by name.
func (c *Control) EmptySite(ctx context.Context, site string, empty bool) (Outcome, []string, *verdict.Error) {
	var now []string
	out, fault := c.Change(ctx, core.KeySites, func(cell register.Cell) []byte {
		next := engine.SiteState{Empty: map[string]bool{}}
		_ = json.Unmarshal(cell.Value, &next)
		if empty {
			next.Empty[site] = true
		} else {
			delete(next.Empty, site)
		}
		value, err := json.Marshal(next)
		if err != nil {
			panic(err) // a map of texts always encodes
		}
		now = Names(next.Empty)
		return value
	})
	return out, now, fault
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
