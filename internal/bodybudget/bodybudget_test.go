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

func TestReservationGrows(t *testing.T) {
	const maximum = 16 << 10
	for name, c := range map[string]struct {
		length int64
		budget int64
		want   []int // sizes of the buffer
	}{
		"known length":     {100, 1 << 20, []int{100}},
		"unknown length":   {-1, 1 << 20, []int{2 << 10, 4 << 10, 8 << 10, 16 << 10}},
		"beyond maximum":   {maximum + 1, 1 << 20, []int{LargeBodyStart}},
		"budget exhausted": {-1, 5 << 10, []int{2 << 10, 4 << 10}},
	} {
		b := NewBudget(c.budget)
		r := b.Reservation(c.length, maximum)
		var buffer []byte
		for i, want := range c.want {
			var ok bool
			if buffer, ok = r.Grow(buffer); !ok || len(buffer) != want {
				t.Errorf("%s: %d bytes after %d, want %d", name, len(buffer), i, want)
			}
			buffer[0]++
		}
		if name == "known length" {
			continue // complete, so nobody asks for more
		}
		if after, ok := r.Grow(buffer); ok || len(after) != len(buffer) || int(buffer[0]) != len(c.want) {
			t.Errorf("%s: grew to %d bytes, or lost what was there", name, len(after))
		}
		if b.Used() != int64(r.Bytes()) || r.Bytes() != len(buffer) {
			t.Errorf("%s: %d bytes taken, %d reserved, %d buffered", name, b.Used(), r.Bytes(), len(buffer))
		}
	}
}
