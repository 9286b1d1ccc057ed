package clusterrig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"cresshub/internal/proxy/daemon"
)

// OwnerTrialOptions are how owners are tried: with a lease and an election timeout, so many pauses, cuts and
// kills, while clients send.
type OwnerTrialOptions struct {
	Members, Pauses, Partitions, Kills int
	Lease, Election                    time.Duration
}

// OwnerTrial is what came of it.
type OwnerTrial struct {
	LeaseMS        float64 `json:"lease_ms"`
	ElectionMS     float64 `json:"election_ms"`
	Pauses         int     `json:"pauses"`
	Partitions     int     `json:"cuts"`
	Kills          int     `json:"kills"`
	LateMedian     float64 `json:"late_median_ms"` // until another owned the chores after a pause or a cut
	LateWorst      float64 `json:"late_worst_ms"`
	KillMedian     float64 `json:"kill_median_ms"`
	KillWorst      float64 `json:"kill_worst_ms"`
	Refused        int     `json:"refused"` // calls of old owners that sinks refused
	EndedWatches   int     `json:"ended"`   // watches of old owners that discovery ended
	RefusedEntries int     `json:"entries_refused"`
	StaleAccepted  int     `json:"stale_taken"` // calls of old owners that the sink took
	Answers        int64   `json:"answers"`     // that clients got
	Sent           int64   `json:"sent"`        // of them in the sink
	Exported       int     `json:"entries"`     // in the sink
	Periods        int     `json:"periods"`     // of them, different ones
	Lists          int     `json:"list_calls"`
}

// RunOwnerTrial starts members and injects the faults.
func RunOwnerTrial(ctx context.Context, o Options, t OwnerTrialOptions) (*OwnerTrial, error) {
	o.Members, o.Zones, o.Sink, o.Relay = t.Members, 3, true, true
	if o.FleetTOML == "" {
		// No replica is replaced while its member is paused or away: those that clients talk to would come to hold
		// replicas, and be killed as owners with what they have in memory of their clients.
		o.FleetTOML = strings.Replace(TestFleetTOML, `gone_after = "2s"`, `gone_after = "10m"`, 1) +
			"forget = \"1h\"\n"
	}
	keys := strings.Replace(TestOwnerTOML, `lease = "600ms"`, fmt.Sprintf("lease = %q", t.Lease), 1)
	keys = strings.Replace(keys, `list_max_age = "2s"`, fmt.Sprintf("list_max_age = %q",
		max(2*time.Second, 2*t.Lease)), 1)
	o.ExtraTOML += strings.Replace(keys, `election = "300ms"`, fmt.Sprintf("election = %q", t.Election), 1)
	r, err := Start(ctx, o)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	if _, _, err := r.WaitOwner(ctx, 30*time.Second+4*t.Lease); err != nil {
		return nil, err
	}
	spare, err := r.nonReplicas(ctx)
	if err != nil {
		return nil, err
	}
	c, stop := context.WithCancel(ctx)
	l := NewClients()
	done := make(chan struct{})
	go func() { defer close(done); l.Run(c, spare, 4) }()
	rep := &OwnerTrial{LeaseMS: ms(t.Lease), ElectionMS: ms(t.Election), Pauses: t.Pauses,
		Partitions: t.Partitions, Kills: t.Kills}
	err = r.injectOwnerFaults(ctx, t, rep)
	stop()
	<-done
	if err != nil {
		return nil, err
	}
	if err := r.WaitExported(ctx, l, time.Minute); err != nil {
		return nil, err
	}
	_, rep.Answers = l.Answers()
	for _, n := range r.SinkTotals() {
		rep.Sent += n
	}
	periods := map[uint64]bool{}
	for _, e := range r.Sink.Entries() {
		periods[e.Period] = true
	}
	rep.Exported, rep.Periods, rep.Lists = len(r.Sink.Entries()), len(periods), r.Discovery.Calls()
	rep.StaleAccepted, rep.Refused, err = r.Sink.Audit()
	d := r.Discovery.OwnerCalls()
	rep.Refused, rep.EndedWatches = rep.Refused+d.Stale, d.EndedWatches
	return rep, err
}

func (r *Rig) injectOwnerFaults(ctx context.Context, t OwnerTrialOptions, rep *OwnerTrial) error {
	if t.Pauses+t.Partitions > 0 {
		late, err := r.FaultOwners(ctx, t.Lease, t.Pauses, t.Partitions)
		if err != nil {
			return err
		}
		rep.LateMedian, rep.LateWorst, rep.RefusedEntries = ms(late.Median), ms(late.Worst), late.RefusedEntries
	}
	var took []time.Duration
	for range t.Kills {
		m, token, err := r.WaitOwner(ctx, 10*time.Second+t.Lease)
		if err != nil {
			return err
		}
		r.Kill(m)
		begun := time.Now()
		next, higher, err := r.WaitOwner(ctx, 10*time.Second+t.Lease)
		if err != nil {
			return err
		}
		took = append(took, time.Since(begun))
		if higher <= token {
			return fmt.Errorf("%s has token %d after %d", next.Name, higher, token)
		}
		if err := r.Restart(ctx, m, false, false); err != nil {
			return err
		}
	}
	if len(took) > 0 {
		slices.Sort(took)
		rep.KillMedian, rep.KillWorst = ms(took[len(took)/2]), ms(took[len(took)-1])
	}
	return ctx.Err()
}

