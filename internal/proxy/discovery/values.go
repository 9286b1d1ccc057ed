package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// values reads a stream of JSON values, whatever lines and pieces they come in. Space between two of them is
// a sign of life; one that has begun has to be whole in the time that the stream may be silent, so that bytes
// that trickle do not keep a broken stream.
type values struct {
	body   io.Reader
	limits func() Limits
	until  func(time.Time)
	heard  func()

	dec  *json.Decoder
	open bool // a value has begun
	end  time.Time
	left int // bytes that it may still have
}

func newValues(body io.Reader, limits func() Limits, until func(time.Time), heard func()) *values {
	v := &values{body: body, limits: limits, until: until, heard: heard}
	v.dec = json.NewDecoder(v)
	return v
}

// next returns the next value, which holds until the call after it.
func (v *values) next() (raw json.RawMessage, err error) {
	rest, err := io.ReadAll(v.dec.Buffered())
	if err != nil {
		return nil, err
	}
	rest = bytes.TrimLeft(rest, space)
	v.open, v.left = len(rest) > 0, v.limits().MaxList-len(rest)
	v.end = time.Now().Add(v.limits().Silence)
	if err := v.dec.Decode(&raw); err != nil {
		return nil, err
	}
	v.heard()
	return raw, nil
}

const space = " \t\r\n"

// Read is what the decoder reads by.
func (v *values) Read(p []byte) (int, error) {
	if v.left <= 0 {
		return 0, fmt.Errorf("an object of more than %d bytes", v.limits().MaxList)
	}
	if !v.open {
		v.end = time.Now().Add(v.limits().Silence)
	}
	v.until(v.end)
	n, err := v.body.Read(p[:min(len(p), v.left)])
	if v.open = v.open || len(bytes.TrimLeft(p[:n], space)) > 0; v.open {
		v.left -= n
	} else if n > 0 {
		v.heard()
	}
	return n, err
}
