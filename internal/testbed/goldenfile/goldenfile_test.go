package goldenfile

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
)

// recorder is a testing.TB that keeps the failures which a check reports.
type recorder struct {
	testing.TB // for the methods that the checks don't call: nil
	failures   []string
}

func (r *recorder) Helper() {}

func (r *recorder) Errorf(format string, values ...any) {
	r.failures = append(r.failures, fmt.Sprintf(format, values...))
}

func (r *recorder) Fatal(values ...any) {
	r.failures = append(r.failures, fmt.Sprint(values...))
	runtime.Goexit()
}

// failuresOf runs check on a goroutine of its own, which Fatal ends.
func failuresOf(check func(r *recorder)) []string {
	r := &recorder{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		check(r)
	}()
	<-done
	return r.failures
}

// hold makes a file under testdata/golden of a directory which becomes the current one.
func hold(t *testing.T, name, content string) {
	t.Helper()
	t.Chdir(t.TempDir())
	path := filepath.Join("testdata", "golden", name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
		t.Fatal(err)
	}
}

func expectFailures(t *testing.T, got []string, want ...string) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("%d failures, not %d: %q", len(got), len(want), got)
	}
	for i := range want {
		if !strings.Contains(got[i], want[i]) {
			t.Errorf("failure %q does not name %q", got[i], want[i])
		}
	}
}

func TestBytesThatTheFileHoldsPass(t *testing.T) {
	hold(t, "batch.bin", "\x00abc")
	failures := failuresOf(func(r *recorder) {
		if held := CheckBytes(r, "batch.bin", []byte("\x00abc")); string(held) != "\x00abc" {
			t.Errorf("%q was returned", held)
		}
	})
	expectFailures(t, failures)
}

func TestEachChangedByteFails(t *testing.T) {
	const content = `{"name":"odori-1","load":7}`
	for i := range content {
		changed := []byte(content)
		changed[i] ^= 1
		hold(t, "view.json", string(changed))
		failures := failuresOf(func(r *recorder) { CheckBytes(r, "view.json", []byte(content)) })
		expectFailures(t, failures, "the program writes")
	}
}

func TestAddedAndMissingBytesFail(t *testing.T) {
	for _, content := range []string{"", "ab", "abcd", "abc\n", "\nabc"} {
		hold(t, "batch.bin", content)
		failures := failuresOf(func(r *recorder) { CheckBytes(r, "batch.bin", []byte("abc")) })
		expectFailures(t, failures, "the program writes")
	}
}

func TestMissingFileEndsTheTest(t *testing.T) {
	hold(t, "other.bin", "abc")
	failures := failuresOf(func(r *recorder) {
		CheckBytes(r, "batch.bin", []byte("abc"))
		t.Error("the check went on")
	})
	expectFailures(t, failures, "no such file")
	if _, err := os.Stat(filepath.Join("testdata", "golden", "batch.bin")); err == nil {
		t.Error("the check made the file")
	}
}

type view struct {
	Name string `json:"name"`
	Load int    `json:"load"`
}

func TestJSONIsComparedBothWays(t *testing.T) {
	want := view{Name: "odori-1", Load: 7}
	for _, c := range []struct {
		content  string
		failures []string
	}{
		{`{"name":"odori-1","load":7}`, nil},
		{`{"name":"odori-1","load":8}`, []string{"the program writes", "read as"}},
		{`{"name":"odori-1", "load":7}`, []string{"the program writes"}},
		{`{"load":7,"name":"odori-1"}`, []string{"the program writes"}},
		{`{"name":"odori-1","load":7,"age":1}`, []string{"the program writes", "unknown field"}},
		{`{"name":"odori-1"}`, []string{"the program writes", "read as"}},
		{`{"name":`, []string{"the program writes", "unexpected EOF", "read as"}},
	} {
		hold(t, "view.json", c.content)
		failures := failuresOf(func(r *recorder) { CheckJSON(r, "view.json", want) })
		expectFailures(t, failures, c.failures...)
	}
}

// asymmetric encodes to what the file holds and decodes to something else.
type asymmetric struct{ Load int }

func (*asymmetric) UnmarshalJSON([]byte) error { return nil }

func TestJSONThatDecodesToSomethingElseFails(t *testing.T) {
	hold(t, "load.json", `{"Load":7}`)
	failures := failuresOf(func(r *recorder) { CheckJSON(r, "load.json", asymmetric{Load: 7}) })
	expectFailures(t, failures, "read as")
}

func TestDecodedValuesAreComparedDeeply(t *testing.T) {
	want := []*view{{Name: "odori-1", Load: 7}}
	expectFailures(t, failuresOf(func(r *recorder) {
		CheckDecoded(r, "views.bin", []*view{{Name: "odori-1", Load: 7}}, want)
	}))
	expectFailures(t, failuresOf(func(r *recorder) {
		CheckDecoded(r, "views.bin", []*view{{Name: "odori-1"}}, want)
	}), "views.bin: read as")
}

func TestFieldsAtZeroFail(t *testing.T) {
	type nested struct {
		View  view
		Next  *view
		Views []view
		Names []string
	}
	full := view{Name: "odori-1", Load: 7}
	for _, c := range []struct {
		value    any
		failures []string
	}{
		{nested{full, &full, []view{full}, []string{"a"}}, nil},
		{&nested{full, &full, []view{full}, []string{"a"}}, nil},
		{nested{view{Load: 7}, &full, []view{full}, []string{"a"}}, []string{"x.View.Name is at zero"}},
		{nested{full, nil, []view{full}, []string{"a"}}, []string{"x.Next is at zero"}},
		{nested{full, &view{Name: "a"}, []view{full}, []string{"a"}}, []string{"x.Next.Load is at zero"}},
		{nested{full, &full, []view{full, {Load: 1}}, []string{"a"}}, []string{"x.Views.Name is at zero"}},
		{nested{full, &full, []view{}, nil}, []string{"x.Views is at zero", "x.Names is at zero"}},
		{(*nested)(nil), []string{"x is at zero"}},
	} {
		failures := failuresOf(func(r *recorder) { CheckFieldsSet(r, "x", c.value) })
		expectFailures(t, failures, c.failures...)
	}
}
