// Package engine is what linedrum knows and says of model engines
// (docs/interfaces.md section 3): the platform's list, load reports, role
// orders, and the two calls that serve a request.
package engine

import (
	"fmt"
	"net/netip"

	"linedrum.example/linedrum/strict"
	"linedrum.example/linedrum/tenure"
)

// Roles.
const (
	Prefill = "prefill"
	Decode  = "decode"
	// Whole is what engines without roles do: they take each request whole.
	Whole = "whole"
)

// List is the platform's list of engines, whole, under the platform's own serial.
type List struct {
	Serial  uint64   `json:"serial" need:"yes" min:"1"`
	Engines []Listed `json:"engines" need:"yes" max:"4096"`
	// Covers is the newest serial of the sites' state whose changes this list shows:
	// engines of sites taken back later may be cold without standing here so.
	Covers uint64 `json:"covers,omitempty"`
}

// Listed is one engine of the list.
type Listed struct {
	Name  string `json:"name" need:"yes" min:"1" max:"63"`
	Addr  string `json:"addr" need:"yes"`
	Site  string `json:"site" need:"yes" min:"1" max:"64"`
	Pool  string `json:"pool" need:"yes" min:"1" max:"63"`
	State string `json:"state" any:"live leaving"`
	// What a list may say besides.
	Role   string `json:"role,omitempty" any:"prefill decode"`     // that it plays as the list has it
	Slots  int    `json:"slots,omitempty" min:"0" max:"100000"`    // requests at once
	ColdMS int64  `json:"cold_ms,omitempty" min:"0" max:"3600000"` // stays fragile for so long from when it was listed
	Life   string `json:"life,omitempty" max:"128"`                // names this life of it, where the name does not
}

// Part is one piece of a prompt that other prompts may share.
type Part struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// Left is the state of an engine that leaves.
const Left = "leaving"

// Leaving tells that this engine must get no new work.
func (l Listed) Leaving() bool { return l.State == Left }

// ParseList reads and checks a list.
func ParseList(b []byte) (*List, strict.Faults) {
	l := &List{}
	faults := strict.Load(b, l)
	names, addrs := map[string]bool{}, map[string]bool{}
	for i := range l.Engines {
		e := &l.Engines[i]
		if e.State == "" {
			e.State = "live"
		}
		at := fmt.Sprintf("engines[%d]", i)
		if ap, err := netip.ParseAddrPort(e.Addr); e.Addr != "" && (err != nil || ap.Port() == 0) {
			faults.Add(at+".addr", "%q is not an IP number with a port", e.Addr)
		}
		if names[e.Name] && e.Name != "" {
			faults.Add(at+".name", "%q is used twice", e.Name)
		}
		if addrs[e.Addr] && e.Addr != "" {
			faults.Add(at+".addr", "%q is used twice", e.Addr)
		}
		names[e.Name], addrs[e.Addr] = true, true
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return l, nil
}

// Fence orders role orders: a higher count wins, then a higher serial. A count belongs to
// one holder (package tenure).
type Fence struct {
	Count  uint64 `json:"count"`
	Holder string `json:"holder"`
	Serial uint64 `json:"serial"`
}

// Less orders fences.
func (f Fence) Less(o Fence) bool {
	if f.Count != o.Count {
		return f.Count < o.Count
	}
	if f.Holder != o.Holder {
		return f.Holder < o.Holder
	}
	return f.Serial < o.Serial
}

// Order gives an engine its role. An engine obeys it when its fence is higher
// than the last one it obeyed, and says 409 otherwise.
type Order struct {
	Pool  string `json:"pool"`
	Role  string `json:"role"`
	Fence Fence  `json:"fence"`
	// May is asked right before the first byte is written, and the order is dropped where
	// it says no: since it was made, the sender may have been frozen. nil: it may.
	May func() bool `json:"-"`
}

// Lapsed tells that the order must not be sent any more.
func (o Order) Lapsed() bool { return o.May != nil && !o.May() }

// Load is what an engine reports of itself.
type Load struct {
	Role    string `json:"role"`
	Fence   Fence  `json:"fence"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Slots   int    `json:"slots"`
	AgeMS   int64  `json:"age_ms"` // since it started, by its own boot time
	Boot    string `json:"boot"`   // names this life of it
	// What it did in the last while, for the split of roles.
	PrefillMS int64 `json:"prefill_ms"`
	DecodeMS  int64 `json:"decode_ms"`
}

// RoleTable is the register's value for one pool: who reads and who writes.
type RoleTable struct {
	Roles map[string]string `json:"roles"`
	// Record says whose orders the table stands for.
	tenure.Record
}

// SiteState is the register's value for the emptied sites.
type SiteState struct {
	Empty map[string]bool `json:"empty"`
	// Back says under which serial of this state a site was last taken back.
	Back map[string]uint64 `json:"back,omitempty"`
	// Ordered is the serial under which an order for a site was taken last.
	Ordered map[string]uint64 `json:"ordered,omitempty"`
}
