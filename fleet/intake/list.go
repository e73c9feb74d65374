package intake

// list holds elements in the order of their adding. An element has a node and is in one list at most, and is removed without a search.
type list[T any] struct{ first, last *node[T] }

// node is the place of an element in a list.
type node[T any] struct {
	previous, next *node[T]
	element        *T
}

func (l *list[T]) add(n *node[T], element *T) {
	n.previous, n.next, n.element = l.last, nil, element
	if l.last == nil {
		l.first = n
	} else {
		l.last.next = n
	}
	l.last = n
}

func (l *list[T]) remove(n *node[T]) {
	if n.previous == nil {
		l.first = n.next
	} else {
		n.previous.next = n.next
	}
	if n.next == nil {
		l.last = n.previous
	} else {
		n.next.previous = n.previous
	}
	n.previous, n.next = nil, nil
}
