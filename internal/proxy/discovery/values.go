package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// valueReader reads a stream of JSON values, whatever lines and pieces they come in. Space between two of them is
// a sign of life; one that has begun has to be whole in the time that the stream may be silent, so that bytes
// that trickle do not keep a broken stream.
type valueReader struct {
	body        io.Reader
	limits      func() Limits
	setDeadline func(time.Time)
	onReceive   func()

	dec       *json.Decoder
	inValue   bool // a value has begun
	deadline  time.Time
	remaining int // bytes that it may still have
}

func newValueReader(
	body io.Reader, limits func() Limits, setDeadline func(time.Time), onReceive func(),
) *valueReader {
	v := &valueReader{body: body, limits: limits, setDeadline: setDeadline, onReceive: onReceive}
	v.dec = json.NewDecoder(v)
	return v
}

// next returns the next value, which holds until the call after it.
func (v *valueReader) next() (raw json.RawMessage, err error) {
	rest, err := io.ReadAll(v.dec.Buffered())
	if err != nil {
		return nil, err
	}
	rest = bytes.TrimLeft(rest, space)
	v.inValue, v.remaining = len(rest) > 0, v.limits().MaxListBytes-len(rest)
	v.deadline = time.Now().Add(v.limits().WatchTimeout)
	if err := v.dec.Decode(&raw); err != nil {
		return nil, err
	}
	v.onReceive()
	return raw, nil
}

const space = " \t\r\n"

// Read is what the decoder reads by.
func (v *valueReader) Read(p []byte) (int, error) {
	if v.remaining <= 0 {
		return 0, fmt.Errorf("an object of more than %d bytes", v.limits().MaxListBytes)
	}
	if !v.inValue {
		v.deadline = time.Now().Add(v.limits().WatchTimeout)
	}
	v.setDeadline(v.deadline)
	n, err := v.body.Read(p[:min(len(p), v.remaining)])
	if v.inValue = v.inValue || len(bytes.TrimLeft(p[:n], space)) > 0; v.inValue {
		v.remaining -= n
	} else if n > 0 {
		v.onReceive()
	}
	return n, err
}
