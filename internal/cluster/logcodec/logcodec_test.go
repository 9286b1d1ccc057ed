package logcodec

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
)

type testCommand struct {
	Name  string
	Count uint64
}

func TestCommandIsItsKindAndAnArrayOfItsFields(t *testing.T) {
	command := testCommand{Name: "ab", Count: 7}
	data := EncodeCommand('K', &command)
	if want := []byte{'K', 0x92, 0xa2, 'a', 'b', 7}; !bytes.Equal(data, want) {
		t.Errorf("encoded as %x, want %x", data, want)
	}
	var got testCommand
	if err := DecodeCommand(data, &got); err != nil || got != command {
		t.Errorf("decoded as %+v, %v", got, err)
	}
}

func TestTruncatedCommandDoesNotDecode(t *testing.T) {
	data := EncodeCommand('K', &testCommand{Name: "ab", Count: 7})
	for size := 1; size < len(data); size++ {
		var got testCommand
		if err := DecodeCommand(data[:size], &got); err == nil {
			t.Errorf("%d bytes of %d decode as %+v", size, len(data), got)
		}
	}
}

func TestCanonicalEncodingSortsMaps(t *testing.T) {
	value := map[string]int{}
	for key := byte('z'); key >= 'a'; key-- {
		value[string(key)] = int(key)
	}
	first := EncodeCanonical(value)
	if first[0] != 0xde || first[4] != 'a' { // map with a 16-bit length, then a one-byte string
		t.Errorf("begins with %x, not with the smallest key", first[:5])
	}
	for range 20 {
		if again := EncodeCanonical(value); !bytes.Equal(first, again) {
			t.Fatalf("encoded as %x and as %x", first, again)
		}
	}
	var got map[string]int
	if err := Decode(first, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(value, got); diff != "" {
		t.Error(diff)
	}
}
