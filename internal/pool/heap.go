package pool

// indexed is a binary heap whose items store their own index, so that any item can be
// moved or removed in logarithmic time.
type indexed[T any] struct {
	items []T
	less  func(a, b T) bool
	place func(T) *int // the field of an item that stores its index; absent while it is not in the heap
}

// absent is the index of an item that is not in the heap.
const absent = -1

func (h *indexed[T]) len() int { return len(h.items) }

// first returns the least item. The heap must not be empty.
func (h *indexed[T]) first() T { return h.items[0] }

func (h *indexed[T]) push(item T) {
	*h.place(item) = len(h.items)
	h.items = append(h.items, item)
	h.up(len(h.items) - 1)
}

func (h *indexed[T]) remove(item T) {
	i, last := *h.place(item), len(h.items)-1
	h.swap(i, last)
	*h.place(item) = absent
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	if i < last {
		h.settle(i)
	}
}

// fix restores the order after an item has changed.
func (h *indexed[T]) fix(item T) { h.settle(*h.place(item)) }

func (h *indexed[T]) settle(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *indexed[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexed[T]) down(i int) bool {
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

func (h *indexed[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.place(h.items[i]) = i
	*h.place(h.items[j]) = j
}
