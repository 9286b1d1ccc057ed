package clusterrig

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"cresshub/internal/cluster/leaseholder"
	"cresshub/internal/cluster/ledger"
	"cresshub/internal/proxy/daemon"
	"cresshub/internal/testbed/proxystandin"
)

// TestLease is the lease in TestOwnerTOML, short so that many fit into a while.
const TestLease = 600 * time.Millisecond

// TestOwnerTOML are the keys of members in tests of owners: a ledger with short periods, and both chores.
const TestOwnerTOML = `[ledger]
bind = "127.0.0.1:0"
data = "{data}"
period = "200ms"
remember = 1
heartbeat = "40ms"
election = "300ms"
snapshot_entries = 500
keep = 10000
[owner]
chores = ["export", "list"]
sink = "{sink}"
lease = "600ms"
call = "400ms"
list_max_age = "2s"
list_poll = "50ms"
faults = "{data}.calls"
`

// OwnerPage is what a member's door says of the chores.
func OwnerPage(m *Member) (p leaseholder.Page, err error) {
	err = m.GetJSON("/_owner", &p)
	if err == nil && p.Problem != "" {
		err = errors.New(p.Problem)
	}
	return p, err
}

// WaitOwner waits for the member that acts as the owner, other than those left out, and returns its token
// too.
func (r *Rig) WaitOwner(ctx context.Context, limit time.Duration, exclude ...*Member) (*Member, uint64,
	error) {
	var last error
	end := time.Now().Add(limit)
	for ; time.Now().Before(end) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		for _, m := range r.Running() {
			if slices.Contains(exclude, m) {
				continue
			}
			var p leaseholder.Page
			if last = m.GetJSON("/_owner", &p); last == nil && p.Owns {
				return m, p.Token, nil
			}
		}
	}
	return nil, 0, fmt.Errorf("nobody owns the chores after %v (%v)", limit, last)
}

// delayCalls has a member stand still between its look at the lease and each of its calls, and waits until it
// does; calls go out late from then on.
func delayCalls(ctx context.Context, m *Member, d time.Duration) error {
	faults := m.Data + ".calls"
	text := fmt.Appendf(nil, `{"call_delay_ms": %d}`, d.Milliseconds())
	if err := os.WriteFile(faults, text, 0o600); err != nil {
		return err
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if os.Remove(faults+leaseholder.StalledSuffix) == nil {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("%s makes no call", m.Name)
		}
	}
}

// SinkTotals is what the sink has of each key, all periods and corrections added up.
func (r *Rig) SinkTotals() map[ledger.Key]int64 {
	out := map[ledger.Key]int64{}
	for _, e := range r.Sink.Entries() {
		for _, l := range e.Lines {
			out[ledger.Key{Tenant: e.Tenant, Class: l.Class, Answer: l.Answer}] += l.Count
		}
	}
	return out
}

