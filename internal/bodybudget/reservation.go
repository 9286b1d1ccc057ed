package bodybudget

const (
	// initialReservation is how many bytes are reserved first for a body of unknown length.
	initialReservation = 2 << 10
	// LargeBodyStart is how many bytes are buffered of a body that is longer than the maximum. A body whose
	// stated length is wrong often ends within them, and then no part of it has been forwarded.
	LargeBodyStart = 4 << 10
)

// Reservation is the memory for one body that is buffered while it arrives. It has the size of the body if
// the length is known, doubles as needed if it is not, and covers only the start of a body longer than the
// maximum. It is not safe for concurrent use.
type Reservation struct {
	budget   *Budget
	maxBytes int  // most bytes of the body to buffer
	large    bool // the length is known and exceeds maxBytes
	nextSize int  // bytes of the buffer after the next Grow
	reserved int  // bytes reserved
}

// Reservation returns an empty reservation for a body of length bytes, or of unknown length if that is -1. At
// most maxBytes of the body are buffered.
func (b *Budget) Reservation(length int64, maxBytes int) Reservation {
	r := Reservation{budget: b, maxBytes: maxBytes, large: length > int64(maxBytes),
		nextSize: initialReservation}
	switch {
	case r.large:
		r.nextSize = LargeBodyStart
	case length >= 0:
		r.nextSize = int(length)
	}
	return r
}

// Grow returns a longer buffer that begins with the content of the given one, which is full. It returns the
// given buffer and false if no more of the body is to be buffered or the budget is exhausted.
func (r *Reservation) Grow(buffer []byte) ([]byte, bool) {
	n := len(buffer)
	if n > 0 {
		r.nextSize = min(2*n, r.maxBytes)
	}
	if n == r.maxBytes || r.large && n == LargeBodyStart || !r.budget.Reserve(r.nextSize-n) {
		return buffer, false
	}
	r.reserved += r.nextSize - n
	return append(make([]byte, 0, r.nextSize), buffer...)[:r.nextSize], true
}

// Large reports whether the body is known to be longer than the maximum.
func (r *Reservation) Large() bool { return r.large }

// Bytes returns how many bytes are reserved. The caller releases them with Budget.Release.
func (r *Reservation) Bytes() int { return r.reserved }
