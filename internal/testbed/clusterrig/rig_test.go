package clusterrig

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"cresshub/internal/cluster/gossip"
	"cresshub/internal/testbed/faultnet"
)

// binary is the program, built once for all tests of the package.
var binary string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "cresshub-rig-")
		if err != nil {
			fmt.Println(err)
			return 1
		}
		defer os.RemoveAll(dir)
		binary = filepath.Join(dir, "cresshub")
		build := exec.Command("go", "build", "-o", binary, "cresshub/cmd/cresshub")
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Printf("the program does not build: %v\n%s", err, out)
			return 1
		}
		return m.Run()
	}())
}

// dataFolder returns a folder of a test's own, in memory if there is such a file system: many groups that
// sync to one disk at once are slow in a way that no test here is about. The figures in docs are measured on
// a disk.
func dataFolder(t *testing.T) string {
	t.Helper()
	//nolint:usetesting // t.TempDir lies on a disk
	if dir, err := os.MkdirTemp("/dev/shm", "cresshub-rig-"); err == nil {
		t.Cleanup(func() { os.RemoveAll(dir) })
		return dir
	}
	return t.TempDir()
}

// testContext bounds one wait of a test.
func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	t.Cleanup(cancel)
	return ctx
}

// start starts members, with the default keys of scenarios unless others are given, and waits until their
// views converge.
func start(t *testing.T, options Options) *Rig {
	t.Helper()
	if testing.Short() {
		t.Skip("starts several processes")
	}
	options.Program, options.Dir, options.Seed = binary, dataFolder(t), 1
	if path := os.Getenv("RIG_LOG"); path != "" { // for whoever looks into a failure
		f, err := os.Create(path + "-" + t.Name())
		must(t, err)
		t.Cleanup(func() { f.Close() })
		options.Log = f
	}
	if options.FleetTOML == "" {
		options.FleetTOML = DefaultFleetTOML()
	}
	rig, err := Start(testContext(t), options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := rig.Close(); err != nil {
			t.Error(err)
		}
	})
	took, err := rig.WaitConverged(testContext(t), 30*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d members see each other after %v", options.Members, took)
	return rig
}

// waitViews waits until holds accepts the view of every one of some members.
func waitViews(t *testing.T, members []*Member, limit time.Duration, what string,
	holds func(gossip.Page) error) {
	t.Helper()
	took, err := WaitViews(testContext(t), members, limit, holds)
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	t.Logf("%s after %v", what, took)
}

// without returns members but for those excluded.
func without(all []*Member, excluded ...*Member) []*Member {
	return slices.DeleteFunc(slices.Clone(all), func(member *Member) bool {
		return slices.Contains(excluded, member)
	})
}

// must ends the test on an error.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Case 1: kill -9 of one of seven members; every live view marks it dead within the worst time wanted.
func TestKilledMemberIsDeadEverywhere(t *testing.T) {
	t.Parallel()
	rig := start(t, Options{Members: 7})
	for range 3 {
		member := rig.Members[3]
		rig.Kill(member)
		waitViews(t, rig.Running(), 3*time.Second, "dead everywhere", StatusIs("dead", member.Name))
		must(t, rig.Spawn(testContext(t), member, Unchanged))
		waitViews(t, rig.Running(), 5*time.Second, "back everywhere", OnlyAlive(MemberNames(rig.Running())...))
	}
}

// Case 2: a partition that outlasts the dead timeout, then healed: one view everywhere again.
func TestViewsConvergeAfterPartition(t *testing.T) {
	t.Parallel()
	rig := start(t, Options{Members: 7, Relay: true})
	left, right := rig.Members[:3], rig.Members[3:]
	partitionedAt := time.Now()
	rig.Net.Partition(MemberNames(left), MemberNames(right))
	waitViews(t, left, 15*time.Second, "the three see the four dead", OnlyAlive(MemberNames(left)...))
	waitViews(t, right, 15*time.Second, "the four see the three dead", OnlyAlive(MemberNames(right)...))
	if remaining := 20*time.Second - time.Since(partitionedAt); remaining > 0 && !underRace {
		time.Sleep(remaining) // the length; nothing is judged by it
	}
	rig.Net.Heal()
	waitViews(t, rig.Members, 5*time.Second, "one view after the heal", OnlyAlive(MemberNames(rig.Members)...))
}

