package intake

// links are the neighbours of an element in a list.
type links[T any] struct{ previous, next *T }

func (l *links[T]) neighbours() *links[T] { return l }

// linked is an element of a list, which embeds its links.
type linked[T any] interface {
	*T
	neighbours() *links[T]
}

// list holds elements in the order of their adding. An element is in one list at most, and is removed without a search.
type list[T any, P linked[T]] struct{ first, last P }

func (l *list[T, P]) add(e P) {
	n := e.neighbours()
	n.previous, n.next = l.last, nil
	if l.last == nil {
		l.first = e
	} else {
		l.last.neighbours().next = e
	}
	l.last = e
}

func (l *list[T, P]) remove(e P) {
	n := e.neighbours()
	if n.previous == nil {
		l.first = n.next
	} else {
		P(n.previous).neighbours().next = n.next
	}
	if n.next == nil {
		l.last = n.previous
	} else {
		P(n.next).neighbours().previous = n.previous
	}
	n.previous, n.next = nil, nil
}
