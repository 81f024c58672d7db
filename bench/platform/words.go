// Package platform is our own stand-in of the users' platform, written from its pages:
// engines with two stages, the list of engines, the operator, clients that try again,
// the way in, and an auditor that knows the rules. All of it stands on one network,
// in memory or on loopback, and records what it saw on its own connections.
package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// Headers of the platform.
const (
	HeaderAttempt  = "X-Linedrum-Attempt-Id"
	HeaderLeft     = "X-Linedrum-Time-Left"
	HeaderSeal     = "X-Linedrum-Server-Seal"
	HeaderNotRun   = "X-Linedrum-Not-Run"
	HeaderExpect   = "X-Linedrum-Expect-Server"
	HeaderServer   = "X-Linedrum-Server-Id"
	HeaderLoad     = "X-Linedrum-Server-Load"
	HeaderCold     = "X-Linedrum-Cold-Ms"
	HeaderModel    = "X-Linedrum-Model"
	HeaderTokens   = "X-Linedrum-Token-Count"
	HeaderParts    = "X-Linedrum-Prompt-Prefix"
	HeaderStage    = "X-Linedrum-Stage"
	HeaderSource   = "X-Linedrum-Prompt-Source"
	HeaderUrgency  = "X-Linedrum-Urgency"
	HeaderVersion  = "X-Linedrum-Expect-Version"
	HeaderVersions = "X-Linedrum-Weight-Versions"
	HeaderResume   = "Last-Event-Id"
)

// Stages of an engine.
const (
	StagePrompt   = "prompt"
	StageGenerate = "generate"
)

// Kinds of routes.
const (
	KindReadOnly = "read_only"
	KindChanging = "changing"
	KindStream   = "stream"
)

// Config is one whole configuration.
type Config struct {
	Version  int       `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Route says which requests go to which services.
type Route struct {
	Name    string  `json:"name"`
	Host    string  `json:"host"`
	Path    string  `json:"path_start"`
	Kind    string  `json:"kind"`
	GiveUp  int     `json:"give_up_ms"`
	Target  int     `json:"target_ms"`
	Urgency int     `json:"urgency"`
	Service string  `json:"service,omitempty"`
	Shares  []Share `json:"shares,omitempty"`
	Tries   int     `json:"tries"`
	Sticky  bool    `json:"sticky"`
	PickUp  bool    `json:"pick_up"`
	Gap     int     `json:"gap_target_ms,omitempty"`
}

// Share is a part of a route's requests.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Service is a pool of engines, as the configuration tells it.
type Service struct {
	Name     string  `json:"name"`
	Health   string  `json:"health_path"`
	MaxConns int     `json:"max_conns"`
	Protocol string  `json:"protocol"`
	TLS      bool    `json:"tls"`
	Warmup   float64 `json:"warmup_s"`
	Warming  float64 `json:"warming_per_s"`
	Engine   *Facts  `json:"engine,omitempty"`

	plain *PlainService // nil: its engines have stages and models
}

// Facts are what is so of every engine of a service.
type Facts struct {
	Slots      int     `json:"slots"`
	Memory     int     `json:"memory_tokens"`
	TokenBytes int     `json:"token_bytes"`
	Link       float64 `json:"link_mbps"`
	Interval   int     `json:"interval"`
	Hold       float64 `json:"handle_hold_s"`
	Switch     float64 `json:"switch_s"`
	Models     []Model `json:"models"`
}

// Model is one that engines hold.
type Model struct {
	Name     string   `json:"name"`
	Version  int      `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

// Limits bound what clients may do.
type Limits struct {
	Header     int `json:"max_header_bytes"`
	Body       int `json:"max_body_bytes"`
	HeaderWait int `json:"header_wait_ms"`
	Idle       int `json:"idle_ms"`
}

// Patch changes named items.
type Patch struct {
	Version int `json:"version"`
	Add     struct {
		Routes   []Route   `json:"routes,omitempty"`
		Services []Service `json:"services,omitempty"`
	} `json:"add_or_replace"`
	Remove struct {
		Routes   []string `json:"routes,omitempty"`
		Services []string `json:"services,omitempty"`
	} `json:"remove"`
}

// Over gives the configuration that a patch makes of another.
func (p Patch) Over(c Config) Config {
	out := c
	out.Version = p.Version
	out.Routes = edit(c.Routes, p.Add.Routes, p.Remove.Routes, func(r Route) string { return r.Name })
	out.Services = edit(c.Services, p.Add.Services, p.Remove.Services, func(s Service) string { return s.Name })
	return out
}

func edit[T any](had, add []T, remove []string, name func(T) string) []T {
	gone, fresh := map[string]bool{}, map[string]T{}
	for _, n := range remove {
		gone[n] = true
	}
	for _, item := range add {
		fresh[name(item)] = item
	}
	var out []T
	for _, item := range had {
		if better, ok := fresh[name(item)]; ok {
			out = append(out, better)
			delete(fresh, name(item))
		} else if !gone[name(item)] {
			out = append(out, item)
		}
	}
	for _, item := range add {
		if _, ok := fresh[name(item)]; ok {
			out = append(out, item)
		}
	}
	return out
}

// Find is the route of a request; nil: none.
func (c *Config) Find(host, path string) *Route {
	var best *Route
	for i, r := range c.Routes {
		if r.Host == host && strings.HasPrefix(path, r.Path) && (best == nil || len(r.Path) > len(best.Path)) {
			best = &c.Routes[i]
		}
	}
	return best
}

// Allows tells whether a request may go to a service.
func (c *Config) Allows(host, path, service string) bool {
	r := c.Find(host, path)
	if r == nil {
		return false
	}
	for _, name := range r.services() {
		if name == service {
			return true
		}
	}
	return false
}

func (r *Route) services() (out []string) {
	if len(r.Shares) == 0 {
		return []string{r.Service}
	}
	for _, s := range r.Shares {
		if s.Weight > 0 {
			out = append(out, s.Service)
		}
	}
	return out
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindReadOnly || r.Kind == KindStream && r.PickUp
}

// same tells whether two configurations say the same, whatever the order of names.
func same(a, b []byte) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	p, _ := json.Marshal(x)
	q, _ := json.Marshal(y)
	return bytes.Equal(p, q)
}

