// Package pairing nominates the engine that reads a request's prompt and the one
// that writes its reply (design.md section 5.4). It is pure: its owner hands it
// a picture of the engines and gets a pair with its scores.
package pairing

import (
	"hash/fnv"
	"time"

	"linedrum.example/linedrum/engine"
)

// Server is one engine as this node sees it at one instant.
type Server struct {
	engine.Listed
	Role     string        // of the role table in force
	Load     engine.Load   // its last report
	Seen     bool          // there is a report that is not too old
	Age      time.Duration // since the engine started
	Inflight int           // goes of this node that it has not finished
	Since    int           // goes of this node begun since its last report, less those ended
	Resting  bool          // it failed a go a moment ago
	Kept     int           `json:",omitempty"` // tokens at the chain's beginning that this node believes it keeps
	// Backlog is how long it reads on what came before, as far as this node knows.
	Backlog time.Duration `json:",omitempty"`
	Cold    time.Duration `json:",omitempty"` // it stays cold for so long yet
	Quiet   time.Duration `json:",omitempty"` // since this node last began a go there
	Recent  int           `json:",omitempty"` // goes that this machine may have sent there within ColdWindow
	// Idle is how many unused connections this node may keep to it; 0: no bound; NoIdle.
	Idle int `json:",omitempty"`
}

// View is everything else that a nomination rests on.
type View struct {
	Pool     string
	Site     string          // the nominating node's own
	Self     string          `json:",omitempty"` // the nominating node
	Empty    map[string]bool // emptied sites
	SiteCost float64
	Prefix   string // first part of the prompt, equal for requests that share it
	Ramp     time.Duration
	Nodes    int // of the fleet
	Rank     int // this node's place among them
	// Partial: the node's table has not held the whole fleet yet, so that its place
	// may be another's.
	Partial bool
	// Slow is the extra cost of links between engines, from hand-overs seen.
	Slow []Link
	// What the request is known to ask; nought where its face does not say.
	Parts  []engine.Part `json:",omitempty"` // the prompt's chain
	Tokens int           `json:",omitempty"` // of the whole prompt
	Out    int           `json:",omitempty"` // most tokens to be put out
	Pause  time.Duration `json:",omitempty"` // longest one between pieces that is in time; 0: none
	Aim    time.Duration `json:",omitempty"` // what is left of the time for a first piece
	// DirectOnly: the request can bear no further prefill, so a writer must read it.
	DirectOnly bool `json:",omitempty"`
	Engine     Facts
	Told       bool          `json:",omitempty"` // backlogs are told among the nodes: the engines' reports of reads add nothing
	WarmRate   float64       `json:",omitempty"` // requests a second that a cold engine bears, of all nodes
	WarmFor    time.Duration `json:",omitempty"` // an engine is cold for so long from its start
	// Plain: the pool's engines have no roles, and one of them takes the request whole.
	Plain bool `json:",omitempty"`
	// Pace is what times of reading are multiplied by; 0 stands for 1.
	Pace float64 `json:",omitempty"`
	// Connections is the most that all nodes together may have to one engine; 0: no bound.
	Connections int `json:",omitempty"`
}

// Facts are what all engines of a pool have in common; 0 where it is not known.
type Facts struct {
	Slots        int     `json:",omitempty"`
	MemoryTokens int     `json:",omitempty"`
	TokenBytes   int     `json:",omitempty"`
	LinkMbps     float64 `json:",omitempty"`
}

// Link is what the way from one engine to another costs on top.
type Link struct {
	Reader, Writer string
	Cost           float64
}

func (v View) slow(reader, writer string) float64 {
	for _, l := range v.Slow {
		if l.Reader == reader && l.Writer == writer {
			return l.Cost
		}
	}
	return 0
}

// Score is what one engine came to, for explaining.
type Score struct {
	Server string  `json:"server"`
	Score  float64 `json:"score"`
	Why    string  `json:"why,omitempty"` // why it is out of the question
}

// Pair is a nomination. A direct one has no reader: the writer reads by itself.
type Pair struct {
	Reader, Writer Server
	Direct         bool
	Takes          time.Duration // the read, as estimated; 0 where no size is known
	Pace           float64       // that it was estimated by
	Readers        []Score
	Writers        []Score
}

// Allowed is how many more goes this node may begin at an engine now.
//
// What was free at the engine's last report is dealt out over the fleet, so that
// all nodes together hardly fill it beyond its slots; where they do, since they
// saw it at different moments, the engine refuses and nothing is lost. A fresh
// engine is too fragile for that: its slots, which grow over the ramp, are dealt
// out for good, whatever was reported (section 5.5).
func (v View) Allowed(s Server) int {
	total := v.slots(s)
	if v.WarmRate > 0 {
		if v.cold(s) && !v.warming(s) {
			return 0
		}
		free := max(total-s.Load.Running-s.Load.Waiting, 0)
		return max(max(v.deal(free, s.Name, s.Load.Running), spare(free, total))-s.Since, 0)
	}
	fresh := v.Ramp > 0 && s.Age < v.Ramp
	if fresh {
		total = max(1, int(float64(total)*float64(s.Age)/float64(v.Ramp)))
	}
	more := v.deal(max(total-s.Load.Running-s.Load.Waiting, 0), s.Name, s.Load.Running) - s.Since
	if fresh {
		whole := v.deal(total, s.Name, 0)
		if v.Partial {
			whole = total / max(v.Nodes, 1)
		}
		more = min(whole-s.Inflight, max(more, total-s.Load.Running-s.Since))
	}
	return max(more, 0)
}

// spare is what any node may begin at an engine that has much room, whatever its share.
// In a fleet of more nodes than an engine has slots, shares alone would keep most nodes
// from most engines, the home of their prompt too; few of them have a go there at the
// same moment, and the engine holds what comes beyond its slots (section 5.5).
func spare(free, total int) int {
	switch {
	case 2*free >= total:
		return 2
	case 4*free >= total:
		return 1
	}
	return 0
}

// deal gives this node its part of n, the odd ones by a turn that all nodes agree on.
func (v View) deal(n int, name string, shift int) int {
	nodes := max(v.Nodes, 1)
	share := n / nodes
	if turn := (v.Rank + int(hash(name)%uint64(nodes)) + shift) % nodes; turn < n%nodes {
		share++
	}
	return share
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	x := h.Sum64()
	// FNV of short names differs little in its high bits: mix once more.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// out says why a server cannot be nominated at all.
func (v View) out(s Server, role string) string {
	switch {
	case s.Pool != v.Pool:
		return "pool"
	case s.Leaving():
		return "leaving"
	case v.Empty[s.Site]:
		return "site emptied"
	case s.Role != role:
		return "role"
	case !s.Seen:
		return "silent"
	case v.Engine.MemoryTokens > 0 && v.tokens()+v.Out > v.Engine.MemoryTokens:
		return "too large"
	case v.Allowed(s) == 0 && v.WarmRate > 0 && v.cold(s):
		return "cold"
	case v.Allowed(s) == 0:
		return "full"
	}
	return ""
}
