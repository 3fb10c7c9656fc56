// Package idtable holds records under numbers that are given out in order. It is a
// ring: a look-up is an index and a comparison, and the ring grows to the span between
// the oldest and the newest record that live.
package idtable

// Table maps numbers to records. The zero value is empty and ready.
type Table[T any] struct {
	slots []slot[T]
	live  int
}

type slot[T any] struct {
	id    uint64
	used  bool
	value T
}

const smallest = 64

// Put adds a zeroed record. Pointers got earlier are void after it.
func (t *Table[T]) Put(id uint64) *T {
	if len(t.slots) == 0 {
		t.slots = make([]slot[T], smallest)
	}
	for t.slots[id&uint64(len(t.slots)-1)].used {
		t.grow()
	}
	s := &t.slots[id&uint64(len(t.slots)-1)]
	*s = slot[T]{id: id, used: true}
	t.live++
	return &s.value
}

func (t *Table[T]) grow() {
	old := t.slots
	t.slots = make([]slot[T], 2*len(old))
	mask := uint64(len(t.slots) - 1)
	for i := range old {
		if old[i].used { // numbers that differed in fewer bits differ in more
			t.slots[old[i].id&mask] = old[i]
		}
	}
}

// Get returns the record of a number, or nil.
func (t *Table[T]) Get(id uint64) *T {
	if len(t.slots) == 0 {
		return nil
	}
	if s := &t.slots[id&uint64(len(t.slots)-1)]; s.used && s.id == id {
		return &s.value
	}
	return nil
}

// Delete removes a record, if it is there.
func (t *Table[T]) Delete(id uint64) {
	if len(t.slots) == 0 {
		return
	}
	if s := &t.slots[id&uint64(len(t.slots)-1)]; s.used && s.id == id {
		*s = slot[T]{}
		t.live--
	}
}

// Len is how many records there are.
func (t *Table[T]) Len() int { return t.live }

// Each calls f with every record, in no order of meaning but always the same one. It
// may delete the record that it is called with.
func (t *Table[T]) Each(f func(id uint64, v *T)) {
	for i := range t.slots {
		if t.slots[i].used {
			f(t.slots[i].id, &t.slots[i].value)
		}
	}
}