func marshal(v any) []byte {
	b, _ := json.Marshal(v)
	return b
}

// Listed is one engine as the list gives it.
type Listed struct {
	Service string  `json:"service"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Version string  `json:"version"`
	Slots   int     `json:"slots"`
	State   string  `json:"state"`
	Cold    int64   `json:"cold_left_ms"`
	Stage   string  `json:"stage"`
	Models  []Model `json:"models"`
	ID      string  `json:"id"`
}

// Report is what an engine says of itself.
type Report struct {
	Stage   string  `json:"stage"`
	Models  []Model `json:"models"`
	Busy    bool    `json:"busy"`
	Calls   int     `json:"call_count"`
	Waiting int     `json:"waiting"`
	Running int     `json:"running"`
	Used    int     `json:"memory_used"`
	Total   int     `json:"memory_total"`
	Handles int     `json:"prompt_handles"`
}

// Order is what an engine is told to be.
type Order struct {
	Operation string  `json:"operation"`
	Stage     string  `json:"stage,omitempty"`
	Holder    string  `json:"holder"`
	Fence     *uint64 `json:"fence"`
	Expected  *int    `json:"expected,omitempty"`
}

// Part is a piece of a prompt.
type Part struct {
	ID     string
	Tokens int
}

func formatParts(parts []Part) string {
	var out []string
	for _, p := range parts {
		out = append(out, fmt.Sprintf("%s:%d", p.ID, p.Tokens))
	}
	return strings.Join(out, ",")
}

func parseParts(text string) (out []Part) {
	for one := range strings.SplitSeq(text, ",") {
		id, tokens, ok := strings.Cut(one, ":")
		var n int
		if _, err := fmt.Sscan(tokens, &n); ok && err == nil {
			out = append(out, Part{id, n})
		}
	}
	return out
}
