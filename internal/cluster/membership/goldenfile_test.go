package membership

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

var updateGolden = flag.Bool("update", false, "write the files under testdata/golden anew")

// goldenFile fails the test unless testdata/golden holds raw, byte for byte, and returns what it holds.
func goldenFile(t *testing.T, name string, raw []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, raw, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	held, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(raw, held) {
		t.Errorf("%s: the program writes\n%q, the file holds\n%q", name, raw, held)
	}
	return held
}

// goldenSame fails the test unless what was read is what was meant.
func goldenSame(t *testing.T, name string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: read as\n%+v, not\n%+v", name, got, want)
	}
}

// goldenJSON holds a value with no field at zero to its JSON in testdata/golden, both ways.
func goldenJSON[T any](t *testing.T, name string, want T) {
	t.Helper()
	goldenSet(t, name, reflect.ValueOf(want))
	raw, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	held := goldenFile(t, name, raw)
	in := json.NewDecoder(bytes.NewReader(held))
	in.DisallowUnknownFields()
	var got T
	if err := in.Decode(&got); err != nil {
		t.Errorf("%s: %v", name, err)
	}
	goldenSame(t, name, got, want)
}

// goldenSet fails the test where a field is at zero: it would not show in the file.
func goldenSet(t *testing.T, name string, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			goldenSet(t, name, v.Elem())
			return
		}
	case reflect.Struct:
		for i := range v.NumField() {
			goldenSet(t, name+"."+v.Type().Field(i).Name, v.Field(i))
		}
		return
	case reflect.Slice:
		for i := range v.Len() {
			if v.Index(i).Kind() == reflect.Struct {
				goldenSet(t, name, v.Index(i))
			}
		}
	}
	if v.IsZero() || v.Kind() == reflect.Slice && v.Len() == 0 {
		t.Errorf("%s is at zero", name)
	}
}
