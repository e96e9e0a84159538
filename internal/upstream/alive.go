package upstream

import "github.com/stackspindle/stackspindle/internal/socket"

// Alive reports whether an idle connection can be reused: it is not marked broken, the
// member has not closed it and has sent no unsolicited data.
func (c *Conn) Alive() bool { return !c.Broken() && socket.IsIdle(c.conn) }
