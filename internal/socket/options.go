package socket

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unacked is for how long bytes that were sent may stay without an acknowledgement of
// the far end's kernel before the connection counts as dead: a few retransmissions on
// links with delays of milliseconds. A connection that went silent for good shows so,
// where no answer is due sooner; the program's own timeouts see to the rest.
const unacked = 800 * time.Millisecond

// Options bounds for how long a connection that is being opened may leave bytes
// without an acknowledgement. It is a Control function of net.Dialer.
func Options(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failed
}
