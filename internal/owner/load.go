package owner

// PoolLoad is the usage of the connection pool of one member.
type PoolLoad struct {
	InUse, Waiting, Open int
}

// Load holds the values of a group's metrics.
type Load struct {
	Term    uint64
	Serving bool
	Floors  int // number of sessions that have their own floor
	Pools   map[string]PoolLoad
}

// Load returns the current values.
func (g *Group) Load() Load {
	v := g.view.Load()
	l := Load{Term: v.term, Serving: v.serving, Pools: make(map[string]PoolLoad, len(v.pools))}
	for name, p := range v.pools {
		l.Pools[name] = PoolLoad{InUse: p.InUse(), Waiting: p.Waiting(), Open: p.NumOpen()}
	}
	g.ackMu.Lock()
	l.Floors = g.floors.Len()
	g.ackMu.Unlock()
	return l
}