// Case 3: a member that is paused again and again, then one whose links are slow: no healthy member is ever
// dead in any view.
func TestSlowMemberKillsNoHealthyOne(t *testing.T) {
	t.Parallel()
	if underRace {
		t.Skip("takes a minute and adds nothing for the race detector")
	}
	rig := start(t, Options{Members: 7, Relay: true})
	slow, healthy := rig.Members[6], rig.Members[:6]
	looks := 0
	calm := func(lasting time.Duration) {
		for end := time.Now().Add(lasting); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for by, page := range FetchViews(rig.Running()) {
				for _, member := range healthy {
					if seen, ok := FindMember(page, member.Name); !ok || seen.Status == "dead" || seen.Status == "left" {
						t.Fatalf("%s sees %s %q", by, member.Name, seen.Status)
					}
				}
				looks++
			}
		}
	}
	for range 4 {
		must(t, rig.Pause(slow))
		calm(2 * time.Second)
		must(t, rig.Resume(slow))
		calm(6 * time.Second)
	}
	waitViews(t, rig.Members, 5*time.Second, "one view after the pauses", OnlyAlive(MemberNames(rig.Members)...))
	for _, member := range healthy {
		rig.Net.Set(member.Name, slow.Name, faultnet.Fault{Delay: 300 * time.Millisecond})
		rig.Net.Set(slow.Name, member.Name, faultnet.Fault{Delay: 300 * time.Millisecond})
	}
	calm(28 * time.Second)
	t.Logf("%d views looked at; a healthy member was dead in none", looks)
	rig.Net.Heal()
	waitViews(t, rig.Members, 10*time.Second, "one view in the end", OnlyAlive(MemberNames(rig.Members)...))
}

