package upstream

import "github.com/stackspindle/stackspindle/internal/socket"

// Alive reports whether an idle connection may be used again.
func (c *Conn) Alive() bool { return !c.Broken() && socket.Silent(c.conn) }
