package leaseholder

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"cresshub/internal/cluster/groupstate"
	"cresshub/internal/cluster/ledger"
	"cresshub/internal/testbed/proxystandin"
)

// The next owner resumes an open export and sends the same entries; a correction of a period that was already
// frozen is sent as an entry of its own; and a runner releases the lease when it is closed.
func TestNextOwnerResumesTheExport(t *testing.T) {
	setup := startExportingHolder(t, longLease)
	sink, s, a := setup.sink, setup.store, setup.holder
	s.addPeriod(5)
	eventually(t, "period 1 exported", func() error { return checkExported(s, 1) })
	sink.SetFault(proxystandin.SinkFault{Reset: true}) // the sink stores the entries but resets the connection
	s.addPeriod(7)
	eventually(t, "first entries of period 2 stored", func() error {
		if len(sink.Entries()) < 3 {
			return fmt.Errorf("%d entries", len(sink.Entries()))
		}
		return nil
	})
	s.apply((&ledger.Correction{ID: "late", Period: 2, Key: ledger.Key{Tenant: "ramen-kita",
		Class: "zone-lookup", Answer: "passed"}, Usage: ledger.Usage{Count: -1}, Reason: "asked for"}).Encode())
	a.Close()
	if v := s.view(); v.Grant.Holder != "" || v.IntentPeriod != 2 {
		t.Fatalf("after a was closed the view is %+v", v)
	}
	sink.SetFault(proxystandin.SinkFault{})
	b := startRunner(t, s, longLease, "b", sink.Address(), nil)
	eventually(t, "period 2 exported", func() error { return checkExported(s, 2) })
	eventually(t, "correction exported", func() error {
		if _, ok := sink.Entries()["2/correction/late"]; !ok || s.view().PendingCorrections > 0 {
			return fmt.Errorf("%+v", s.view())
		}
		return nil
	})
	e := sink.Entries()["2/ramen-kita"]
	if len(e.Lines) != 1 || e.Lines[0].Count != 7 || e.Lines[0].BytesIn != 14 || len(sink.Entries()) != 5 {
		t.Errorf("entry %+v, one of %d", e, len(sink.Entries()))
	}
	if _, _, err := sink.Audit(); err != nil {
		t.Error(err)
	}
	if p := b.Page(); p.Stats.Resumed == 0 || p.Stats.Duplicates == 0 || p.Holder != "b" || !p.Owns {
		t.Errorf("%+v", p)
	}
}

func checkExported(s *memoryStore, period uint64) error {
	if v := s.view(); v.LastExported < period {
		return fmt.Errorf("%+v", v)
	}
	return nil
}

// A lease holder that is partitioned from the store no longer owns the lease once another member has acquired
// it: it makes no more calls, and its commands are rejected as stale.
func TestPartitionedHolderStopsBeforeTheTakeover(t *testing.T) {
	setup := startExportingHolder(t, shortLease)
	sink, s, a, old := setup.sink, setup.store, setup.holder, setup.lease
	b := startRunner(t, s, shortLease, "b", sink.Address(), nil)
	s.setPartitioned(true, "a")
	awaitLease(t, b)
	if _, ok := a.activeLease(); ok {
		t.Error("two members own the lease")
	}
	s.addPeriod(1)
	eventually(t, "period 1 exported by b", func() error { return checkExported(s, 1) })
	if err := a.opts.Export.sendBatch(old.token, nil); !errors.Is(err, ErrNotOwner) {
		t.Errorf("call by a after its lease: %v, want ErrNotOwner", err)
	}
	stale := &groupstate.ExportDone{Member: "a", Token: old.token, Period: 1}
	raw, counted := s.applyCountingStale(stale.Encode())
	var result groupstate.Result
	if err := json.Unmarshal(raw, &result); err != nil || result.Status != groupstate.StatusStale {
		t.Errorf("a's command: %s, %v", raw, err)
	}
	if counted != 1 {
		t.Errorf("a's command was counted as stale %d times", counted)
	}
}

