package agent

import (
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/chain"
)

// TestChainMessagesKeepEveryField fills every field of a message by reflection, so that it fails if a new
// field is not encoded or decoded.
func TestChainMessagesKeepEveryField(t *testing.T) {
	var message chain.Message
	next := 1
	fillWithNonZero(reflect.ValueOf(&message).Elem(), &next)
	decoded, err := decodeChainMessage(encodeChainMessage(&message))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, decoded, qt.DeepEquals, message)
}

// fillWithNonZero sets a value to something other than its zero value.
func fillWithNonZero(v reflect.Value, next *int) {
	*next++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fillWithNonZero(v.Field(i), next)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fillWithNonZero(v.Index(i), next)
		}
	case reflect.Array:
		for i := range v.Len() {
			fillWithNonZero(v.Index(i), next)
		}
	case reflect.String:
		v.SetString(string(rune('a' + *next%26)))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*next))
	default:
		v.SetUint(uint64(*next % 200))
	}
}
