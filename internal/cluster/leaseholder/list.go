package leaseholder

import (
	"bytes"
	"sync"
	"time"

	"cresshub/internal/cluster/groupstate"
)

// Feed is where a member's list of servers comes from.
type Feed struct {
	Held  bool   // an owner's list is followed; discovery is not asked
	Token uint64 // that calls on discovery carry, 0 for none
}

// Source is this member's list of servers.
type Source interface {
	// Feed says where the list comes from; it returns at once.
	Feed(Feed)
	// Heard is when discovery last said something on the watch that stands, zero where it never did.
	Heard() time.Time
	// Index is discovery's count of changes of the list as it is held.
	Index() int64
	// Export is the list as it is held, in discovery's form; the same list gives the same bytes.
	Export() ([]byte, error)
	// Replace takes a whole list in.
	Replace(raw []byte)
}

// List has the owner ask discovery for all, and this member go by what the owner told.
type List struct {
	Source  Source
	MaxAge  time.Duration // an owner's list that is older is not gone by
	Spread  time.Duration // this member's own wait beyond, drawn once
	Poll    time.Duration // between looks at the store
	Silence time.Duration // a watch that says nothing for so long is broken

	owner *Owner

	mu       sync.Mutex
	follower *groupstate.Follower
	fed      Feed
	known    bool // fed was said
	ran      time.Time
	problem  string

	// What publishing alone uses.
	token   uint64 // that the list was told under last
	told    []byte
	index   int64
	toldAt  time.Time
	changed uint64 // the version of the list that was taken last; following alone uses it
}

func (l *List) begin(w *Owner) {
	l.owner = w
	l.follower = groupstate.NewFollower(0, l.MaxAge, l.Spread)
	l.feed()
}

// feed says where the list comes from now: as the owner from discovery under the token, else from the
// owner's list while that is young enough, else from discovery without one.
func (l *List) feed() {
	token, _, acts := l.owner.Acting()
	l.mu.Lock()
	defer l.mu.Unlock()
	f := Feed{Token: token}
	if !acts {
		f = Feed{Held: l.follower.Held(l.owner.now())}
	}
	if l.known && f == l.fed {
		return
	}
	if l.known && l.fed.Held && !f.Held && !acts {
		l.owner.o.Log.Warn("owner: no owner's list is young enough; asking discovery", "age",
			l.follower.Age(l.owner.now()).Round(time.Millisecond))
	}
	l.fed, l.known = f, true
	l.Source.Feed(f)
}

// publishing tells the list while this member is the owner and hears discovery.
func (l *List) publishing() {
	defer l.owner.done.Done()
	tick := time.NewTicker(min(l.Poll, 100*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-l.owner.stop:
			return
		case <-l.owner.wake:
		case <-tick.C:
		}
		l.feed()
		token, _, acts := l.owner.Acting()
		if !acts || time.Since(l.Source.Heard()) > l.Silence {
			continue
		}
		err := l.publish(token)
		l.mu.Lock()
		l.problem = ""
		if err != nil {
			l.problem = err.Error()
		} else {
			l.ran = time.Now()
		}
		l.mu.Unlock()
	}
}

// publish tells the list where it changed, and that it did not once a quarter of its time has passed.
func (l *List) publish(token uint64) error {
	index := l.Source.Index()
	if token == l.token && index == l.index && time.Since(l.toldAt) < l.MaxAge/4 {
		return nil
	}
	raw, err := l.Source.Export()
	if err != nil || raw == nil {
		return err
	}
	c := &groupstate.List{Member: l.owner.o.Name, Token: token, Index: index}
	if token != l.token || index != l.index || !bytes.Equal(raw, l.told) {
		c.Raw = raw
	}
	begun := time.Now()
	if err := l.owner.enter(token, c.Encode()); err != nil {
		l.token = 0 // what the log has is not known: the whole list next time
		return err
	}
	l.token, l.index, l.told, l.toldAt = token, index, raw, begun
	return nil
}

// following takes in the owner's list.
func (l *List) following() {
	defer l.owner.done.Done()
	tick := time.NewTicker(l.Poll)
	defer tick.Stop()
	for {
		select {
		case <-l.owner.stop:
			return
		case <-tick.C:
		}
		q := groupstate.Query{Ask: groupstate.AskList, After: l.changed}
		var v groupstate.ListView
		if got, ok := l.owner.o.Store.Peek(q.Encode()); ok {
			v, _ = got.(groupstate.ListView)
		} else if l.owner.read(max(l.Poll, 500*time.Millisecond), q, &v) != nil {
			v = groupstate.ListView{}
		}
		l.take(v)
		l.feed()
	}
}

// take takes in the list as the store has it.
func (l *List) take(v groupstate.ListView) {
	if v.Version == 0 {
		return
	}
	_, _, acts := l.owner.Acting()
	held := l.Source.Index()
	l.mu.Lock()
	taken := l.follower.Learn(l.owner.now(), v, held)
	l.mu.Unlock()
	if !taken || len(v.Raw) == 0 {
		return
	}
	l.changed = v.Changed
	if !acts { // the owner has it from discovery
		l.Source.Replace(v.Raw)
	}
}
