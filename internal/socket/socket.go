// Package socket provides what the standard library lacks for connections: non-blocking
// checks whether the peer has closed a connection or has sent data, and the TCP user
// timeout. The connections to members, clients, other instances and the store use it.
// The checks never consume data.
package socket

import (
	"net"
	"syscall"
)

// ClosedByPeer reports whether the peer has closed a connection. While there is unread
// data it does not detect the close. Connections without a file descriptor, such as TLS
// connections, count as open.
func ClosedByPeer(conn net.Conn) bool {
	n, supported, err := peek(conn)
	return supported && n <= 0 && err != syscall.EAGAIN && err != syscall.EINTR
}

// IsIdle reports whether an idle connection is still open and has received no unsolicited
// data. This detects a peer that has closed the connection, or has announced that it will,
// before a request is sent whose outcome would then be unknown. Connections without a file
// descriptor, such as TLS connections, count as idle: only a request shows their state.
func IsIdle(conn net.Conn) bool {
	_, supported, err := peek(conn)
	return !supported || err == syscall.EAGAIN
}

// peek checks for readable data without consuming it. n is 0 if the peer has closed the
// connection; err is EAGAIN if it is open without data. supported is false for
// connections without a file descriptor.
func peek(conn net.Conn) (n int, supported bool, err error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0, false, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, true, err
	}
	var recvErr error
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, recvErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, true, err
	}
	return n, true, recvErr
}
