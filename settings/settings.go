// Package settings is what one process knows of its place: a settings file,
// with flags over it, checked strictly (docs/settings.md).
package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/juju/errors"

	"linedrum.example/linedrum/strict"
)

// Settings of one node.
type Settings struct {
	Fleet    string   `json:"fleet" need:"yes" min:"1" max:"64"`
	Listen   string   `json:"listen" need:"yes"` // ip:port between nodes, TCP and UDP
	HTTP     string   `json:"http" need:"yes"`   // ip:port for callers and operators
	Site     string   `json:"site" need:"yes" min:"1" max:"64"`
	Seeds    []string `json:"seeds" need:"yes" max:"16"`
	Founders []string `json:"founders" max:"7"`        // the first disks' listen addresses; none: the seeds
	Data     string   `json:"data"`                    // folder of the disk; none: this node has no disk
	Size     int      `json:"size" min:"0" max:"1000"` // nodes of the whole fleet; 0: as the table has it
	Bounds   Bounds   `json:"bounds"`
	Limits   Limits   `json:"limits"`
	// Zones names the region of each site; nil where all are one region.
	Zones map[string]string `json:"zones"`
	// CanLose is what may be lost at one time while every promise holds.
	CanLose CanLose `json:"can_lose"`
	// Later says that the fleet was founded before: an empty disk never founds.
	Later bool `json:"later"`
}

// CanLose is what a fleet bears at one time.
type CanLose struct {
	Machines int `json:"machines" min:"0" max:"3"` // with a disk
	Sites    int `json:"sites" min:"0" max:"3"`
}

// Bounds are the promises of the brief; every interval is a ratio to one of them (section 1.3).
type Bounds struct {
	InForce     strict.Duration `json:"in_force" min:"200ms" max:"1m"`
	EngineLeave strict.Duration `json:"engine_leave" min:"200ms" max:"1m"`
	SiteEmpty   strict.Duration `json:"site_empty" min:"200ms" max:"1m"`
	Recovery    strict.Duration `json:"recovery" min:"1s" max:"5m"`
	RetryShare  float64         `json:"retry_share" min:"0" max:"1"`
	RetryExtra  int             `json:"retry_extra" min:"0" max:"10000"`
	RetryWindow strict.Duration `json:"retry_window" min:"1s" max:"5m"`
	OnceKeep    strict.Duration `json:"once_keep" min:"1s" max:"24h"`
	Drain       strict.Duration `json:"drain" min:"1s" max:"10m"`
	CatchUp     strict.Duration `json:"catch_up" min:"200ms" max:"5m"` // a machine that is back counts as lost no longer after it
	Lease       strict.Duration `json:"lease" min:"200ms" max:"5m"`    // two holders do not give orders within it
}

// Limits on what one consumer can make a node hold.
type Limits struct {
	Body    int             `json:"body" min:"1024" max:"67108864"`
	Header  int             `json:"header" min:"1024" max:"1048576"`
	Recall  int             `json:"recall" min:"0" max:"1048576"` // longest once-only reply that is kept for repeats
	Slow    strict.Duration `json:"slow" min:"10ms" max:"5m"`     // a consumer takes no byte for this long: cut
	Waiting int             `json:"waiting" min:"1" max:"100000"` // requests in one node at once
	Records int             `json:"records" min:"1" max:"100000"` // explained requests that one node keeps
	// Memory and Files are what the machine gives the process: bytes, and open descriptors. What
	// peers may hold is made from them (package budget).
	Memory int64 `json:"memory" min:"67108864" max:"1099511627776"`
	Files  int   `json:"open_files" min:"320" max:"1048576"`
	// Log is how many bytes of log lines wait at most for whoever reads them; further ones are lost.
	Log int `json:"log" min:"4096" max:"67108864"`
}

// ErrNotWhole is given where a settings file is not there, is empty, or is cut off: whoever writes it
// may not be done.
const ErrNotWhole = errors.ConstError("the settings file is not there, or not whole")

// ReadFile reads a settings file. Its error is ErrNotWhole where a later try may find more.
func ReadFile(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithType(errors.Trace(err), ErrNotWhole)
	}
	if len(bytes.TrimSpace(b)) == 0 {
		return nil, errors.Annotate(ErrNotWhole, path)
	}
	return b, nil
}

