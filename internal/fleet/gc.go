package fleet

import "runtime/debug"

// How much the heap may grow before it is collected, in percent of what is in use.
const (
	// smallHeapGrowth is that of an instance that knows of little: it has 1 to 2 MB in use, is
	// idle most of the time, and a collection takes no time of note.
	smallHeapGrowth = 20
	// largeHeapGrowth is that of one in a large fleet. Each change there is taken in on top of
	// megabytes that a collection goes through.
	largeHeapGrowth = 50
	// largePicture is from how many keys of the store on a fleet is large.
	largePicture = 1000
)

// sizeHeap sets the growth of the heap for a picture of the store with some keys.
func (i *Instance) sizeHeap(keys int) {
	growth := smallHeapGrowth
	if keys >= largePicture {
		growth = largeHeapGrowth
	}
	if i.heapGrowth != growth {
		i.heapGrowth = growth
		debug.SetGCPercent(growth)
	}
}
