package link

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Network is what a process talks over: connections and datagrams by IP number.
type Network interface {
	Listen(addr string) (net.Listener, error)
	ListenPacket(addr string) (net.PacketConn, error)
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// Sockets is the system's network, TCP and UDP.
type Sockets struct{}

// Listen implements Network.
func (Sockets) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// ListenPacket implements Network.
func (Sockets) ListenPacket(addr string) (net.PacketConn, error) {
	return net.ListenPacket("udp", addr)
}

// Dial implements Network.
func (Sockets) Dial(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{ControlContext: lendPort}
	return dialer.DialContext(ctx, "tcp", addr)
}

// lendPort lets a listener have the port that the system gives a connection: otherwise a process
// whose port a connection was given while it was down finds it taken.
func lendPort(_ context.Context, _, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	})
}
