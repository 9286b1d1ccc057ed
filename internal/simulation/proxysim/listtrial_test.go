package proxysim

import "testing"

// With an owner the number of calls on discovery doesn't depend on the size of the fleet, through starts,
// restarts and changes of the owner; without one each proxy makes its own. Where discovery or the group is
// unavailable, calls stay below those without an owner, or at one a proxy.
func TestListCallsStayFlat(t *testing.T) {
	play := func(trial string, n int, owner bool) ListTrialResult {
		t.Helper()
		r, err := RunListTrial(trial, ListTrialOptions{Proxies: n, Owner: owner, Seed: 7})
		if err != nil {
			t.Fatal(err)
		}
		if want := map[bool]int{true: 1, false: n}[owner]; r.Watches != want || r.WithoutList > 0 {
			t.Errorf("%s: %d watches stand in the end, %d are without a list: %+v", trial, r.Watches, r.WithoutList, r)
		}
		return r
	}
	for _, n := range []int{5, 30, 300} {
		for trial, most := range map[string]int{"quiet": 0, "start": 1, "rolling": 3, "owner": 1} {
			if r := play(trial, n, true); r.Calls > most || r.SelfFetching > 0 {
				t.Errorf("%s with an owner: %+v", trial, r)
			}
		}
		for _, trial := range []string{"start", "rolling"} {
			if r := play(trial, n, false); r.Calls < n {
				t.Errorf("%s without an owner: %+v", trial, r)
			}
		}
		if with, without := play("outage", n, true), play("outage", n, false); with.Calls >= without.Calls {
			t.Errorf("outage: %+v with an owner, %+v without", with, without)
		}
		if r := play("group", n, true); r.Calls > n+1 || r.SelfFetching == 0 {
			t.Errorf("the group is lost: %+v", r)
		}
	}
	if _, err := RunListTrial("nothing", ListTrialOptions{Proxies: 5}); err == nil {
		t.Error("a trial that is none was played")
	}
}
