package fleet

import "runtime/debug"

// Garbage collection targets: growth of the heap before a collection, in percent of the live heap.
const (
	// smallHeapGrowth applies to an instance of a small fleet. It has 1 to 2 MB in use, is idle
	// most of the time, and a collection takes negligible time.
	smallHeapGrowth = 20
	// largeHeapGrowth applies to an instance of a large fleet, where a collection scans megabytes
	// and each change allocates.
	largeHeapGrowth = 50
	// largeStoreKeys is the number of keys in the store from which a fleet counts as large.
	largeStoreKeys = 1000
)

// setGCPercent sets the garbage collection target for a store of the given number of keys.
func (i *Instance) setGCPercent(keys int) {
	growth := smallHeapGrowth
	if keys >= largeStoreKeys {
		growth = largeHeapGrowth
	}
	if i.gcPercent != growth {
		i.gcPercent = growth
		debug.SetGCPercent(growth)
	}
}
