// Package goldenfile compares what a package encodes with the files under its testdata/golden, byte for byte,
// and what it decodes from them with the values they stand for. The files hold formats that other versions of
// the program read from disk or from the wire, so a difference means that the format has changed.
//
// It is for tests only: it takes a testing.TB, and registers the flag -update of `go test`, which writes the
// files anew from what the test encodes. Names of files are relative to testdata/golden of the package under
// test.
package goldenfile

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

var update = flag.Bool("update", false, "write the files under testdata/golden anew")

// CheckBytes fails the test unless the file holds encoded, byte for byte. It returns what the file holds, for
// the test to decode.
func CheckBytes(tb testing.TB, name string, encoded []byte) []byte {
	tb.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			tb.Fatal(err)
		}
		if err := os.WriteFile(path, encoded, 0o644); err != nil {
			tb.Fatal(err)
		}
	}
	held, err := os.ReadFile(path)
	if err != nil {
		tb.Fatal(err)
	}
	if !bytes.Equal(encoded, held) {
		tb.Errorf("%s: the program writes\n%q, the file holds\n%q", name, encoded, held)
	}
	return held
}

// CheckDecoded fails the test unless decoded, which was read from the file, equals want deeply.
func CheckDecoded(tb testing.TB, name string, decoded, want any) {
	tb.Helper()
	if !reflect.DeepEqual(decoded, want) {
		tb.Errorf("%s: read as\n%+v, not\n%+v", name, decoded, want)
	}
}

// CheckJSON fails the test unless want encodes to the JSON that the file holds, byte for byte, and the file
// decodes to want without unknown fields. No field of want may be zero, see CheckFieldsSet.
func CheckJSON[T any](tb testing.TB, name string, want T) {
	tb.Helper()
	CheckFieldsSet(tb, name, want)
	encoded, err := json.Marshal(want)
	if err != nil {
		tb.Fatal(err)
	}
	held := CheckBytes(tb, name, encoded)
	decoder := json.NewDecoder(bytes.NewReader(held))
	decoder.DisallowUnknownFields()
	var decoded T
	if err := decoder.Decode(&decoded); err != nil {
		tb.Errorf("%s: %v", name, err)
	}
	CheckDecoded(tb, name, decoded, want)
}

// CheckFieldsSet fails the test where a field of value is zero, at any depth of structs, pointers and slices
// of structs: a field that is zero could be lost or renamed without a change of the file. name begins the
// messages.
func CheckFieldsSet(tb testing.TB, name string, value any) {
	tb.Helper()
	checkFieldsSet(tb, name, reflect.ValueOf(value))
}

func checkFieldsSet(tb testing.TB, name string, value reflect.Value) {
	tb.Helper()
	switch value.Kind() {
	case reflect.Pointer:
		if !value.IsNil() {
			checkFieldsSet(tb, name, value.Elem())
			return
		}
	case reflect.Struct:
		for i := range value.NumField() {
			checkFieldsSet(tb, name+"."+value.Type().Field(i).Name, value.Field(i))
		}
		return
	case reflect.Slice:
		for i := range value.Len() {
			if value.Index(i).Kind() == reflect.Struct {
				checkFieldsSet(tb, name, value.Index(i))
			}
		}
	}
	if value.IsZero() || value.Kind() == reflect.Slice && value.Len() == 0 {
		tb.Errorf("%s is at zero", name)
	}
}