// WaitExported waits until the sink has all answers that clients got, and says whether each period and tenant
// of the ledger is there once, as the ledger has it.
func (r *Rig) WaitExported(ctx context.Context, l *Clients, limit time.Duration) error {
	want, sum := l.Answers()
	end := time.Now().Add(limit)
	for {
		err := r.checkSinkTotals(want)
		if err == nil {
			break
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("of %d answers the ledger counts %d: %w", sum, r.ledgerAnswers(), err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if _, _, err := r.Sink.Audit(); err != nil {
		return err
	}
	return r.checkSinkAgainstLedger()
}

// ledgerAnswers is how many answers the ledger has, by whichever member can read it; -1 where none can.
func (r *Rig) ledgerAnswers() int64 {
	for _, m := range r.Running() {
		var p daemon.LedgerPage
		if m.GetJSON("/_ledger", &p) == nil && p.Ledger != nil {
			return p.Ledger.Stats.Answers
		}
	}
	return -1
}

// checkSinkTotals tells whether the sink's sums are those of the answers.
func (r *Rig) checkSinkTotals(want map[ledger.Key]int64) error {
	got := r.SinkTotals()
	for k, n := range want {
		if got[k] != n {
			return fmt.Errorf("%v: the sink has %d, clients got %d", k, got[k], n)
		}
	}
	for k, n := range got {
		if _, ok := want[k]; !ok {
			return fmt.Errorf("%v: the sink has %d, clients got none", k, n)
		}
	}
	return nil
}

// checkSinkAgainstLedger holds the sink's entries to the ledger's rows, period by period.
func (r *Rig) checkSinkAgainstLedger() error {
	var page daemon.LedgerPage
	var o leaseholder.Page
	for attempt := 0; ; attempt++ {
		m := r.Running()[attempt%len(r.Running())]
		var err error
		if o, err = OwnerPage(m); err == nil {
			err = m.GetJSON("/_ledger", &page)
		}
		if err == nil && page.Ledger != nil {
			break
		}
		if attempt > 100 {
			return fmt.Errorf("the ledger could not be read: %v %s", err, page.Problem)
		}
		time.Sleep(20 * time.Millisecond)
	}
	entries := r.Sink.Entries()
	for _, p := range page.Ledger.Periods {
		if p.ID > o.Store.Exported {
			continue
		}
		for _, e := range leaseholder.PeriodEntries(p.ID, p.Rows) {
			got, ok := entries[e.ID]
			if !ok || len(got.Lines) != len(e.Items) {
				return fmt.Errorf("period %d, %s: the sink has %+v, the ledger %+v", p.ID, e.Tenant, got, e)
			}
			for i, line := range e.Items {
				if g := got.Lines[i]; g.Class != line.Class || g.Answer != line.Answer || g.Count != line.Count ||
					g.BytesIn != line.BytesIn || g.BytesOut != line.BytesOut {
					return fmt.Errorf("period %d, %s: the sink has %+v, the ledger %+v", p.ID, e.Tenant, got, e)
				}
			}
		}
	}
	return nil
}

// FaultedOwners is what came of old owners that woke late.
type FaultedOwners struct {
	Pauses, Partitions int
	Refused            int // calls of old owners that the sink and discovery refused
	EndedWatches       int // watches of old owners that discovery ended
	RefusedEntries     int // entries of old owners that the log refused
	Median             time.Duration
	Worst              time.Duration // until another owned the chores
}

// FaultOwners pauses owners for three leases and wakes them, and cuts owners off from the other members but
// not from the sinks, so often each. The trouble finds each owner between its look at the lease and a call,
// which goes out once another owns the chores and the sink has heard of that; the round waits until the sink
// has refused it and the old owner says that it owns nothing.
func (r *Rig) FaultOwners(ctx context.Context, lease time.Duration, pauses, cuts int) (FaultedOwners, error) {
	rep := FaultedOwners{Pauses: pauses, Partitions: cuts}
	var took []time.Duration
	for i := range pauses + cuts {
		t, err := r.faultOwner(ctx, lease, i < pauses)
		if err != nil {
			return rep, fmt.Errorf("round %d: %w", i, err)
		}
		took = append(took, t)
	}
	slices.Sort(took)
	rep.Median, rep.Worst = took[len(took)/2], took[len(took)-1]
	_, refused, err := r.Sink.Audit()
	d := r.Discovery.OwnerCalls()
	rep.Refused, rep.EndedWatches = refused+d.Stale, d.EndedWatches
	if p, pageErr := OwnerPage(r.Running()[0]); pageErr == nil {
		rep.RefusedEntries = int(p.Store.Stats.Stale)
	}
	return rep, err
}

// faultOwner plays one round of FaultOwners and says how long another owner took.
func (r *Rig) faultOwner(ctx context.Context, lease time.Duration, pause bool) (time.Duration, error) {
	old, token, err := r.WaitOwner(ctx, 10*time.Second)
	if err != nil {
		return 0, err
	}
	others := slices.DeleteFunc(slices.Clone(r.Members), func(m *Member) bool { return m == old })
	stands := lease
	if !pause { // nothing else holds the call up
		stands = 3 * lease
	}
	if err := delayCalls(ctx, old, stands); err != nil {
		return 0, err
	}
	begun := time.Now()
	if pause {
		err = r.Pause(old)
	} else {
		r.Net.Partition([]string{old.Name}, MemberNames(others))
	}
	if err != nil {
		return 0, err
	}
	next, higher, err := r.WaitOwner(ctx, 10*time.Second, old)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", old.Name, err)
	}
	took := time.Since(begun)
	if higher <= token {
		return took, fmt.Errorf("%s has token %d after %d", next.Name, higher, token)
	}
	err = r.waitSinkCall(ctx, fmt.Sprintf("of token %d", higher), func(c proxystandin.SinkCall) bool {
		return c.Token >= higher
	})
	if err != nil {
		return took, err
	}
	if rest := 3*lease - time.Since(begun); rest > 0 {
		time.Sleep(rest) // the length of the trouble; nothing is judged by it
	}
	if pause {
		err = r.Resume(old)
	} else {
		r.Net.Heal()
	}
	if err != nil {
		return took, err
	}
	err = r.waitSinkCall(ctx, fmt.Sprintf("of token %d, late", token), func(c proxystandin.SinkCall) bool {
		return c.Token == token && c.Status == http.StatusConflict
	})
	return took, errors.Join(err, r.waitStepDown(ctx, old, token), os.Remove(old.Data+".calls"))
}

// waitSinkCall waits until the sink has seen a call.
func (r *Rig) waitSinkCall(ctx context.Context, what string, is func(proxystandin.SinkCall) bool) error {
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(pollInterval) {
		if slices.ContainsFunc(r.Sink.Calls(), is) {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("the sink saw no call %s", what)
		}
	}
}

// waitStepDown waits until a member says that it does not own the chores under a token any more.
func (r *Rig) waitStepDown(ctx context.Context, m *Member, token uint64) error {
	var p leaseholder.Page
	var err error
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if err = m.GetJSON("/_owner", &p); err == nil && (!p.Owns || p.Token > token) {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return fmt.Errorf("%s says after 5 s that it owns the chores with token %d: %+v (%v)", m.Name, token, p, err)
}