func TestSinkResponseMustAccountForEveryEntry(t *testing.T) {
	exporter := startExportingHolder(t, longLease).holder.opts.Export
	for name, c := range map[string]struct {
		status int
		body   string
		sent   int
		stale  bool
		fails  bool
	}{
		"stored and duplicates":   {200, `{"stored":1,"repeated":2}`, 3, false, false},
		"no entries":              {200, `{"stored":0,"repeated":0}`, 0, false, false},
		"fewer entries than sent": {200, `{"stored":1,"repeated":1}`, 3, false, true},
		"a negative number":       {200, `{"stored":4,"repeated":-1}`, 3, false, true},
		"invalid JSON":            {200, `stored`, 0, false, true},
		"a redirect":              {302, ``, 0, false, true},
		"a stale token":           {409, "fencing token 1 is older than 2", 0, true, true},
		"an error of the sink":    {500, "oh", 0, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			err := exporter.checkResponse(sinkResponse{c.status, []byte(c.body)}, c.sent)
			if (err != nil) != c.fails || errors.Is(err, errStaleToken) != c.stale {
				t.Errorf("%d %s: %v", c.status, c.body, err)
			}
		})
	}
}

// Members use the lease holder's endpoint list and don't ask discovery. Without a lease holder they ask
// discovery, and they use the published list again once there is a holder and its list isn't older than
// theirs.
func TestMembersFollowTheOwnersEndpointList(t *testing.T) {
	s := newMemoryStore(t)
	s.setReadOnly("b") // else it could acquire the lease if this process is stalled for longer than a lease
	sourceA, sourceB := &fakeSource{index: 1, raw: "1"}, &fakeSource{}
	a := startRunner(t, s, shortLease, "a", "", sourceA)
	awaitLease(t, a)
	b := startRunner(t, s, shortLease, "b", "", sourceB)
	eventually(t, "b has the list", func() error {
		f, lists := sourceB.state()
		if published := int(a.Page().Stats.Grants); !f.FromOwner || len(lists) == 0 || len(lists) > published ||
			slices.ContainsFunc(lists, func(raw string) bool { return raw != "1" }) {
			return fmt.Errorf("%+v %v, published %d times", f, lists, published)
		}
		return nil
	})
	eventually(t, "the owner's list comes from discovery", func() error {
		if f, _ := sourceA.state(); f.FromOwner || f.Token == 0 {
			return fmt.Errorf("%+v", f)
		}
		return nil
	})
	sourceA.Replace([]byte("2"))
	eventually(t, "b has the changed list", func() error {
		if _, lists := sourceB.state(); lists[len(lists)-1] != "2" {
			return fmt.Errorf("%v", lists)
		}
		return nil
	})
	s.setPartitioned(true, "a", "b")
	for _, m := range []*fakeSource{sourceA, sourceB} {
		eventually(t, "without an owner each member asks discovery", func() error {
			if f, _ := m.state(); f != (Feed{}) {
				return fmt.Errorf("%+v", f)
			}
			return nil
		})
	}
	sourceB.Replace([]byte("3")) // b has a newer list than the owner publishes, which it must not replace
	s.setPartitioned(false, "a")
	awaitLease(t, a)
	s.setPartitioned(false, "b")
	time.Sleep(100 * time.Millisecond)
	if f, lists := sourceB.state(); f.FromOwner || lists[len(lists)-1] != "3" {
		t.Errorf("b, whose list is newer than the owner's, has the feed %+v and replaced its list by %v", f, lists)
	}
	sourceA.Replace([]byte("4"))
	eventually(t, "b uses the published list again", func() error {
		if f, lists := sourceB.state(); !f.FromOwner || lists[len(lists)-1] != "4" {
			return fmt.Errorf("%+v %v", f, lists)
		}
		return nil
	})
	eventually(t, "b's page shows the owner's list", func() error {
		if p := b.Page(); p.Endpoints == nil || !p.Endpoints.FromOwner || p.Owns {
			return fmt.Errorf("%+v", p)
		}
		return nil
	})
}
