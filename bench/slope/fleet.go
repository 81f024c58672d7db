package slope

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"linedrum.example/linedrum/bench/audit"
	"linedrum.example/linedrum/bench/fleet"
	"linedrum.example/linedrum/bench/standin"
	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/link"
	"linedrum.example/linedrum/settings"
	"linedrum.example/linedrum/strict"
)

// Groups of nodes by what their processes host.
const (
	GroupDisk  = "disk"  // one node with a disk in a process of its own
	GroupPlain = "plain" // one node without a disk in a process of its own
	groupRest  = "rest"  // many in one process
)

const (
	restPerProcess = 64
	plainAlone     = 3
	patience       = 30 * time.Second // for one order, times the stretch
)

type hollow struct {
	index              int
	listen, http, site string
	data               string
	proc               *proc
	lives              uint64
}

// proc is one process of hollow nodes.
type proc struct {
	group  string
	nodes  []int
	cmd    *exec.Cmd
	in     io.WriteCloser
	mu     sync.Mutex
	enc    *json.Encoder
	nextID uint64
	waits  map[uint64]chan answer
	ended  bool
}

type hollowFleet struct {
	c       Config
	crew    *lifecycle.Crew
	cleanup lifecycle.Cleanup
	procs   []*proc
	nodes   []*hollow
	folder  string
	client  *http.Client
	engines []*standin.Engine
	serial  uint64 // of the list of engines
	desk    uint64 // serial of the desk file
	lives   uint64
}

// launch starts the processes; no node runs yet.
func launch(c Config) (_ *hollowFleet, err error) {
	f := &hollowFleet{c: c, crew: lifecycle.New(context.Background()), client: standin.Client(link.Sockets{})}
	f.client.Timeout = c.real(patience)
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	if f.folder, err = os.MkdirTemp("", "linedrum-slope-"); err != nil {
		return nil, err
	}
	f.cleanup.Add(func() { _ = os.RemoveAll(f.folder) })
	f.cleanup.Add(f.crew.Stop)
	f.cleanup.Add(f.client.CloseIdleConnections)
	for i := range c.Nodes {
		h, err := f.lay(i)
		if err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, h)
	}
	var rest *proc
	for i, h := range f.nodes {
		switch {
		case i < c.Disks:
			h.proc, err = f.spawn(GroupDisk)
		case i < c.Disks+min(plainAlone, (c.Nodes-c.Disks)/3*2):
			h.proc, err = f.spawn(GroupPlain)
		default:
			if rest == nil || len(rest.nodes) == restPerProcess {
				rest, err = f.spawn(groupRest)
			}
			h.proc = rest
		}
		if err != nil {
			return nil, err
		}
		h.proc.nodes = append(h.proc.nodes, i)
	}
	return f, nil
}

func (f *hollowFleet) lay(i int) (*hollow, error) {
	sites := max(1, min(f.c.Sites, f.c.Nodes/3))
	addrs, err := fleet.Processes{}.Spot("", 2)
	if err != nil {
		return nil, err
	}
	h := &hollow{index: i, listen: addrs[0], http: addrs[1], site: fmt.Sprintf("zone-%02d", i%sites)}
	if i < f.c.Disks {
		h.data = filepath.Join(f.folder, fmt.Sprintf("disk-%d", i))
	}
	return h, nil
}

// spawn starts one process on one core's worth of threads.
func (f *hollowFleet) spawn(group string) (*proc, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &proc{group: group, cmd: exec.Command(self, f.c.HostArgs...), waits: map[uint64]chan answer{}}
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	p.cmd.Stderr = os.Stderr
	if p.in, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	p.enc = json.NewEncoder(p.in)
	f.procs = append(f.procs, p)
	ended := make(chan struct{})
	f.cleanup.Add(func() {
		_ = p.in.Close()
		_ = p.cmd.Process.Kill()
		<-ended
	})
	lifecycle.New(context.Background()).Start(func(context.Context) {
		defer close(ended)
		p.read(out)
		_ = p.cmd.Wait()
	})
	return p, nil
}

func (p *proc) read(out io.Reader) {
	answers := json.NewDecoder(out)
	for {
		var a answer
		err := answers.Decode(&a)
		p.mu.Lock()
		if err != nil {
			p.ended = true
			for _, w := range p.waits {
				close(w)
			}
			p.waits = map[uint64]chan answer{}
			p.mu.Unlock()
			return
		}
		w := p.waits[a.ID]
		delete(p.waits, a.ID)
		p.mu.Unlock()
		if w != nil {
			w <- a
		}
	}
}