// nonReplicas are the members that hold no replica: what a killed one has in memory of its clients is lost,
// and they are not killed.
func (r *Rig) nonReplicas(ctx context.Context) ([]*Member, error) {
	for ctx.Err() == nil {
		var p daemon.LedgerPage
		if err := r.Members[0].GetJSON("/_ledger?period=1&tenant=-", &p); err != nil {
			return nil, err
		}
		lead := r.Member(p.Group.Leader)
		if lead != nil && lead.GetJSON("/_ledger?period=1&tenant=-", &p) == nil && len(p.Group.Voters) >= 3 {
			out := slices.DeleteFunc(slices.Clone(r.Members), func(m *Member) bool {
				return slices.Contains(p.Group.Voters, m.Name)
			})
			if len(out) == 0 {
				return nil, errors.New("every member holds a replica; more members are wanted")
			}
			return out, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, ctx.Err()
}

// Print writes the trial as a table.
func (t *OwnerTrial) Print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "FAULT\tINJECTED\tNEW OWNER MEDIAN\tWORST")
	fmt.Fprintf(tw, "paused three leases, cut off\t%d, %d\t%.0f ms\t%.0f ms\n", t.Pauses, t.Partitions,
		t.LateMedian, t.LateWorst)
	fmt.Fprintf(tw, "killed and restarted\t%d\t%.0f ms\t%.0f ms\n", t.Kills, t.KillMedian, t.KillWorst)
	fmt.Fprintln(tw, "\nCALLS REFUSED\tWATCHES ENDED\tLOG ENTRIES REFUSED\tSTALE CALLS TAKEN\tLIST CALLS")
	fmt.Fprintf(tw, "%d\t%d\t%d\t%d\t%d\n", t.Refused, t.EndedWatches, t.RefusedEntries, t.StaleAccepted,
		t.Lists)
	fmt.Fprintln(tw, "\nANSWERS\tSENT\tENTRIES\tPERIODS")
	fmt.Fprintf(tw, "%d\t%d\t%d\t%d\n", t.Answers, t.Sent, t.Exported, t.Periods)
	return tw.Flush()
}

// JSON writes it as one object.
func (t *OwnerTrial) JSON(w io.Writer) error { return json.NewEncoder(w).Encode(t) }

// ListCalls are a fleet's calls on discovery's list, phase by phase.
type ListCalls struct {
	Members int     `json:"members"`
	Owner   bool    `json:"owner"`
	Start   int     `json:"start"`    // until every member has a list
	Quiet   int     `json:"quiet"`    // in QuietFor
	Rolling int     `json:"rolling"`  // while every member is restarted in turn
	Outage  int     `json:"outage"`   // while discovery answers nothing for OutageFor, and until all is well
	AtOnce  int     `json:"at_once"`  // after all were killed at once, until every member has a list
	Seconds float64 `json:"seconds"`  // all of it
	Minute  float64 `json:"a_minute"` // all calls over all of it
}

// How long the phases of ListCalls last that do not end by themselves.
const (
	QuietFor  = 10 * time.Second
	OutageFor = 8 * time.Second
)

// CountListCalls counts a fleet's calls on discovery, with an owner or without one.
func CountListCalls(ctx context.Context, o Options, members int, owned bool) (*ListCalls, error) {
	o.Members, o.Zones, o.Sink = members, 3, true
	o.FleetTOML = TestFleetTOML
	if owned {
		o.ExtraTOML = TestOwnerTOML
	}
	begun := time.Now()
	r, err := Start(ctx, o)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	c := &ListCalls{Members: members, Owner: owned}
	asked := 0
	rest := func(d time.Duration) error {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
		return ctx.Err()
	}
	for _, phase := range []struct {
		into *int
		act  func() error
	}{
		{&c.Start, func() error { return nil }},
		{&c.Quiet, func() error { return rest(QuietFor) }},
		{&c.Rolling, func() error {
			for _, m := range r.Members {
				if err := errors.Join(r.Term(m, nil), r.Restart(ctx, m, false, false)); err != nil {
					return err
				}
			}
			return nil
		}},
		{&c.Outage, func() error {
			r.Discovery.Fail(true)
			err := rest(OutageFor)
			r.Discovery.Fail(false)
			return errors.Join(err, rest(5*time.Second))
		}},
		{&c.AtOnce, func() error {
			r.Kill(r.Members...)
			return r.SpawnAll(ctx, r.Members)
		}},
	} {
		if err := errors.Join(phase.act(), r.waitReady(ctx, 60*time.Second)); err != nil {
			return nil, err
		}
		now := r.Discovery.Calls()
		*phase.into, asked = now-asked, now
	}
	c.Seconds = time.Since(begun).Seconds()
	c.Minute = float64(asked) / c.Seconds * 60
	return c, nil
}

// waitReady waits until every member says that it is ready, which wants a list.
func (r *Rig) waitReady(ctx context.Context, limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(pollInterval) {
		i := slices.IndexFunc(r.Members, func(m *Member) bool { return !m.Ready() })
		if i < 0 {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("%s is not ready after %v", r.Members[i].Name, limit)
		}
	}
}
