package bodybudget

import "testing"

// What is reserved never exceeds the limit, and all that is released can be reserved again.
func TestReservationsStayWithinTheLimit(t *testing.T) {
	b := NewBudget(3 * ChunkSize)
	for i := range 5 {
		room, give := b.Buffer()
		if (len(room) == ChunkSize) != (i < 3) {
			t.Errorf("transfer %d works with %d bytes", i, len(room))
		}
		defer func() {
			if give(); i == 0 && b.Used() != 0 { // the first is the last to give back
				t.Errorf("%d bytes stay taken", b.Used())
			}
		}()
	}
	b.Resize(4 * ChunkSize)
	if !b.Reserve(ChunkSize) || b.Reserve(1) {
		t.Error("the new limit does not hold")
	}
	b.Release(ChunkSize)
}
