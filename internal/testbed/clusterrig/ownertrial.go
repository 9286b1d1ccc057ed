package clusterrig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"cresshub/internal/proxy/daemon"
)

// OwnerTrialOptions are the faults injected into owners, one after the other, while clients send.
type OwnerTrialOptions struct {
	Members, Pauses, Partitions, Kills int
	Lease, Election                    time.Duration
}

// OwnerTrial is the result of a trial of owners. Times are in milliseconds.
type OwnerTrial struct {
	LeaseMS        float64 `json:"lease_ms"`
	ElectionMS     float64 `json:"election_ms"`
	Pauses         int     `json:"pauses"`
	Partitions     int     `json:"cuts"`
	Kills          int     `json:"kills"`
	LateMedian     float64 `json:"late_median_ms"` // until a new owner after a pause or partition
	LateWorst      float64 `json:"late_worst_ms"`
	KillMedian     float64 `json:"kill_median_ms"`
	KillWorst      float64 `json:"kill_worst_ms"`
	Refused        int     `json:"refused"` // calls of former owners that the sink and discovery refused
	EndedWatches   int     `json:"ended"`   // watches of former owners that discovery ended
	RefusedEntries int     `json:"entries_refused"`
	StaleAccepted  int     `json:"stale_taken"` // calls of former owners that the sink accepted
	Answers        int64   `json:"answers"`     // final answers that clients got
	Exported       int64   `json:"sent"`        // of them in the sink
	SinkEntries    int     `json:"entries"`
	Periods        int     `json:"periods"` // that the entries are of
	Lists          int     `json:"list_calls"`
}

// RunOwnerTrial starts members, injects the faults under a load, and checks that every answer was exported
// once.
func RunOwnerTrial(ctx context.Context, o Options, t OwnerTrialOptions) (*OwnerTrial, error) {
	o.Members, o.Zones, o.Sink, o.Relay = t.Members, 3, true, true
	if o.FleetTOML == "" {
		// No replica is replaced while its member is paused or partitioned: else the members that clients talk to
		// would become replicas, and be killed as owners with their clients' counts in memory.
		o.FleetTOML = strings.Replace(DefaultFleetTOML(), `gone_after = "2s"`, `gone_after = "10m"`, 1) +
			"forget = \"1h\"\n"
	}
	o.ExtraTOML += t.ownerTOML()
	r, err := Start(ctx, o)
	if err != nil {
		return nil, err
	}
	defer r.discard()
	if _, err := r.WaitOwner(ctx, 30*time.Second+4*t.Lease); err != nil {
		return nil, err
	}
	targets, err := r.nonReplicas(ctx)
	if err != nil {
		return nil, err
	}
	clients := NewClients()
	stop := clients.Start(ctx, targets, 4)
	rep := &OwnerTrial{LeaseMS: milliseconds(t.Lease), ElectionMS: milliseconds(t.Election), Pauses: t.Pauses,
		Partitions: t.Partitions, Kills: t.Kills}
	err = r.injectOwnerFaults(ctx, t, rep)
	stop()
	if err != nil {
		return nil, err
	}
	if err := r.WaitExported(ctx, clients, time.Minute); err != nil {
		return nil, err
	}
	rep.Answers = clients.TotalAnswers()
	return rep, r.summarizeOwnerTrial(rep)
}

// ownerTOML is ShortLeaseTOML with the trial's lease and election timeout.
func (t *OwnerTrialOptions) ownerTOML() string {
	return strings.NewReplacer(
		`lease = "600ms"`, fmt.Sprintf("lease = %q", t.Lease),
		`list_max_age = "2s"`, fmt.Sprintf("list_max_age = %q", max(2*time.Second, 2*t.Lease)),
		`election = "300ms"`, fmt.Sprintf("election = %q", t.Election),
	).Replace(ShortLeaseTOML)
}

