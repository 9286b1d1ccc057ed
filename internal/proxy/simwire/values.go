package simwire

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/go-faster/jx"

	"cresshub/balance"
)

// decodeSeed reads any 64-bit integer, signed or unsigned.
func decodeSeed(j *jx.Decoder) (uint64, error) {
	n, err := j.Num()
	if err != nil {
		return 0, err
	}
	if u, err := strconv.ParseUint(string(n), 10, 64); err == nil {
		return u, nil
	}
	i, err := strconv.ParseInt(string(n), 10, 64)
	return uint64(i), err
}

// decodeCount reads an integer that is not negative.
func decodeCount(j *jx.Decoder) (int, error) {
	n, err := j.Int()
	if err == nil && n < 0 {
		err = errors.New("below 0")
	}
	return n, err
}

// decodeServerID reads the number of a server.
func decodeServerID(j *jx.Decoder) (balance.ServerID, error) {
	id, err := j.UInt32()
	return balance.ServerID(id), err
}

// maxMillis bounds times, in ms, so that they don't overflow a time.Duration.
const maxMillis = 1e12

// decodeMillis reads milliseconds with fractions and rounds them to microseconds, the simulator's unit.
func decodeMillis(j *jx.Decoder) (time.Duration, error) {
	f, err := j.Float64()
	if err != nil {
		return 0, err
	}
	if math.Abs(f) > maxMillis {
		return 0, errors.New("out of range")
	}
	return time.Duration(math.Round(f*1000)) * time.Microsecond, nil
}

// decodeNumbers appends the numbers of an array to into.
func decodeNumbers(j *jx.Decoder, into []float64) ([]float64, error) {
	err := j.Arr(func(j *jx.Decoder) error {
		f, err := j.Float64()
		into = append(into, f)
		return err
	})
	return into, err
}

// decodeEnum reads the name of one of a fixed set of values.
func decodeEnum[T any](j *jx.Decoder, values map[string]T) (T, error) {
	b, err := j.StrBytes()
	v, ok := values[string(b)]
	if err == nil && !ok {
		err = fmt.Errorf("unknown value %q", b)
	}
	return v, err
}
