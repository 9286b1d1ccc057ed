package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// valueReader reads a stream of JSON values, however they are split into lines and chunks. White space
// between two values is a heartbeat. A value that has begun must be complete within Limits.WatchTimeout, so
// that a trickle of bytes does not keep a broken stream open. The valueReader is the io.Reader of its own
// decoder.
type valueReader struct {
	body        io.Reader
	limits      func() Limits
	setDeadline func(time.Time) // sets the read deadline of the connection
	onReceive   func()          // called for each value and each heartbeat

	decoder   *json.Decoder
	inValue   bool      // a value has begun
	deadline  time.Time // for the rest of the value or, between values, for the next byte
	remaining int       // number of bytes that the value may still have
}

// newValueReader returns a reader of the values in body. setDeadline sets the deadline of the connection from
// which body is read.
func newValueReader(
	body io.Reader, limits func() Limits, setDeadline func(time.Time), onReceive func(),
) *valueReader {
	v := &valueReader{body: body, limits: limits, setDeadline: setDeadline, onReceive: onReceive}
	v.decoder = json.NewDecoder(v)
	return v
}

// next returns the next value, which is valid until next is called again.
func (v *valueReader) next() (raw json.RawMessage, err error) {
	rest, err := io.ReadAll(v.decoder.Buffered())
	if err != nil {
		return nil, err
	}
	rest = bytes.TrimLeft(rest, space)
	v.inValue, v.remaining = len(rest) > 0, v.limits().MaxListBytes-len(rest)
	v.deadline = time.Now().Add(v.limits().WatchTimeout)
	if err := v.decoder.Decode(&raw); err != nil {
		return nil, err
	}
	v.onReceive()
	return raw, nil
}

// space is the white space that JSON allows between values.
const space = " \t\r\n"

// Read implements io.Reader for the decoder. It observes the deadline and reads at most MaxListBytes of a
// value.
func (v *valueReader) Read(p []byte) (int, error) {
	if v.remaining <= 0 {
		return 0, fmt.Errorf("JSON value is longer than %d bytes", v.limits().MaxListBytes)
	}
	if !v.inValue {
		v.deadline = time.Now().Add(v.limits().WatchTimeout)
	}
	v.setDeadline(v.deadline)
	n, err := v.body.Read(p[:min(len(p), v.remaining)])
	if len(bytes.TrimLeft(p[:n], space)) > 0 {
		v.inValue = true
	}
	switch {
	case v.inValue:
		v.remaining -= n
	case n > 0:
		v.onReceive()
	}
	return n, err
}
