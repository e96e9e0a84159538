// Package socket holds what the standard library does not tell of a connection.
package socket

import (
	"net"
	"syscall"
)

// Closed reports whether the far end has closed a connection, and takes nothing from what
// has come on it: while something is left to be read, that is not seen. Connections without a
// descriptor, as under TLS, count as open.
func Closed(conn net.Conn) bool {
	n, known, err := peek(conn)
	return known && n <= 0 && err != syscall.EAGAIN && err != syscall.EINTR
}

// Silent reports whether an idle connection is still open and nothing unasked
// has come on it. A far end that went away, or said farewell, is noticed here,
// before a request is sent whose outcome would then be unknown. Connections
// without a descriptor, as under TLS, count as silent: only use can tell.
func Silent(conn net.Conn) bool {
	_, known, err := peek(conn)
	return !known || err == syscall.EAGAIN
}

// peek looks for a byte that can be read, without taking it. known is false for
// connections without a descriptor.
func peek(conn net.Conn) (n int, known bool, err error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0, false, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, true, err
	}
	var peeked error
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peeked = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, true, err
	}
	return n, true, peeked
}
