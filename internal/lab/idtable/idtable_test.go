package idtable

import (
	"testing"

	"pgregory.net/rapid"
)

// A wrong growth of the ring loses records. For increasing IDs, the table must behave like a map.
func TestTableBehavesAsMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table[int]
		want := map[uint64]int{}
		next := uint64(rapid.IntRange(0, 1000).Draw(t, "first"))
		for range rapid.IntRange(0, 600).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0, 1:
				next += uint64(rapid.IntRange(1, 3).Draw(t, "gap"))
				*table.Put(next) = int(next) * 3
				want[next] = int(next) * 3
			case 2:
				id := next - uint64(rapid.IntRange(0, 50).Draw(t, "back"))
				table.Delete(id)
				delete(want, id)
			}
		}
		if table.Len() != len(want) {
			t.Fatalf("%d, want %d", table.Len(), len(want))
		}
		seen := 0
		table.Each(func(id uint64, v *int) {
			if want[id] != *v {
				t.Fatalf("%d holds %d", id, *v)
			}
			seen++
		})
		for id, v := range want {
			if got := table.Get(id); got == nil || *got != v {
				t.Fatalf("%d is missing", id)
			}
		}
		if seen != len(want) || table.Get(next+1) != nil {
			t.Fatal("it holds more than was put in")
		}
	})
}
