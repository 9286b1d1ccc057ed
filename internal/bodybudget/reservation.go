package bodybudget

const (
	// initialReservation is what is reserved first for a body of unknown length, in bytes.
	initialReservation = 2 << 10
	// LargeBodyStart is how many bytes of a body beyond the maximum are buffered: one whose stated length is
	// wrong often ends earlier, and then nothing has been passed on.
	LargeBodyStart = 4 << 10
)

// Reservation is the memory of one body that is buffered while it arrives: all of one whose length is known,
// a buffer that doubles for one of unknown length, and the start of one beyond the maximum.
type Reservation struct {
	budget *Budget
	max    int
	large  bool // the length is known and beyond the maximum
	size   int  // of the buffer after the next Grow
	taken  int  // bytes reserved
}

// Reservation returns an empty reservation for a body of length bytes, -1 where that is not known, of which
// at most maxBytes are buffered.
func (b *Budget) Reservation(length int64, max int) Reservation {
	r := Reservation{budget: b, max: max, large: length > int64(max), size: initialReservation}
	switch {
	case r.large:
		r.size = LargeBodyStart
	case length >= 0:
		r.size = int(length)
	}
	return r
}

// Grow returns a longer buffer that begins with what is in the present one, which is full; false, with the
// present one, where no more of the body is buffered.
func (r *Reservation) Grow(buffer []byte) ([]byte, bool) {
	n := len(buffer)
	if n > 0 {
		r.size = min(2*n, r.max)
	}
	if n == r.max || r.large && n == LargeBodyStart || !r.budget.Reserve(r.size-n) {
		return buffer, false
	}
	r.taken += r.size - n
	return append(make([]byte, 0, r.size), buffer...)[:r.size], true
}

// Large reports whether the body is known to be longer than the maximum.
func (r *Reservation) Large() bool { return r.large }

// Bytes returns how many bytes are reserved; Budget.Release releases them.
func (r *Reservation) Bytes() int { return r.taken }
