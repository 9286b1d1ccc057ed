// Package leaseholder runs the fleet's chores on the one member that holds their lease: the export of the
// ledger to a billing sink, and asking discovery for all. Who holds the lease is decided by package lease,
// what the chores leave in the log by package chore; this package does the calls, each with a time limit,
// none beyond the lease, and each with the lease's fencing token.
//
// Members that hold a replica of the group stand for owner, three or five of them: what they need to know is
// in their own copy of the log.
package leaseholder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"cresshub/internal/cluster/groupstate"
	"cresshub/internal/cluster/lease"
)

// Store is the replicated store as the chores use it.
type Store interface {
	// Propose has a command committed and applied, and returns what became of it.
	Propose(ctx context.Context, command []byte) (json.RawMessage, error)
	// Read answers a question from a state that holds all that was committed when it was asked.
	Read(ctx context.Context, query []byte) (json.RawMessage, error)
	// Peek answers from this member's own copy, which may be behind; false where it has none.
	Peek(query []byte) (any, bool)
}

// Options are what an Owner is told.
type Options struct {
	Name   string // this member's
	Lease  lease.Settings
	Store  Store
	Export *Export // nil where the ledger is not exported
	List   *List   // nil where the owner does not ask discovery for all
	Faults Faults  // nil but in tests
	Log    *slog.Logger
}

// Faults has calls go wrong, for tests and the laboratory.
type Faults interface {
	// Call is told of each call between the look at the lease and the call itself.
	Call()
}

// Figures count what happened to this member as an owner.
type Figures struct {
	Grants   int64 `json:"grants"`   // leases taken
	Renewals int64 `json:"renewals"` // granted
	Losses   int64 `json:"losses"`   // leases that ended without being given back
	GivenUp  int64 `json:"given_up"` // leases given back
	Calls    int64 `json:"calls"`    // side effects tried on the sink, and those that discovery refused
	Refused  int64 `json:"refused"`  // of them refused for their token
	Stale    int64 `json:"stale"`    // entries of the log refused for their token
	Failed   int64 `json:"failed"`   // calls that failed otherwise
	Entries  int64 `json:"entries"`  // taken by the sink, repeats included
	Repeated int64 `json:"repeated"` // of them, that it had before
	Resumed  int64 `json:"resumed"`  // intents of other owners that this one finished
}

// ErrNotOwner says that this member does not own the chores now.
var ErrNotOwner = errors.New("this member does not own the fleet's chores")

// errStale is a call that was refused for its token.
var errStale = errors.New("refused for its fencing token")

// Owner is this member's part in the chores.
type Owner struct {
	o     Options
	start time.Time

	mu     sync.Mutex
	member *lease.Member
	token  uint64 // of the lease that is acted under, 0 where none is
	fig    Figures
	last   time.Time // of the last try at the lease that came to nothing

	ctx  context.Context // ends with Close, and whatever is under way with it
	end  context.CancelFunc
	wake chan struct{} // the lease was taken
	stop chan struct{}
	done sync.WaitGroup
	once sync.Once
}

// New returns an owner's part; Run must follow.
func New(o Options) (*Owner, error) {
	m, err := lease.NewMember(o.Lease, o.Name, groupstate.Owner)
	if err != nil {
		return nil, fmt.Errorf("owner.%w", err)
	}
	w := &Owner{o: o, start: time.Now(), member: m, wake: make(chan struct{}, 1), stop: make(chan struct{})}
	w.ctx, w.end = context.WithCancel(context.Background())
	if o.Export != nil {
		o.Export.begin(w)
	}
	if o.List != nil {
		o.List.begin(w)
	}
	return w, nil
}

// now is this member's monotonic clock, as package lease wants it.
func (w *Owner) now() time.Duration { return time.Since(w.start) }

// tick is how often the lease is looked at.
func (w *Owner) tick() time.Duration { return max(w.o.Lease.Lease/40, 5*time.Millisecond) }

// Run takes part until Close. It returns at once.
func (w *Owner) Run() {
	w.done.Add(1)
	go w.leasing()
	if w.o.Export != nil {
		w.done.Add(1)
		go w.o.Export.run()
	}
	if w.o.List != nil {
		w.done.Add(2)
		go w.o.List.publishing()
		go w.o.List.following()
	}
}

// Close gives the lease back, if this member holds it, and ends.
func (w *Owner) Close() {
	w.once.Do(func() {
		close(w.stop)
		w.end()
		w.done.Wait()
		w.giveBack("the end of the process")
	})
}

// leasing looks at the lease and does what it wants, one command at a time.
func (w *Owner) leasing() {
	defer w.done.Done()
	tick := time.NewTicker(w.tick())
	defer tick.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-tick.C:
		}
		w.learn()
		w.note()
		w.mu.Lock()
		var c lease.Command
		ask := time.Since(w.last) > w.o.Lease.Lease/10
		if ask {
			c, ask = w.member.Next(w.now())
		}
		w.mu.Unlock()
		if ask {
			w.done.Add(1)
			go w.propose(c)
		}
	}
}

