package bodybudget

import "testing"

// Reservations never exceed the limit, releases restore the budget, and Resize applies to later reservations.
func TestReservationsStayWithinTheLimit(t *testing.T) {
	b := NewBudget(3 * ChunkSize)
	for i := range 5 {
		buffer, release := b.Buffer()
		if (len(buffer) == ChunkSize) != (i < 3) {
			t.Errorf("transfer %d has a buffer of %d bytes", i, len(buffer))
		}
		defer func() {
			if release(); i == 0 && b.Used() != 0 { // the first buffer is released last
				t.Errorf("%d bytes remain reserved", b.Used())
			}
		}()
	}
	b.Resize(4 * ChunkSize)
	if !b.Reserve(ChunkSize) || b.Reserve(1) {
		t.Error("the new limit is not applied")
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
			continue // the body is complete, so Grow is not called again
		}
		if grown, ok := r.Grow(buffer); ok || len(grown) != len(buffer) || int(buffer[0]) != len(c.want) {
			t.Errorf("%s: grew to %d bytes, or lost its content", name, len(grown))
		}
		if b.Used() != int64(r.Bytes()) || r.Bytes() != len(buffer) {
			t.Errorf("%s: %d bytes used, %d reserved, %d buffered", name, b.Used(), r.Bytes(), len(buffer))
		}
	}
}
