package fleet

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"linedrum.example/linedrum/bench/process"
	"linedrum.example/linedrum/link"
)

// Ground is what a fleet stands on: processes of this machine (Processes), or
// machines in memory (Memory).
type Ground interface {
	// Spot gives one more machine of a site so many addresses.
	Spot(site string, addrs int) ([]string, error)
	// Net is the network as the machine of an address has it; without an address,
	// as callers and operators have it.
	Net(addr string) link.Network
	// Launch starts a node's process.
	Launch(n *Node) (Process, error)
	// Log is what a node's processes have logged.
	Log(n *Node) string
}

// Process is one life of a node.
type Process interface {
	// Kill ends it at once and waits for its end.
	Kill()
	// Signal takes SIGTERM, SIGSTOP, SIGCONT and SIGHUP.
	Signal(sig syscall.Signal)
	Exited() <-chan struct{}
	ExitCode() int
}

// Build compiles the product's program into a folder, with the race detector if asked.
func Build(folder string, race bool) (string, error) {
	out := filepath.Join(folder, "linedrum")
	args := []string{"build", "-o", out}
	if race {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, "linedrum.example/linedrum/cmd/linedrum")...)
	if text, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %v: %s", err, text)
	}
	return out, nil
}

// Processes runs a built program on loopback ports that the system gives.
type Processes struct {
	Folder, Binary string
}

// Spot finds ports that are free for datagrams and connections alike.
func (Processes) Spot(_ string, addrs int) ([]string, error) {
	var out []string
	for range 32 {
		if len(out) == addrs {
			return out, nil
		}
		tcp, err := net.Listen("tcp", process.NextIP()+":0")
		if err != nil {
			return nil, err
		}
		addr := tcp.Addr().String()
		udp, err := net.ListenPacket("udp", addr)
		_ = tcp.Close()
		if err == nil {
			_ = udp.Close()
			out = append(out, addr)
		}
	}
	return nil, fmt.Errorf("no free port")
}

// Net implements Ground.
func (Processes) Net(string) link.Network { return link.Sockets{} }

func (p Processes) log(n *Node) string {
	return filepath.Join(p.Folder, fmt.Sprintf("node-%d.log", n.Index))
}

// Log implements Ground.
func (p Processes) Log(n *Node) string {
	b, _ := os.ReadFile(p.log(n))
	return string(b)
}

// Launch starts one process; its log is appended to its own file.
func (p Processes) Launch(n *Node) (Process, error) {
	n.Settings = filepath.Join(p.Folder, fmt.Sprintf("node-%d.json", n.Index))
	if err := os.WriteFile(n.Settings, n.config, 0o644); err != nil {
		return nil, err
	}
	started, err := process.StartCommand(exec.Command(p.Binary, "node", "-settings", n.Settings), p.log(n))
	if err != nil {
		return nil, err
	}
	return started, nil
}