// Case 4: A reaches B, B does not reach A: the others' probes keep both alive in the others' views.
func TestOneWayLinkKeepsBothAlive(t *testing.T) {
	t.Parallel()
	rig := start(t, Options{Members: 7, Relay: true})
	a, b := rig.Members[1], rig.Members[2]
	rig.Net.Set(b.Name, a.Name, faultnet.Fault{Blocked: true})
	others := without(rig.Members, a, b)
	end := time.Now().Add(6 * time.Second)
	for time.Now().Before(end) {
		for by, page := range FetchViews(others) {
			for _, member := range []*Member{a, b} {
				if seen, ok := FindMember(page, member.Name); !ok || seen.Status == "dead" {
					t.Fatalf("%s sees %s %q", by, member.Name, seen.Status)
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	page := FetchViews([]*Member{a})[a.Name]
	if page.Counters.IndirectProbes == 0 {
		t.Error("no probe went round the blocked link")
	}
	if counts := rig.Net.Counts(b.Name, a.Name); counts.Lost == 0 {
		t.Error("the blocked link lost nothing")
	}
	rig.Net.Heal()
	waitViews(t, rig.Members, 5*time.Second, "one view after the heal", OnlyAlive(MemberNames(rig.Members)...))
}

// Case 5: restarts under the same name: before the suspicion ends, at a new address, with a wiped folder.
func TestMemberRestartsUnderItsName(t *testing.T) {
	t.Parallel()
	rig := start(t, Options{Members: 5})
	for _, test := range []struct {
		name   string
		change Change
		dead   bool // wait until the others hold it dead first
	}{
		{"at once, at its address", Unchanged, false},
		{"at once, at a new address", NewAddress, false},
		{"at once, with a wiped folder", EmptyDisk, false},
		{"after its death, at a new address", NewAddress, true},
	} {
		member := rig.Members[2]
		before, _ := FindMember(FetchViews(rig.Members[:1])[rig.Members[0].Name], member.Name)
		rig.Kill(member)
		if test.dead {
			waitViews(t, rig.Running(), 3*time.Second, "dead everywhere", StatusIs("dead", member.Name))
		}
		must(t, rig.Spawn(testContext(t), member, test.change))
		waitViews(t, rig.Members, 10*time.Second, test.name, func(page gossip.Page) error {
			now, _ := FindMember(page, member.Name)
			if now.Incarnation <= before.Incarnation || now.Address != member.Gossip {
				return fmt.Errorf("%s is %+v, was %+v", member.Name, now, before)
			}
			return OnlyAlive(MemberNames(rig.Members)...)(page)
		})
	}
}

// Case 6: thirty processes started at once, then twenty of them killed at once.
func TestManyMembersDieAtOnce(t *testing.T) {
	t.Parallel()
	rig := start(t, Options{Members: 30, Seeds: 3})
	rig.Kill(rig.Members[10:]...)
	waitViews(t, rig.Members[:10], 20*time.Second, "twenty dead at once",
		OnlyAlive(MemberNames(rig.Members[:10])...))
}

// Case 7: a drain and then a SIGTERM are in every view within a second, with no suspicion on the way.
func TestDrainAndTermSpreadWithoutSuspicion(t *testing.T) {
	t.Parallel()
	rig := start(t, Options{Members: 7})
	member := rig.Members[4]
	must(t, member.Drain(true))
	phase := func(want string) func(gossip.Page) error {
		return func(page gossip.Page) error {
			if s, _ := FindMember(page, member.Name); s.Phase != want || s.Status != "alive" {
				return fmt.Errorf("%s is %s and %s", member.Name, s.Status, s.Phase)
			}
			return nil
		}
	}
	waitViews(t, rig.Members, time.Second, "draining everywhere", phase("draining"))
	must(t, member.Drain(false))
	waitViews(t, rig.Members, time.Second, "serving everywhere", phase("serving"))
	others := without(rig.Members, member)
	must(t, rig.Term(member, func() {
		waitViews(t, others, time.Second, "left everywhere", StatusIs("left", member.Name))
	}))
	for by, page := range FetchViews(others) {
		if s, _ := FindMember(page, member.Name); s.Suspected != 0 || s.Flaps != 1 {
			t.Errorf("%s saw %s on its way out as %+v", by, member.Name, s)
		}
	}
}

// calmFleetTOML are keys of [fleet] for tests in which no member fails: one that is slow to answer, on a busy
// machine, is not suspected.
const calmFleetTOML = "probe = \"20s\"\nprobe_timeout = \"10s\"\ngossip = \"100ms\"\nrejoin = \"500ms\"\n" +
	"sync_each = \"500ms\"\n"

// A second process under a live member's name is refused at its start, and nobody's view flaps. A reload
// that changes the fleet's keys is refused and logged.
func TestTakenNameAndChangedLabelAreRefused(t *testing.T) {
	t.Parallel()
	rig := start(t, Options{Members: 3, FleetTOML: calmFleetTOML})
	member := rig.Members[1]
	text, err := os.ReadFile(filepath.Join(rig.opts.Dir, member.Name+".toml"))
	must(t, err)
	twin := strings.Replace(string(text), `[fleet]
bind = "`, fmt.Sprintf("[fleet]\nseeds = [%q]\nbind = \"127.0.0.1:0\" # ", rig.Members[0].Gossip), 1)
	i := strings.LastIndex(twin, "seeds = ")
	twin = twin[:i] + "# " + twin[i:]
	file := filepath.Join(rig.opts.Dir, "twin.toml")
	must(t, os.WriteFile(file, []byte(twin), 0o600))
	command := exec.CommandContext(testContext(t), binary, "serve", "--config", file)
	if out, err := command.CombinedOutput(); err == nil ||
		!strings.Contains(string(out), "is held by a live member") {
		t.Errorf("the twin ended with %v and said\n%s", err, out)
	}
	// Its label is another in the file now, which takes a restart.
	changed := strings.Replace(string(text), fmt.Sprintf("label = %q", rig.label), `label = "other"`, 1)
	must(t, os.WriteFile(filepath.Join(rig.opts.Dir, member.Name+".toml"), []byte(changed), 0o600))
	must(t, member.process.Signal(1))
	must(t, poll(testContext(t), patience, pollInterval, func() error {
		if log := member.Log(); !strings.Contains(log, "fleet.label") {
			return fmt.Errorf("the refusal of the reload was not logged:\n%s", log)
		}
		return nil
	}))
	for by, page := range FetchViews(rig.Members) {
		if err := OnlyAlive(MemberNames(rig.Members)...)(page); err != nil || page.Label != rig.label {
			t.Errorf("%s, label %q: %v", by, page.Label, err)
		}
		if s, _ := FindMember(page, member.Name); s.Flaps != 0 {
			t.Errorf("%s saw %s flap: %+v", by, member.Name, s)
		}
	}
}

// A rig whose members come upon those of another one, by an address that was theirs before, stays apart from
// it, though names and settings are the same.
func TestRigsStayApart(t *testing.T) {
	t.Parallel()
	first := start(t, Options{Members: 2, FleetTOML: calmFleetTOML})
	seeds := fmt.Sprintf("seeds = [%q]\n", first.Members[0].Gossip)
	second := start(t, Options{Members: 1, FleetTOML: calmFleetTOML + seeds})
	rejected := func() error {
		var page gossip.Page
		if err := first.Members[0].GetJSON("/_fleet", &page); err != nil {
			return err
		}
		if page.Counters.OtherLabel == 0 {
			return errors.New("the first rig got nothing of the second")
		}
		return nil
	}
	must(t, poll(testContext(t), patience, pollInterval, rejected))
	for _, rig := range []*Rig{first, second} {
		for by, page := range FetchViews(rig.Members) {
			if err := OnlyAlive(MemberNames(rig.Members)...)(page); err != nil {
				t.Errorf("%s: %v", by, err)
			}
		}
	}
}
