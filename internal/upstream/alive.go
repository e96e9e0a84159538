package upstream

import "syscall"

// alive reports whether an idle connection is still open and silent. A member
// that went away, or said farewell, while the connection was idle is noticed
// here, before a statement is sent whose outcome would then be unknown.
func (c *Conn) alive() bool {
	if c.Broken() {
		return false
	}
	sc, ok := c.conn.(syscall.Conn)
	if !ok {
		return true // as under TLS: only use can tell
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
