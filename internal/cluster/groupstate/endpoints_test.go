package groupstate

import "testing"

func TestOnlyTheOwnerPublishesTheEndpointList(t *testing.T) {
	l := newTestLog(t)
	a := l.acquire("a")
	publish := func(member string, token uint64, index int64, raw string) string {
		return l.applyStatus((&PublishEndpointList{Member: member, Token: token, DiscoveryIndex: index,
			Raw: []byte(raw)}).Encode())
	}
	for _, c := range []struct { // the cases depend on their order
		name   string
		member string
		token  uint64
		index  int64
		raw    string
		want   string
	}{
		{"confirms a list that was never published", "a", a, 1, "", StatusRejected},
		{"publishes", "a", a, 1, `{"one":1}`, StatusAccepted},
		{"confirms", "a", a, 1, "", StatusAccepted},
		{"invalid JSON", "a", a, 2, `{"cut`, StatusRejected},
		{"confirms a list of another index", "a", a, 2, "", StatusRejected},
		{"another member", "b", a, 2, `{"two":2}`, StatusStale},
		{"too large", "a", a, 2, string(make([]byte, maxEndpointListBytes+1)), StatusRejected},
		{"publishes a change", "a", a, 3, `{"three":3}`, StatusAccepted},
	} {
		if got := publish(c.member, c.token, c.index, c.raw); got != c.want {
			t.Errorf("%s: status %s, want %s", c.name, got, c.want)
		}
	}
	read := func(after uint64) EndpointView {
		answer, err := l.machine.Read(Query{Kind: QueryEndpoints, ChangedAfter: after}.Encode())
		if err != nil {
			t.Fatal(err)
		}
		return answer.(EndpointView)
	}
	first := read(0)
	if string(first.Raw) != `{"three":3}` || first.DiscoveryIndex != 3 ||
		len(read(first.ChangedVersion).Raw) != 0 {
		t.Errorf("%+v", first)
	}
	publish("a", a, 3, "")
	if again := read(first.ChangedVersion); again.Version <= first.Version ||
		again.ChangedVersion != first.ChangedVersion {
		t.Errorf("after the confirmation the view is %+v, before it %+v", again, first)
	}
	if _, err := l.machine.Read([]byte(`{"ask":"what"}`)); err == nil {
		t.Error("a query of an unknown kind was answered")
	}
}
