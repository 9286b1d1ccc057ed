package balance

import "time"

// The form of a message between peers: a version, then rows of fixed length in base-64 digits. What a
// message is sent for, and what is believed of one, is in balance.go.

const (
	digits      = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_"
	messageForm = 'a'
	rowDigits   = 6 + 2 + 2
	ageUnit     = 20 * time.Millisecond
	maxRows     = 255 / rowDigits
)

// heard is one row of a message: what a server held, and how long ago that was reported.
type heard struct {
	id   ServerID
	held int
	age  time.Duration
}

func putDigits(to []byte, v, n int) []byte {
	v = max(0, min(v, 1<<(6*n)-1))
	for n--; n >= 0; n-- {
		to = append(to, digits[v>>(6*n)&63])
	}
	return to
}

func takeDigits(from []byte) (v int, ok bool) {
	for _, c := range from {
		d := -1
		switch {
		case c >= '0' && c <= '9':
			d = int(c - '0')
		case c >= 'A' && c <= 'Z':
			d = int(c-'A') + 10
		case c >= 'a' && c <= 'z':
			d = int(c-'a') + 36
		case c == '-':
			d = 62
		case c == '_':
			d = 63
		}
		if d < 0 {
			return 0, false
		}
		v = v<<6 | d
	}
	return v, true
}

func encodeRows(rows []heard) string {
	body := make([]byte, 1, 1+len(rows)*rowDigits)
	body[0] = messageForm
	for _, r := range rows {
		body = putDigits(body, int(r.id), 6)
		body = putDigits(body, r.held, 2)
		body = putDigits(body, int(r.age/ageUnit), 2)
	}
	return string(body)
}

// decodeRows returns nil for a message that is not whole and well formed.
func decodeRows(body []byte) []heard {
	if len(body) < 1+rowDigits || body[0] != messageForm || (len(body)-1)%rowDigits != 0 {
		return nil
	}
	rows := make([]heard, 0, maxRows)
	for at := 1; at < len(body); at += rowDigits {
		id, ok1 := takeDigits(body[at : at+6])
		held, ok2 := takeDigits(body[at+6 : at+8])
		age, ok3 := takeDigits(body[at+8 : at+10])
		if !ok1 || !ok2 || !ok3 || id >= 1<<32 {
			return nil
		}
		rows = append(rows, heard{ServerID(id), held, time.Duration(age) * ageUnit})
	}
	return rows
}

// readRow finds the requests held and waiting in a load report. An absurd row is dropped whole; where
// only one of the two is told it stands for what is held.
func readRow(fields []Field, row []float64) (held, waiting float64, ok bool) {
	if len(row) < len(fields) {
		return 0, 0, false
	}
	hasHeld := false
	for i, f := range fields {
		if !(row[i] >= 0 && row[i] <= 1e9) {
			return 0, 0, false
		}
		switch f {
		case FieldHeld:
			held, hasHeld, ok = row[i], true, true
		case FieldWaiting:
			waiting, ok = row[i], true
		}
	}
	if !hasHeld {
		held = waiting
	}
	return held, waiting, ok
}