// FirstDisks lists the nodes whose disks form the first set: the founders, or the
// seeds where none are named. A fleet that was founded before has none (section 3.5).
func (s Settings) FirstDisks() []string {
	switch {
	case s.Later:
		return nil
	case len(s.Founders) > 0:
		return s.Founders
	}
	return s.Seeds
}

// BornBy gives the settings of a node whose disk was born when these nodes were to
// found the fleet: it keeps to them, whatever the seeds are by now. None: the disk was
// born later.
func (s Settings) BornBy(first []string) Settings {
	if s.Later || len(s.Founders) == 0 {
		s.Founders, s.Later = first, len(first) == 0
	}
	return s
}

// DefaultLog is limits.log where nobody says otherwise, and until the settings are read: bytes.
const DefaultLog = 256 << 10

// Default fills what a file need not say.
func Default() Settings {
	d := func(v time.Duration) strict.Duration { return strict.Duration(v) }
	return Settings{
		Bounds: Bounds{
			InForce: d(2 * time.Second), EngineLeave: d(3 * time.Second), SiteEmpty: d(5 * time.Second),
			Recovery: d(12 * time.Second), RetryShare: 0.2, RetryExtra: 60, RetryWindow: d(10 * time.Second),
			OnceKeep: d(10 * time.Minute), Drain: d(time.Minute), CatchUp: d(30 * time.Second), Lease: d(3 * time.Second),
		},
		Limits: Limits{Body: 1 << 20, Header: 16 << 10, Recall: 16 << 10, Slow: d(10 * time.Second), Waiting: 4096, Records: 2048, Memory: 1 << 30, Files: 8192, Log: DefaultLog},
	}
}

// Parse reads and checks a settings file's bytes over the defaults.
func Parse(b []byte) (Settings, strict.Faults) { return ParseOver(b, func(*Settings) {}) }

// ParseOver is Parse with flags that stand over the file. A key that a flag
// gives need not be in the file.
func ParseOver(b []byte, flags func(*Settings)) (Settings, strict.Faults) {
	s := Default()
	faults := strict.Load(b, &s)
	flags(&s)
	var left strict.Faults
	for _, f := range faults {
		if f.Reason == strict.Missing && (f.Place == "listen" && s.Listen != "" || f.Place == "http" && s.HTTP != "" ||
			f.Place == "site" && s.Site != "" || f.Place == "seeds" && s.Seeds != nil) {
			continue
		}
		left = append(left, f)
	}
	if len(left) > 0 {
		return s, left
	}
	return s, s.Check()
}

// Check finds what strict types cannot.
func (s Settings) Check() strict.Faults {
	var faults strict.Faults
	checkAddr(&faults, "listen", s.Listen)
	checkAddr(&faults, "http", s.HTTP)
	for i, seed := range s.Seeds {
		checkAddr(&faults, place("seeds", i), seed)
	}
	had := map[string]bool{}
	founder := false
	for i, addr := range s.Founders {
		checkAddr(&faults, place("founders", i), addr)
		if had[addr] {
			faults.Add(place("founders", i), "is named twice")
		}
		had[addr] = true
		founder = founder || addr == s.Listen
	}
	if len(s.Founders) > 0 && s.Size == 0 {
		faults.Add("size", "is missing, though founders are named")
	}
	if founder && s.Data == "" {
		faults.Add("data", "is missing, though this node is a founder")
	}
	if s.Listen == s.HTTP && s.Listen != "" {
		faults.Add("http", "must differ from listen")
	}
	if s.Bounds.RetryWindow < s.Bounds.InForce {
		faults.Add("bounds.retry_window", "must not be shorter than bounds.in_force")
	}
	return faults
}

func place(key string, i int) string { return fmt.Sprintf("%s[%d]", key, i) }

func checkAddr(faults *strict.Faults, at, addr string) {
	ap, err := netip.ParseAddrPort(addr)
	switch {
	case err != nil:
		faults.Add(at, "%q is not an IP number with a port", addr)
	case ap.Port() == 0:
		faults.Add(at, "%q has no port", addr)
	case ap.Addr().IsUnspecified():
		faults.Add(at, "%q must be one address that others can reach", addr)
	}
}
