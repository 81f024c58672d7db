package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/pprof"
	"strings"
	"sync"

	"github.com/apex/log"
	logjson "github.com/apex/log/handlers/json"
	"golang.org/x/sys/unix"

	"linedrum.example/linedrum/boot"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/node"
	"linedrum.example/linedrum/settings"
	"linedrum.example/linedrum/wal"
	"linedrum.example/linedrum/wire"
)

// What a process of hollow nodes is told.
const (
	opStart   = "start"
	opStop    = "stop"
	opKill    = "kill"
	opSample  = "sample"
	opProfile = "profile"
)

type order struct {
	ID       uint64
	Op       string
	Node     int             `json:",omitempty"`
	Life     uint64          `json:",omitempty"` // seeds this life's randomness, with Seed
	Seed     uint64          `json:",omitempty"`
	Settings json.RawMessage `json:",omitempty"`
	Path     string          `json:",omitempty"`
}

type answer struct {
	ID     uint64
	Err    string  `json:",omitempty"`
	Sample *Sample `json:",omitempty"`
}

// Sample is one process at one moment.
type Sample struct {
	At    int64 // boot time, ns
	CPU   int64 // user and system, ns
	RSS   int64 // bytes
	Heap  int64 // bytes in use
	Nodes map[int]Counts
}

// host runs hollow nodes in one process.
type host struct {
	crew *lifecycle.Crew
	mu   sync.Mutex
	runs map[int]*run
	out  *json.Encoder
	prof *os.File
}

type run struct {
	counter *counter
	node    *node.Node
}

// Host runs hollow nodes as its parent tells it on in, until in ends.
func Host(in io.Reader, out io.Writer) error {
	h := &host{crew: lifecycle.New(context.Background()), runs: map[int]*run{}, out: json.NewEncoder(out)}
	orders := json.NewDecoder(in)
	for {
		var o order
		if err := orders.Decode(&o); err != nil {
			if err == io.EOF {
				return nil
			}
			return err
		}
		do := func(context.Context) {
			a := answer{ID: o.ID}
			if err := h.do(o, &a); err != nil {
				a.Err = err.Error()
			}
			h.mu.Lock()
			defer h.mu.Unlock()
			_ = h.out.Encode(a)
		}
		if o.Op == opSample {
			do(nil)
		} else {
			h.crew.Start(do)
		}
	}
}

func (h *host) do(o order, a *answer) (err error) {
	switch o.Op {
	case opSample:
		a.Sample, err = h.sample()
		return err
	case opProfile:
		if h.prof != nil {
			pprof.StopCPUProfile()
			return h.prof.Close()
		}
		if h.prof, err = os.Create(o.Path); err != nil {
			return err
		}
		return pprof.StartCPUProfile(h.prof)
	case opStart:
		return h.start(o)
	}
	h.mu.Lock()
	r := h.runs[o.Node]
	h.mu.Unlock()
	if r == nil || r.node == nil {
		return fmt.Errorf("node %d does not run", o.Node)
	}
	if o.Op == opStop {
		r.node.Stop()
	} else {
		r.node.Kill()
	}
	r.node = nil
	return nil
}

// start brings one life of a node up. The host port is the machine's own, but
// for its counted network and its seeded randomness.
func (h *host) start(o order) error {
	s, faults := settings.Parse(o.Settings)
	if len(faults) > 0 {
		return faults
	}
	c := newCounter(s.Listen)
	h.mu.Lock()
	if before := h.runs[o.Node]; before != nil {
		c = before.counter
		c.begins(s.Listen)
	}
	r := &run{counter: c}
	h.runs[o.Node] = r
	h.mu.Unlock()
	lines := logjson.New(c)
	both := log.HandlerFunc(func(e *log.Entry) error {
		_ = c.HandleLog(e)
		return lines.HandleLog(e)
	})
	n, err := node.Start(context.Background(), s, event.New(&log.Logger{Handler: both, Level: log.InfoLevel}), node.Host{
		Clock: boot.Clock{}, Net: c, Rand: rand.New(rand.NewPCG(o.Seed, o.Life)), Form: wire.Form,
		Folder: func(path string) (node.Folder, error) { return wal.OpenFolder(path) },
	}, node.Outside{})
	if err != nil {
		return err
	}
	r.node = n
	return nil
}

func (h *host) sample() (*Sample, error) {
	var use unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &use); err != nil {
		return nil, err
	}
	s := &Sample{At: int64(boot.Clock{}.Now()), CPU: use.Utime.Nano() + use.Stime.Nano(), Nodes: map[int]Counts{}}
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	s.Heap = int64(mem.HeapAlloc + mem.StackInuse)
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "VmRSS:") {
			var kb int64
			if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err != nil {
				return nil, err
			}
			s.RSS = kb << 10
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, r := range h.runs {
		s.Nodes[i] = r.counter.counts()
	}
	return s, nil
}
