package owner

// PoolLoad is the use of one member's connections.
type PoolLoad struct {
	InUse, Waiting, Open int
}

// Load is what the metrics tell about a group.
type Load struct {
	Term    uint64
	Serving bool
	Floors  int // sessions with a floor of their own
	Pools   map[string]PoolLoad
}

// Load returns the current load.
func (g *Group) Load() Load {
	v := g.view.Load()
	l := Load{Term: v.term, Serving: v.serving, Pools: make(map[string]PoolLoad, len(v.pools))}
	for name, p := range v.pools {
		l.Pools[name] = PoolLoad{InUse: p.InUse(), Waiting: p.Waiting(), Open: p.NumOpen()}
	}
	g.acks.Lock()
	l.Floors = g.floors.Len()
	g.acks.Unlock()
	return l
}
