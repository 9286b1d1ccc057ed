package labcli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func call(args ...string) (stdout, stderr string, code int) {
	var out, errs bytes.Buffer
	code = Main(args, &out, &errs)
	return out.String(), errs.String(), code
}

var quick = []string{"--repeat", "2", "--set", "requests=2000", "--set", "warm_up_requests=200",
	"--set", "servers.count=3"}

func TestExitCodesAndMessages(t *testing.T) {
	result := filepath.Join(t.TempDir(), "r.jsonl")
	for _, c := range []struct {
		args           []string
		code           int
		stdout, stderr string // parts of them
	}{
		{nil, 2, "", "a command is missing"},
		{[]string{"comparr"}, 2, "", "did you mean compare?"},
		{[]string{"run"}, 2, "", "accepts 1 arg(s)"},
		{[]string{"run", "nowhere"}, 1, "", "nowhere: cannot be read, and no shipped scenario"},
		{[]string{"run", "queues", "--policy", "randon"}, 2, "", `--policy "randon" is none of module`},
		{[]string{"run", "queues", "--repeat", "0"}, 2, "", "--repeat 0 is out of range"},
		{[]string{"run", "queues", "--set", "servers.cuont=3"}, 1, "", "did you mean servers.count?"},
		{append([]string{"run", "queues", "--policy", "random"}, quick...), 0, "mean_service_times", ""},
		{append([]string{"sweep", "queues", "--policy", "random"}, quick...), 2, "", "--over is wanted"},
		{append([]string{"sweep", "queues", "--over", "load.utilisation=0.5,x"}, quick...), 1, "", `found "x"`},
		{append([]string{"sweep", "queues", "--policy", "random,two-choices", "--over",
			"load.utilisation=0.5,0.7", "-o", result}, quick...), 0, "0.7", ""},
		{[]string{"plot", result, "--metric", "mean_ms"}, 0, "</svg>", ""},
		{[]string{"plot", result, "--metric", "x"}, 1, "", `"x" is none of`},
		{[]string{"report", result}, 0, "two-choices", ""},
		{[]string{"difference", result, result, "--metric", "mean_ms"}, 0, "+0.0000 ±0.0000 over 8 days", ""},
		{append([]string{"compare", "queues", "--policy", "random"}, quick...), 2, "", "two or more are wanted"},
		{append([]string{"compare", "queues", "--policy", "random,two-choices", "--metric", "mean_ms"},
			quick...), 0, "two-choices less random", ""},
		{append([]string{"trace", "queues", "--policy", "random", "--request", "9"}, quick...), 0,
			"request 9 runs", ""},
		{append([]string{"trace", "queues", "--request", "9999"}, quick...), 1, "", "there is no request 9999"},
		{[]string{"load", "203.0.113.1:80"}, 2, "", "is not on this machine"},
		{[]string{"load", "127.0.0.1:80", "--rate", "0"}, 2, "", "--rate above 0"},
		{[]string{"overload", "--loads", "2,1"}, 2, "", "--loads takes two or more rising numbers"},
		{[]string{"overload", "--loads", "1,1"}, 2, "", "--loads takes two or more rising numbers"},
		{[]string{"overload", "--loads", "1,Inf"}, 2, "", "--loads takes two or more rising numbers"},
		{[]string{"overload", "--loads", "NaN,1"}, 2, "", "--loads takes two or more rising numbers"},
		{[]string{"overload", "--policy", "x"}, 2, "", `--policy "x" is none of scheduler`},
		{[]string{"overload", "--step", "0s"}, 2, "", "--step 0s is out of range"},
		{[]string{"overload", "--loads", "0.5,1", "--step", "1s", "--repeat", "1", "-o", "-"}, 0, "</svg>", ""},
		{[]string{"overload", "--loads", "0.5,1", "--step", "1s", "--repeat", "1", "--json"}, 0,
			`"hysteresis"`, ""},
		{[]string{"show", "burst"}, 0, `what = "burst"`, ""},
		{[]string{"show", "bursts"}, 1, "", "no shipped scenario"},
		{[]string{"docs", "-o", "-"}, 0, "# Keys of a scenario", ""},
	} {
		stdout, stderr, code := call(c.args...)
		if code != c.code || !strings.Contains(stdout, c.stdout) || !strings.Contains(stderr, c.stderr) {
			t.Errorf("%q: status %d\n%.300s\n%s", c.args, code, stdout, stderr)
		}
	}
	if text, _ := os.ReadFile(result); bytes.Count(text, []byte("\n")) != 9 {
		t.Errorf("%d lines of a header and 8 days", bytes.Count(text, []byte("\n")))
	}
}

func TestRunJSON(t *testing.T) {
	args := append([]string{"run", "queues", "--json", "--policy", "random,basic-li"}, quick...)
	stdout, stderr, code := call(args...)
	var r struct {
		Scenario string
		Seed     *uint64
		Events   int
		Wall     *float64 `json:"wall_s"`
		Policies []struct {
			Name                              string
			Requests, Served, Refused, Failed int
			Mean                              float64 `json:"mean_ms"`
			Times                             float64 `json:"mean_service_times"`
			P50                               float64 `json:"p50_ms"`
			P99                               float64 `json:"p99_ms"`
			Service                           *float64
			Rules                             map[string]int
			CI                                map[string]float64 `json:"ci95"`
		}
	}
	if err := json.Unmarshal([]byte(stdout), &r); err != nil || code != 0 {
		t.Fatal(err, stderr)
	}
	if r.Scenario != "queues" || r.Seed == nil || r.Wall == nil || r.Events == 0 || len(r.Policies) != 2 {
		t.Errorf("%+v", r)
	}
	for _, p := range r.Policies {
		if p.Requests != 3600 || p.Served != p.Requests || p.Mean != p.Times*1000 || p.P99 < p.P50 ||
			p.Service == nil || len(p.Rules) != 4 || p.CI["mean_ms"] <= 0 {
			t.Errorf("%+v", p)
		}
	}
}
