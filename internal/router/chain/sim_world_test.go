package chain

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"
)

const (
	// simTick is how often a simulated node's Tick is called.
	simTick = 25 * time.Millisecond
	// simSegmentGrowth is the segmentlog.Options.MaxGrowth of simulated logs, in bytes. It makes a log begin a
	// new segment after about ten writes.
	simSegmentGrowth = 2000
)

// simEvent is a function that is called at a point of virtual time. Events of the same time run in the order
// in which they were scheduled.
type simEvent struct {
	at    time.Duration
	order int
	do    func()
}

// simQueue is a heap of events, the earliest first. It implements heap.Interface.
type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simLink is the state of the link from one address to another, in this direction alone.
type simLink struct {
	blocked         bool
	lossProbability float64
	// maxExtraDelay is the upper bound of a random delay that is added to the delay of a message.
	maxExtraDelay time.Duration
	// freeAt is when all messages that were sent so far have left a link of limited bandwidth.
	freeAt time.Duration
}

// messageSize returns the approximate size of an encoded message, in bytes.
func messageSize(m *Message) int {
	const headerSize, historyEntrySize = 200, 45
	return headerSize + len(m.Body) + historyEntrySize*len(m.History)
}

// simWorld simulates a set of machines and their network in virtual time, and records what the clients and
// nodes observe. It is deterministic for a seed: every draw comes from random.
type simWorld struct {
	random     *rand.Rand
	now        time.Duration
	queue      simQueue
	eventOrder int
	machines   map[string]*simMachine
	// addresses are the addresses of the machines in the order in which these were added.
	addresses []string
	links     map[[2]string]*simLink
	// duplicateProbability is the probability that a message arrives twice. Forward and ForwardRead never do.
	duplicateProbability float64
	// linkRate is the bandwidth of each link in bytes per second; 0 means unlimited. Messages on a link of
	// limited bandwidth arrive in order and at most once, each as soon as its bytes are transmitted.
	linkRate int
	// catchUpBytes counts the bytes of entries that were sent with body and full history, by the receiver's
	// address.
	catchUpBytes map[string]int
	// targetMembers and requiredReplicas are Config.TargetMembers and Config.RequiredReplicas of all nodes.
	targetMembers, requiredReplicas int
	// historyLength is Config.HistoryLength of all nodes.
	historyLength int
	// segmentGrowth is by how many bytes a machine's log grows before it begins a new segment.
	segmentGrowth int64
	// lastRequest is the number of the latest request.
	lastRequest uint64
	// identityCount counts the identities that were drawn.
	identityCount int
	history       simHistory
	// failure describes the first invariant that was violated; empty if none was.
	failure string
	// onPoint, if set, is called at each fault injection point that a machine reaches while it carries out the
	// effects of a step; see simMachine.reachPoint.
	onPoint func(machine *simMachine, name string)
	// trace is the log of the run, which is printed for a failing seed.
	trace []string
}

// newWorld returns a world without machines.
func newWorld(seed int64) *simWorld {
	return &simWorld{
		random:           rand.New(rand.NewSource(seed)),
		targetMembers:    3,
		requiredReplicas: 2,
		machines:         map[string]*simMachine{},
		links:            map[[2]string]*simLink{},
		catchUpBytes:     map[string]int{},
		segmentGrowth:    simSegmentGrowth,

		historyLength: defaultHistoryLength,
		history:       newHistory(),
	}
}

// failf records that an invariant was violated, which also ends run.
func (w *simWorld) failf(format string, values ...any) {
	w.tracef(format, values...)
	if w.failure == "" {
		w.failure = fmt.Sprintf("%v: ", w.now) + fmt.Sprintf(format, values...)
	}
}

// tracef appends a line to the trace.
func (w *simWorld) tracef(format string, values ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%v ", w.now)+fmt.Sprintf(format, values...))
}

// after schedules a call of do after a delay.
func (w *simWorld) after(delay time.Duration, do func()) {
	w.eventOrder++
	heap.Push(&w.queue, simEvent{w.now + delay, w.eventOrder, do})
}

// run advances the virtual time by a duration and handles the events that are due. It stops early once an
// invariant is violated.
func (w *simWorld) run(duration time.Duration) {
	end := w.now + duration
	for len(w.queue) > 0 && w.queue[0].at <= end && w.failure == "" {
		next := heap.Pop(&w.queue).(simEvent)
		w.now = next.at
		next.do()
	}
	w.now = end
}

// link returns the link from one address to another.
func (w *simWorld) link(from, to string) *simLink {
	key := [2]string{from, to}
	if w.links[key] == nil {
		w.links[key] = &simLink{}
	}
	return w.links[key]
}

// transmit sends a message, which the link may lose, delay or duplicate.
func (w *simWorld) transmit(from string, envelope Envelope) {
	link := w.link(from, envelope.To.Address)
	if link.blocked || w.random.Float64() < link.lossProbability {
		return
	}
	if m := &envelope.Message; m.Kind == Append && m.Resend && m.HasBody {
		w.catchUpBytes[envelope.To.Address] += messageSize(m)
	}
	if w.linkRate > 0 {
		transmission := time.Duration(messageSize(&envelope.Message)) * time.Second / time.Duration(w.linkRate)
		link.freeAt = max(link.freeAt, w.now) + transmission
		w.after(link.freeAt-w.now, func() { w.deliver(from, envelope) })
		return
	}
	deliveries := 1
	kind := envelope.Message.Kind
	if kind != Forward && kind != ForwardRead && w.random.Float64() < w.duplicateProbability {
		deliveries = 2
	}
	for range deliveries {
		delay := 200*time.Microsecond +
			time.Duration(w.random.Int63n(int64(800*time.Microsecond+link.maxExtraDelay)))
		w.after(delay, func() { w.deliver(from, envelope) })
	}
}

// deliver has the machine at the receiver's address handle a message, unless the link is blocked by now.
func (w *simWorld) deliver(from string, envelope Envelope) {
	machine := w.machines[envelope.To.Address]
	if machine == nil || w.link(from, envelope.To.Address).blocked {
		return
	}
	machine.step(func(n *Node) Effects { return n.Receive(w.now, envelope.Message) })
}

// contacts returns all machines as contacts, with their addresses only.
func (w *simWorld) contacts() []Member {
	var contacts []Member
	for _, address := range w.addresses {
		contacts = append(contacts, Member{Address: address})
	}
	return contacts
}

// newIdentity draws the identity of a disk.
func (w *simWorld) newIdentity() MemberID {
	w.identityCount++
	return MemberID(fmt.Sprintf("%02x-%d", w.random.Intn(256), w.identityCount))
}
