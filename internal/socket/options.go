package socket

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is the TCP user timeout: how long sent data may stay unacknowledged by the peer's
// kernel before the connection is closed as dead. 800 ms leave time for a few retransmissions
// on links with latencies of milliseconds. It detects a lost peer where no request
// timeout does so sooner; the application's own timeouts cover the other cases.
const userTimeout = 800 * time.Millisecond

// SetUserTimeout sets the TCP user timeout of a connection that is being opened. It is a Control
// function for net.Dialer.
func SetUserTimeout(_, _ string, conn syscall.RawConn) error {
	var optErr error
	err := conn.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return optErr
}
