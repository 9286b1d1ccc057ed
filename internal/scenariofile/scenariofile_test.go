package scenariofile

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/fstest"

	"cresshub/internal/settingsfile"
)

type tableSettings struct {
	Size int `key:"size" default:"1" min:"0" max:"9"`
}

type sectionSettings struct {
	Word string `key:"word" default:"none"`
}

type testScenario struct {
	Count   int             `key:"count" default:"3" min:"1" max:"10"`
	Section sectionSettings `key:"section"`
	Tables  []tableSettings `key:"table"`
}

// testFiles returns a collection whose Check rejects a count of 7.
func testFiles() *Collection[testScenario] {
	return &Collection[testScenario]{
		Schema: settingsfile.NewSchema[testScenario]("", "this test has all keys"),
		Shipped: fstest.MapFS{
			"first.toml":  {Data: []byte("count = 4\n[[table]]\nsize = 2\n")},
			"second.toml": {Data: []byte("count = 5\n")},
			"notes.md":    {Data: []byte("no scenario\n")},
		},
		Check: func(scenario *testScenario, builder *settingsfile.Builder) {
			if scenario.Count == 7 {
				builder.Problems.Add(builder.Origins["count"], "count", "is 7")
			}
		},
	}
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestNamesAreOfShippedScenarios(t *testing.T) {
	if names := testFiles().Names(); !slices.Equal(names, []string{"first", "second"}) {
		t.Errorf("the names are %q", names)
	}
}

func TestScenarioIsAFileOrAShippedOne(t *testing.T) {
	t.Chdir(t.TempDir())
	if err := os.WriteFile("second.toml", []byte("count = 8\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name  string
		count int
	}{
		{writeFile(t, "own.toml", "count = 2\n"), 2},
		{"first", 4},
		{"first.toml", 4},
		{"second", 5},
		{"second.toml", 8}, // a file in the working directory takes precedence over the shipped one
	} {
		scenario, err := testFiles().Load(test.name, nil)
		if err != nil || scenario.Count != test.count {
			t.Errorf("%s: %+v, error %v; count %d is wanted", test.name, scenario, err, test.count)
		}
	}
	const want = "nowhere: cannot be read, and no shipped scenario has that name: " +
		"open nowhere: no such file or directory"
	if _, err := testFiles().Load("nowhere", nil); err == nil || err.Error() != want {
		t.Errorf("error %v, not %q", err, want)
	}
	if _, err := testFiles().ShippedText("nowhere"); err == nil {
		t.Error("a text that is not shipped was read")
	}
}

// A directory is not treated as a missing file, even if a shipped scenario has its name.
func TestUnreadableFileIsNotReplacedByAShippedOne(t *testing.T) {
	t.Chdir(t.TempDir())
	if err := os.Mkdir("first", 0o700); err != nil {
		t.Fatal(err)
	}
	if text, err := testFiles().Text("first"); err == nil {
		t.Errorf("%q was read", text)
	}
}

func TestOverridesTakePrecedenceOverTheFile(t *testing.T) {
	set := map[string]string{"count": "6", "table.0.size": "9", "section.word": "other"}
	for _, asTyped := range []bool{false, true} {
		files := testFiles()
		files.OverridesAsTyped = asTyped
		scenario, err := files.Load("first", set)
		if err != nil {
			t.Fatal(err)
		}
		if scenario.Count != 6 || scenario.Tables[0].Size != 9 || scenario.Section.Word != "other" {
			t.Errorf("as typed %v: %+v", asTyped, scenario)
		}
	}
}

func TestErrorsAreReportedAtOnce(t *testing.T) {
	path := writeFile(t, "broken.toml", "coutn = 4\n[section]\nwrod = \"x\"\n")
	set := map[string]string{"table.0.sise": "1", "section": "2", "count": "11"}
	for _, test := range []struct {
		name     string
		asTyped  bool
		override []string
	}{
		{"as messages on files name them", false, []string{
			"--set section: section: is a section, but found 2",
			"--set table.0.sise: table[1].sise: is no key; did you mean table[1].size?",
		}},
		{"as typed", true, []string{
			"--set section: section: is no key; this test has all keys",
			"--set table.0.sise: table.0.sise: is no key; did you mean table[1].size?",
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			files := testFiles()
			files.OverridesAsTyped = test.asTyped
			_, err := files.Load(path, set)
			if err == nil {
				t.Fatal("the errors were not reported")
			}
			want := append([]string{
				"--set count: count: 11 is out of range, 1 to 10 is allowed",
			}, test.override...)
			want = append(want,
				path+":1: coutn: is no key; did you mean count?",
				path+":3: section.wrod: is no key; did you mean section.word?")
			if got := strings.Split(err.Error(), "\n"); !slices.Equal(got, want) {
				t.Errorf("the errors are\n%s, not\n%s", err, strings.Join(want, "\n"))
			}
		})
	}
}

func TestKeysAreCheckedTogetherOnceEachIsValid(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{"count = 7\n", ":1: count: is 7"},
		{"count = 7\nother = 1\n", ":2: other: is no key; this test has all keys"},
	} {
		path := writeFile(t, "seven.toml", test.text)
		if _, err := testFiles().Load(path, nil); err == nil || err.Error() != path+test.want {
			t.Errorf("%q: error %v, not %q", test.text, err, path+test.want)
		}
	}
}
