package routing

// indexSet is a set of member indices that supports random sampling; set takes constant time.
type indexSet struct {
	items    []int32
	position []int32
}

func (l *indexSet) reset(n int) {
	l.items = make([]int32, 0, n)
	l.position = make([]int32, n)
	for i := range l.position {
		l.position[i] = -1
	}
}

func (l *indexSet) set(i int, member bool) {
	k := l.position[i]
	switch {
	case member && k < 0:
		l.position[i] = int32(len(l.items))
		l.items = append(l.items, int32(i))
	case !member && k >= 0:
		last := l.items[len(l.items)-1]
		l.items[k] = last
		l.position[last] = k
		l.items = l.items[:len(l.items)-1]
		l.position[i] = -1
	}
}
