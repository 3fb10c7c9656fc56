// Package idtable holds records by IDs that are given out in rising order.
//
// A table is a ring: a lookup is an index and a comparison, and the ring grows to the span between the
// oldest and the newest ID in it. It knows nothing of what it holds. internal/lab/simulation and
// internal/lab/invariants keep requests and attempts in it.
package idtable

// minSlots is the size of the first ring; sizes are powers of two.
const minSlots = 64

// Table maps IDs to records. The zero value is empty and ready. It is for one goroutine at a time.
type Table[T any] struct {
	slots []slot[T]
	count int
}

// slot is a place of the ring, which holds the IDs that equal its index modulo the ring's size.
type slot[T any] struct {
	id    uint64
	used  bool
	value T
}

// at returns the slot of an ID. The table must have slots.
func (t *Table[T]) at(id uint64) *slot[T] {
	return &t.slots[id&uint64(len(t.slots)-1)]
}

// find returns the slot that holds an ID, or nil.
func (t *Table[T]) find(id uint64) *slot[T] {
	if len(t.slots) == 0 {
		return nil
	}
	if s := t.at(id); s.used && s.id == id {
		return s
	}
	return nil
}

// Put adds a zeroed record for an ID that is not in the table. Pointers from earlier calls of Put, Get
// and Each are invalid after it.
func (t *Table[T]) Put(id uint64) *T {
	if len(t.slots) == 0 {
		t.slots = make([]slot[T], minSlots)
	}
	for t.at(id).used {
		t.grow()
	}
	s := t.at(id)
	*s = slot[T]{id: id, used: true}
	t.count++
	return &s.value
}

// grow doubles the ring.
func (t *Table[T]) grow() {
	old := t.slots
	t.slots = make([]slot[T], 2*len(old))
	for i := range old {
		if old[i].used { // IDs in different slots of the old ring are in different slots of the new one
			*t.at(old[i].id) = old[i]
		}
	}
}

// Get returns the record of an ID, or nil.
func (t *Table[T]) Get(id uint64) *T {
	if s := t.find(id); s != nil {
		return &s.value
	}
	return nil
}

// Delete removes a record, if it is in the table.
func (t *Table[T]) Delete(id uint64) {
	if s := t.find(id); s != nil {
		*s = slot[T]{}
		t.count--
	}
}

// Len is how many records the table holds.
func (t *Table[T]) Len() int { return t.count }

// Each calls f with every record. The order depends on the IDs and on how the ring grew, and is the
// same in every run. f may delete the record that it is called with.
func (t *Table[T]) Each(f func(id uint64, v *T)) {
	for i := range t.slots {
		if t.slots[i].used {
			f(t.slots[i].id, &t.slots[i].value)
		}
	}
}
