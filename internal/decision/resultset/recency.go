package resultset

// recencyList holds all sets in the order of their last use. Its zero value is an empty list.
type recencyList struct {
	root   Set // its next is the least recently used set, and its previous the one used last
	length int
}

// first returns the least recently used set; nil: there is none.
func (l *recencyList) first() *Set {
	if l.length == 0 {
		return nil
	}
	return l.root.next
}

// moveToEnd makes a set the one used last, and adds it if it is not in the list.
func (l *recencyList) moveToEnd(set *Set) {
	l.remove(set)
	if l.length == 0 {
		l.root.next, l.root.previous = &l.root, &l.root
	}
	last := l.root.previous
	last.next, set.previous = set, last
	set.next, l.root.previous = &l.root, set
	l.length++
}

// remove removes a set if it is in the list.
func (l *recencyList) remove(set *Set) {
	if set.next == nil {
		return
	}
	set.previous.next, set.next.previous = set.next, set.previous
	set.next, set.previous = nil, nil
	l.length--
}
