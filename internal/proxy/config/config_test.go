package config

import (
	"fmt"
	"io/fs"
	"slices"
	"strings"
	"testing"

	"cresshub/internal/settingsfile"
)

const settings = `{"azs":["kita","chuo"],"kinds":["m2"],"balancers":4,"rank":2,"locality":1,"tick-ms":5,
"registry-mode":"on_request","counted-by":"work","over-share-worth":0.1,
"grades":[{"name":"lookup","aim-ms":600.5,"deadline-ms":1500,"effect":"idempotent","value":2,
"late-worth":0.5},
{"name":"dedup","aim-ms":1,"deadline-ms":2,"effect":"deduplicated","group":"cell","window-ms":7,"value":8,
"stream":true,"aim-stretch":3}],
"tenants":[{"name":"acme","portion":0.75,"quota-per-s":137},{"name":"b"}],
"deductions":{"cross-zone":0.03,"probe":0.01,"waste":0.04,"late-fail":0.033},"extra":{"warm-keys":true},
"invariants":{"answer-slack-ms":20,"ask-within-ms":10000,"cold-ms":23000,"fall-multiple":4,
"start-capacity":0.12,"stop-sending-within-ms":1500,"tip-after-ms":1500},
"limits":{"cancel":true,"dial-timeout-ms":250,"idle-close-ms":5000,"max-attempts":3,"max-retry-after-ms":1000,
"may-duplicate":true,"probes":true,"retry-after":true},
"report":{"fields":["active","new","cpu"],"source":"answers"}}`

const platform = `{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
"limits":{"cores":1.5,"memory_mb":192,"sockets":1024},"known":{"index":4},"settings":` + settings + `}`

const small = `[discovery]
address = "127.0.0.1:8500"
[[class]]
name = "lookup"
aim = "600ms"
deadline = "1s"
effect = "idempotent"
`

// load calls Load with the contents of files by path, and with environment variables.
func load(in Input, files map[string]string, env ...string) (*Config, error) {
	in.Environ = func() []string { return env }
	in.Read = func(path string) ([]byte, error) {
		if text, ok := files[path]; ok {
			return []byte(text), nil
		}
		return nil, fs.ErrNotExist
	}
	return Load(in)
}

func loadTOML(text string) (*Config, error) {
	return load(Input{File: "c.toml"}, map[string]string{"c.toml": text})
}

// At the start EDGE_DISCOVERY overrides the discovery address of the platform's file; at a reload the file
// overrides the variable, because the platform may have replaced the file.
func TestPrecedenceOfSources(t *testing.T) {
	files := map[string]string{"p.json": platform, "c.toml": strings.Replace(small, "8500", "1", 1)}
	env := []string{"EDGE_CONFIG=p.json", "EDGE_DISCOVERY=127.0.0.1:3"}
	withOwnVariable := append(env, "CRESSHUB_DISCOVERY_ADDRESS=127.0.0.1:4")
	flag := map[string]string{"discovery.address": "127.0.0.1:5"}
	for _, c := range []struct {
		in   Input
		env  []string
		port int
		from string
	}{
		{Input{File: "c.toml"}, nil, 1, "file"},
		{Input{}, []string{"CRESSHUB_CONFIG=c.toml"}, 1, "file"},
		{Input{File: "c.toml"}, env[:1], 2, "platform"},
		{Input{File: "c.toml"}, env, 3, "environment"},
		{Input{File: "c.toml", Reload: true}, env, 2, "platform"},
		{Input{File: "c.toml"}, withOwnVariable, 4, "environment"},
		{Input{File: "c.toml", Flags: flag}, withOwnVariable, 5, "flag"},
	} {
		got, err := load(c.in, files, c.env...)
		if err != nil {
			t.Fatal(err)
		}
		from := ""
		for _, v := range got.Effective() {
			if v.Key == "discovery.address" {
				from = v.Source
			}
		}
		if want := fmt.Sprint("127.0.0.1:", c.port); got.Discovery.Address != want || from != c.from {
			t.Errorf("%+v %v: %s from %s", c.in, c.env, got.Discovery.Address, from)
		}
	}
	if _, err := load(Input{File: "c.toml"}, files, "CRESSHUB_LOG_LEVL=warn"); err == nil ||
		!strings.Contains(err.Error(), "did you mean CRESSHUB_LOG_LEVEL?") {
		t.Error(err)
	}
}

// The code compares values with constants, which must be among the values that the enum tags allow.
func TestConstantsAreAllowedValues(t *testing.T) {
	for path, values := range map[string][]string{
		"discovery.mode":     {ModeAsk, ModeTold},
		"policy.report_from": {reportFromProbes, reportFromResponses, reportFromNone},
		"policy.worth_by":    {valuedByRequest, valuedByWork},
		"class[].effect":     {effectDeduplicated},
	} {
		i := slices.IndexFunc(schema().Fields, func(f *settingsfile.Field) bool { return f.Path == path })
		if i < 0 {
			t.Errorf("%s: no such key", path)
			continue
		}
		for _, value := range values {
			if _, err := schema().Fields[i].Decode(settingsfile.Text(value)); err != nil {
				t.Errorf("%s: %v", path, err)
			}
		}
	}
}