// learn takes the grant from this member's own copy of the log.
func (w *Owner) learn() {
	v, ok := w.o.Store.Peek(groupstate.Query{Ask: groupstate.AskGrant}.Encode())
	g, is := v.(lease.Grant)
	if !ok || !is {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.member.Learn(w.now(), g)
}

// propose has a lease's command committed and tells the member's side what became of it.
func (w *Owner) propose(c lease.Command) {
	defer w.done.Done()
	ctx, cancel := context.WithTimeout(w.ctx, w.o.Lease.Lease)
	defer cancel()
	raw, err := w.o.Store.Propose(ctx, groupstate.Lease(c))
	var r lease.Result
	if err == nil {
		err = json.Unmarshal(raw, &r)
	}
	w.mu.Lock()
	if err != nil {
		w.member.Lost()
		w.last = time.Now().Add(rand.N(w.o.Lease.Lease / 20))
	} else {
		w.member.Answered(w.now(), r)
		if r.Done && c.Op == lease.Renew {
			w.fig.Renewals++
		}
	}
	w.mu.Unlock()
	w.note()
}

// note tells of a lease that was taken or has ended since the last look.
func (w *Owner) note() {
	w.mu.Lock()
	token := uint64(0)
	if w.member.Acts(w.now()) {
		token = w.member.Token()
	}
	was := w.token
	w.token = token
	switch {
	case token == was:
		w.mu.Unlock()
		return
	case token != 0:
		w.fig.Grants++
	default:
		w.fig.Losses++
	}
	known := w.member.Known()
	w.mu.Unlock()
	if token == 0 {
		w.o.Log.Warn("owner: the lease has ended; this member does no chores any more", "token", was,
			"holder", known.Holder, "its_token", known.Token)
		return
	}
	w.o.Log.Info("owner: this member owns the fleet's chores", "token", token, "before", was)
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// giveBack hands the lease over at once.
func (w *Owner) giveBack(why string) {
	w.mu.Lock()
	c, ok := w.member.GiveBack()
	was := w.token
	w.token = 0
	if ok {
		w.fig.GivenUp++
	}
	w.mu.Unlock()
	if !ok {
		return
	}
	w.o.Log.Info("owner: the lease is given back", "token", was, "why", why)
	ctx, cancel := context.WithTimeout(context.Background(), w.o.Lease.Lease/2)
	defer cancel()
	if _, err := w.o.Store.Propose(ctx, groupstate.Lease(c)); err != nil {
		w.o.Log.Debug("owner: the lease was not given back; it ends by itself", "err", err)
	}
}

// Acting is the token to act with and how long it lasts; false where this member does not own the chores.
func (w *Owner) Acting() (token uint64, left time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	if !w.member.Acts(now) {
		return 0, 0, false
	}
	return w.member.Token(), w.member.Left(now), true
}

// call makes one call of a chore under a token, within a time and no longer than the lease lasts. What was
// refused for its token ends this member's ownership.
func (w *Owner) call(token uint64, within time.Duration, do func(ctx context.Context) error) error {
	now, left, ok := w.Acting()
	if !ok || now != token {
		return ErrNotOwner
	}
	if w.o.Faults != nil {
		w.o.Faults.Call() // the worst place to stand still: the lease was looked at, the call is not out
	}
	ctx, cancel := context.WithTimeout(w.ctx, min(within, left))
	defer cancel()
	err := do(ctx)
	w.mu.Lock()
	w.fig.Calls++
	switch {
	case errors.Is(err, errStale):
		w.fig.Refused++
	case err != nil:
		w.fig.Failed++
	}
	w.mu.Unlock()
	if errors.Is(err, errStale) {
		w.Fenced(token, err.Error())
	}
	return err
}

// Refused tells of a call on discovery that was refused for its token.
func (w *Owner) Refused(token uint64, why string) {
	w.mu.Lock()
	w.fig.Calls++
	w.fig.Refused++
	w.mu.Unlock()
	w.Fenced(token, why)
}

// Fenced tells that something done under a token was refused as stale: this member owns nothing any more.
func (w *Owner) Fenced(token uint64, why string) {
	w.o.Log.Warn("owner: a call was refused; another member owns the chores", "token", token, "why", why)
	if now, _, ok := w.Acting(); ok && now == token {
		w.giveBack("refused: " + why)
	}
}

// enter proposes a chore's entry under a token. nil says that it was applied.
func (w *Owner) enter(token uint64, command []byte) error {
	now, left, ok := w.Acting()
	if !ok || now != token {
		return ErrNotOwner
	}
	ctx, cancel := context.WithTimeout(w.ctx, left)
	defer cancel()
	raw, err := w.o.Store.Propose(ctx, command)
	var r groupstate.Result
	if err == nil {
		err = json.Unmarshal(raw, &r)
	}
	switch {
	case err != nil:
		return err
	case r.Status == groupstate.Stale:
		w.mu.Lock()
		w.fig.Stale++
		w.mu.Unlock()
		w.Fenced(token, r.Why)
		return errStale
	case r.Status != groupstate.Taken:
		return errors.New(r.Why)
	}
	return nil
}

// read asks the store, within a time.
func (w *Owner) read(within time.Duration, q groupstate.Query, into any) error {
	ctx, cancel := context.WithTimeout(w.ctx, within)
	defer cancel()
	raw, err := w.o.Store.Read(ctx, q.Encode())
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}