// ask gives one order; the channel is closed without an answer when the process ends.
func (p *proc) ask(o order) (chan answer, error) {
	w := make(chan answer, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return nil, fmt.Errorf("a process of hollow nodes ended")
	}
	p.nextID++
	o.ID = p.nextID
	p.waits[o.ID] = w
	return w, p.enc.Encode(o)
}

// await waits for the answers of several orders.
func (f *hollowFleet) await(waits []chan answer) ([]answer, error) {
	ctx, cancel := context.WithTimeout(f.crew.Context(), f.c.real(patience))
	defer cancel()
	var out []answer
	for _, w := range waits {
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("no answer of a process of hollow nodes in time")
		case a, ok := <-w:
			if !ok {
				return nil, fmt.Errorf("a process of hollow nodes ended")
			}
			if a.Err != "" {
				return nil, fmt.Errorf("%s", a.Err)
			}
			out = append(out, a)
		}
	}
	return out, nil
}

// tell gives an order for each of some nodes and waits until all are done.
func (f *hollowFleet) tell(op string, nodes ...*hollow) error {
	var waits []chan answer
	for _, h := range nodes {
		o := order{Op: op, Node: h.index}
		if op == opStart {
			f.lives++
			o.Seed, o.Life = f.c.Seed, f.lives
			var err error
			if o.Settings, err = f.settings(h); err != nil {
				return err
			}
		}
		w, err := h.proc.ask(o)
		if err != nil {
			return err
		}
		waits = append(waits, w)
	}
	_, err := f.await(waits)
	return err
}

// settings are a node's, with every bound stretched alike: all intervals are
// ratios to bounds (docs/design.md section 1.3).
func (f *hollowFleet) settings(h *hollow) ([]byte, error) {
	b := settings.Default().Bounds
	stretched := func(d strict.Duration) string { return f.c.real(d.D()).String() }
	var founders []string
	for _, o := range f.nodes[:f.c.Disks] {
		founders = append(founders, o.listen)
	}
	return json.Marshal(map[string]any{
		"fleet": "slope", "listen": h.listen, "http": h.http, "site": h.site, "data": h.data,
		"seeds": founders[:min(3, len(founders))], "founders": founders, "size": f.c.Nodes,
		"bounds": map[string]any{
			"in_force": stretched(b.InForce), "engine_leave": stretched(b.EngineLeave), "site_empty": stretched(b.SiteEmpty),
			"recovery": stretched(b.Recovery), "retry_window": stretched(b.RetryWindow), "once_keep": stretched(b.OnceKeep),
		},
	})
}

// sample asks some groups of processes for their counts, all groups without one.
func (f *hollowFleet) sample(groups ...string) (map[*proc]*Sample, error) {
	var asked []*proc
	var waits []chan answer
	for _, p := range f.procs {
		wanted := len(groups) == 0
		for _, g := range groups {
			wanted = wanted || g == p.group
		}
		if !wanted {
			continue
		}
		w, err := p.ask(order{Op: opSample})
		if err != nil {
			return nil, err
		}
		asked, waits = append(asked, p), append(waits, w)
	}
	answers, err := f.await(waits)
	if err != nil {
		return nil, err
	}
	out := map[*proc]*Sample{}
	for i, p := range asked {
		out[p] = answers[i].Sample
	}
	return out, nil
}

// profile starts or ends a profile of the first process of each kind.
func (f *hollowFleet) profile(phase string) error {
	if f.c.Profile == "" {
		return nil
	}
	had := map[string]bool{}
	var waits []chan answer
	for _, p := range f.procs {
		if had[p.group] {
			continue
		}
		had[p.group] = true
		w, err := p.ask(order{Op: opProfile, Path: filepath.Join(f.c.Profile, fmt.Sprintf("%s-%s-%d.pprof", phase, p.group, f.c.Nodes))})
		if err != nil {
			return err
		}
		waits = append(waits, w)
	}
	_, err := f.await(waits)
	return err
}

// call is one operator's call of a node.
func (f *hollowFleet) call(h *hollow, method, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+h.http+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	res, err := f.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return res.StatusCode, text, err
}

// startEngines brings stand-ins up until there are so many.
func (f *hollowFleet) startEngines(count int) error {
	book, err := audit.NewBook[audit.EngineRecord]("")
	if err != nil {
		return err
	}
	for len(f.engines) < count {
		i := len(f.engines)
		e, err := standin.Start(f.crew, link.Sockets{}, fmt.Sprintf("e%04d", i), f.nodes[i%len(f.nodes)].site, poolName(0), engineHost+":0", standin.DefaultPace(), book)
		if err != nil {
			return err
		}
		f.engines = append(f.engines, e)
	}
	return nil
}

func (f *hollowFleet) close() { f.cleanup.Run() }
