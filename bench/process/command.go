// Package process runs the processes of a fleet under test: as programs of this system,
// or inside this process on machines in memory.
package process

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"

	"linedrum.example/linedrum/lifecycle"
)

// Command is a process of a built program.
type Command struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// StartCommand starts a program, and appends what it prints to the file at log.
func StartCommand(cmd *exec.Cmd, log string) (*Command, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return nil, err
	}
	p := &Command{cmd: cmd, exited: make(chan struct{})}
	lifecycle.New(context.Background()).Start(func(context.Context) {
		_ = cmd.Wait()
		_ = out.Close()
		close(p.exited)
	})
	return p, nil
}

// Exited is closed when the process has ended.
func (p *Command) Exited() <-chan struct{} { return p.exited }

// ExitCode is that of a process that has ended.
func (p *Command) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Signal sends the process a signal.
func (p *Command) Signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// Kill ends the process at once and waits for its end.
func (p *Command) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// addresses counts the loopback addresses that were given.
var addresses atomic.Uint32

// NextIP gives each process of each fleet a loopback address of its own, so that no
// outgoing connection takes a port that a process will listen on again.
func NextIP() string {
	n := addresses.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, n/250%250, n%250+1)
}
