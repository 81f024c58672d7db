package link

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// EndUnacknowledged has the system end a connection once what was written to it has not
// been acknowledged for a while. Without it a connection across a cut lives on: the system
// sends again at growing intervals, so that it carries nothing for as long after the cut
// as the cut took. Connections that are not the system's are left as they are.
func EndUnacknowledged(conn net.Conn, after time.Duration) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(after.Milliseconds()))
	})
}
