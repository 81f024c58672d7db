package process

import (
	"context"
	"sync"
	"syscall"

	"github.com/juju/errors"

	"linedrum.example/linedrum/bench/virtual"
	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/node"
)

// Life is a running node of the system inside this process.
type Life interface {
	// Stop is SIGTERM; it returns when the process would have ended.
	Stop()
	// Kill ends it at once.
	Kill()
}

// Memory is a process on a machine in memory.
type Memory struct {
	machine *virtual.Machine
	disk    *virtual.Disk // nil: it keeps nothing
	crew    *lifecycle.Crew
	exited  chan struct{}
	stopped context.CancelFunc // tells a process that starts to stop

	mu    sync.Mutex
	life  Life // nil while it starts
	over  bool
	code  int
	ended sync.Once
}

// StartMemory runs start on a machine, with a disk if there is one; a start that fails
// ends the process with code 1. The context of start ends with SIGTERM.
func StartMemory(c *lifecycle.Crew, machine *virtual.Machine, disk *virtual.Disk, start func(ctx context.Context) (Life, error)) *Memory {
	p := &Memory{machine: machine, disk: disk, crew: c, exited: make(chan struct{})}
	ctx, cancel := context.WithCancel(c.Context())
	p.stopped = cancel
	c.Start(func(context.Context) { p.run(ctx, start) })
	return p
}

func (p *Memory) run(ctx context.Context, start func(ctx context.Context) (Life, error)) {
	life, err := start(ctx)
	switch {
	case errors.Is(err, node.ErrStopped):
		p.machine.Kill(false)
		p.end(0)
		return
	case err != nil:
		p.end(1)
		return
	}
	p.mu.Lock()
	p.life = life
	over, stopped := p.over, ctx.Err() != nil
	p.mu.Unlock()
	switch {
	case over:
		life.Kill()
		p.end(-1)
	case stopped:
		p.stopLife(life)
	}
}

func (p *Memory) end(code int) {
	p.ended.Do(func() {
		p.mu.Lock()
		p.code = code
		p.mu.Unlock()
		close(p.exited)
	})
}

// Exited is closed when the process has ended.
func (p *Memory) Exited() <-chan struct{} { return p.exited }

// ExitCode is that of a process that has ended; -1: it was killed.
func (p *Memory) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.code
}

// Kill ends the process at once: the system and the disk live on.
func (p *Memory) Kill() { p.cut(false) }

// PowerLoss takes the machine down with all that was not synced; nobody is told.
func (p *Memory) PowerLoss() { p.cut(true) }

func (p *Memory) cut(power bool) {
	select {
	case <-p.exited:
		return
	default:
	}
	p.machine.Kill(power)
	if p.disk != nil {
		p.disk.Crash(power)
	}
	p.mu.Lock()
	p.over = true
	life := p.life
	p.mu.Unlock()
	if life != nil {
		life.Kill()
		p.end(-1)
	}
	<-p.exited
}

// Signal takes SIGTERM, SIGSTOP and SIGCONT; others change nothing.
func (p *Memory) Signal(sig syscall.Signal) {
	switch sig {
	case syscall.SIGSTOP:
		p.machine.Freeze()
	case syscall.SIGCONT:
		p.machine.Thaw()
	case syscall.SIGTERM:
		p.stop()
	}
}

func (p *Memory) stop() {
	p.mu.Lock()
	p.stopped()
	life := p.life
	p.mu.Unlock()
	if life != nil { // otherwise it leaves before it serves, or right after
		p.stopLife(life)
	}
}

func (p *Memory) stopLife(life Life) {
	p.crew.Start(func(context.Context) {
		life.Stop()
		// Nothing of a process that ended stays open.
		p.machine.Kill(false)
		p.end(0)
	})
}
