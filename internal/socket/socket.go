// Package socket holds what the standard library does not tell of a connection.
package socket

import (
	"net"
	"syscall"
)

// Silent reports whether an idle connection is still open and nothing unasked
// has come on it. A far end that went away, or said farewell, is noticed here,
// before a request is sent whose outcome would then be unknown. Connections
// without a descriptor, as under TLS, count as silent: only use can tell.
func Silent(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = err == syscall.EAGAIN
	})
	return err == nil && silent
}
