// Package idtable stores records by IDs that are assigned in increasing order.
//
// A table is a ring buffer: a lookup costs an index operation and a comparison. The ring grows with the span
// between the oldest and the newest ID in the table. The package knows nothing about the records.
// internal/lab/simulation and internal/lab/invariants store requests and attempts in tables.
package idtable

// minSlots is the size of the first ring. Sizes are powers of two, so Table.at can mask the ID.
const minSlots = 64

// Table maps IDs to records. The zero value is an empty table. A Table must not be used concurrently.
type Table[T any] struct {
	slots []slot[T]
	count int
}

// slot holds at most one record, whose ID modulo the number of slots is the slot's index.
type slot[T any] struct {
	id    uint64
	used  bool
	value T
}

// at returns the slot in which an ID belongs. The table must have slots.
func (t *Table[T]) at(id uint64) *slot[T] {
	return &t.slots[id&uint64(len(t.slots)-1)]
}

// find returns the slot that contains the record of an ID, or nil.
func (t *Table[T]) find(id uint64) *slot[T] {
	if len(t.slots) == 0 {
		return nil
	}
	if s := t.at(id); s.used && s.id == id {
		return s
	}
	return nil
}

// Put adds a zeroed record for an ID that must not be in the table. It invalidates all pointers from earlier
// calls of Put, Get and Each.
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
		if old[i].used { // records from different old slots never share a new slot
			*t.at(old[i].id) = old[i]
		}
	}
}

// Get returns the record of an ID, or nil if there is none.
func (t *Table[T]) Get(id uint64) *T {
	if s := t.find(id); s != nil {
		return &s.value
	}
	return nil
}

// Delete removes the record of an ID, if there is one.
func (t *Table[T]) Delete(id uint64) {
	if s := t.find(id); s != nil {
		*s = slot[T]{}
		t.count--
	}
}

// Len returns the number of records in the table.
func (t *Table[T]) Len() int { return t.count }

// Each calls f for every record. The order depends only on the IDs and on how the ring has grown, so it is
// reproducible. f may delete the record that it is called with.
func (t *Table[T]) Each(f func(id uint64, v *T)) {
	for i := range t.slots {
		if t.slots[i].used {
			f(t.slots[i].id, &t.slots[i].value)
		}
	}
}
