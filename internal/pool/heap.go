package pool

// indexedHeap is a binary heap whose items store their own index, so that any item can be
// moved or removed in logarithmic time.
type indexedHeap[T any] struct {
	items   []T
	less    func(a, b T) bool
	indexOf func(T) *int // the field of an item that stores its index; absent while it is not in the heap
}

// notInHeap is the index of an item that is not in the heap.
const notInHeap = -1

func (h *indexedHeap[T]) len() int { return len(h.items) }

// first returns the least item. The heap must not be empty.
func (h *indexedHeap[T]) first() T { return h.items[0] }

func (h *indexedHeap[T]) push(item T) {
	*h.indexOf(item) = len(h.items)
	h.items = append(h.items, item)
	h.up(len(h.items) - 1)
}

func (h *indexedHeap[T]) remove(item T) {
	i, last := *h.indexOf(item), len(h.items)-1
	h.swap(i, last)
	*h.indexOf(item) = notInHeap
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	if i < last {
		h.settle(i)
	}
}

// fix restores the order after an item has changed.
func (h *indexedHeap[T]) fix(item T) { h.settle(*h.indexOf(item)) }

func (h *indexedHeap[T]) settle(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap[T]) down(i int) bool {
	start := i
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.less(h.items[child], h.items[least]) {
				least = child
			}
		}
		if least == i {
			return i > start
		}
		h.swap(i, least)
		i = least
	}
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.indexOf(h.items[i]) = i
	*h.indexOf(h.items[j]) = j
}