// summarizeOwnerTrial fills in what sink and discovery counted.
func (r *Rig) summarizeOwnerTrial(rep *OwnerTrial) (err error) {
	for _, n := range r.SinkTotals() {
		rep.Exported += n
	}
	periods := map[uint64]bool{}
	for _, e := range r.Sink.Entries() {
		periods[e.Period] = true
	}
	rep.SinkEntries, rep.Periods, rep.Lists = len(r.Sink.Entries()), len(periods), r.Discovery.Calls()
	rep.StaleAccepted, rep.Refused, err = r.Sink.Audit()
	calls := r.Discovery.OwnerCalls()
	rep.Refused, rep.EndedWatches = rep.Refused+calls.Stale, calls.EndedWatches
	return err
}

// injectOwnerFaults injects the pauses and partitions, then the kills.
func (r *Rig) injectOwnerFaults(ctx context.Context, t OwnerTrialOptions, rep *OwnerTrial) error {
	if t.Pauses+t.Partitions > 0 {
		late, err := r.FaultOwners(ctx, t.Lease, t.Pauses, t.Partitions)
		if err != nil {
			return err
		}
		rep.LateMedian, rep.LateWorst = milliseconds(late.Median), milliseconds(late.Worst)
		rep.RefusedEntries = late.RefusedEntries
	}
	var took []time.Duration
	for range t.Kills {
		killed, err := r.WaitOwner(ctx, 10*time.Second+t.Lease)
		if err != nil {
			return err
		}
		r.Kill(killed.Member)
		started := time.Now()
		next, err := r.WaitOwner(ctx, 10*time.Second+t.Lease)
		if err != nil {
			return err
		}
		took = append(took, next.takeoverTime(started))
		if next.Token <= killed.Token {
			return fmt.Errorf("%s has token %d after %d", next.Name, next.Token, killed.Token)
		}
		if err := r.Spawn(ctx, killed.Member, Unchanged); err != nil {
			return err
		}
	}
	if len(took) > 0 {
		slices.Sort(took)
		rep.KillMedian, rep.KillWorst = milliseconds(took[len(took)/2]), milliseconds(took[len(took)-1])
	}
	return ctx.Err()
}

// nonReplicas returns the members without a replica of the ledger. They aren't killed: a killed process loses
// the counts of its clients that it has in memory.
func (r *Rig) nonReplicas(ctx context.Context) ([]*Member, error) {
	for ctx.Err() == nil {
		var p daemon.LedgerPage
		if err := r.Members[0].GetJSON("/_ledger?period=1&tenant=-", &p); err != nil {
			return nil, err
		}
		leader := r.Member(p.Group.Leader)
		if leader != nil && leader.GetJSON("/_ledger?period=1&tenant=-", &p) == nil && len(p.Group.Voters) >= 3 {
			others := slices.DeleteFunc(slices.Clone(r.Members), func(m *Member) bool {
				return slices.Contains(p.Group.Voters, m.Name)
			})
			if len(others) == 0 {
				return nil, errors.New("every member holds a replica; more members are wanted")
			}
			return others, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, ctx.Err()
}

// Print writes the trial as tables.
func (t *OwnerTrial) Print(w io.Writer) error {
	var b strings.Builder
	b.WriteString("FAULT\tINJECTED\tNEW OWNER MEDIAN\tWORST\n")
	fmt.Fprintf(&b, "paused three leases, cut off\t%d, %d\t%.0f ms\t%.0f ms\n", t.Pauses, t.Partitions,
		t.LateMedian, t.LateWorst)
	fmt.Fprintf(&b, "killed and restarted\t%d\t%.0f ms\t%.0f ms\n", t.Kills, t.KillMedian, t.KillWorst)
	b.WriteString("\nCALLS REFUSED\tWATCHES ENDED\tLOG ENTRIES REFUSED\tSTALE CALLS TAKEN\tLIST CALLS\n")
	fmt.Fprintf(&b, "%d\t%d\t%d\t%d\t%d\n", t.Refused, t.EndedWatches, t.RefusedEntries, t.StaleAccepted,
		t.Lists)
	b.WriteString("\nANSWERS\tSENT\tENTRIES\tPERIODS\n")
	fmt.Fprintf(&b, "%d\t%d\t%d\t%d\n", t.Answers, t.Exported, t.SinkEntries, t.Periods)
	return writeTable(w, b.String(), 0)
}

// JSON writes it as one object.
func (t *OwnerTrial) JSON(w io.Writer) error { return json.NewEncoder(w).Encode(t) }
