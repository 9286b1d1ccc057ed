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
	// simSegmentGrowth lets a simulated log begin a new segment after some ten writes.
	simSegmentGrowth = 2000
)

// simEvent is something that happens at a virtual time.
type simEvent struct {
	at    time.Duration
	order int
	do    func()
}

// simQueue is a heap of events; it implements heap.Interface.
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

// simLink is the state of one direction between two addresses.
type simLink struct {
	blocked bool
	loss    float64
	delay   time.Duration
	// freeAt is when a link of limited rate has sent what was queued.
	freeAt time.Duration
}

// messageSize is about how many bytes a message takes on the wire.
func messageSize(m *Message) int {
	const header, past = 200, 45
	return header + len(m.Body) + past*len(m.History)
}

// simWorld is a fleet in virtual time: machines, network, and the history that was observed.
type simWorld struct {
	random     *rand.Rand
	now        time.Duration
	queue      simQueue
	eventOrder int
	machines   map[string]*simMachine
	// addresses are the machines in the order in which they were made.
	addresses []string
	links     map[[2]string]*simLink
	// duplicates is the probability that a message arrives twice.
	duplicates float64
	// rate is the bandwidth of a link in bytes per second; 0 is no limit.
	rate int
	// catchUpBytes counts the bytes of entries that were sent with their full history, by address.
	catchUpBytes map[string]int
	// members is Config.TargetMembers, requiredReplicas Config.RequiredReplicas of all nodes.
	members, requiredReplicas int
	// historyLength is Config.HistoryLength of all nodes.
	historyLength int
	// segmentGrowth is how far a machine's log grows before a new segment is begun.
	segmentGrowth int64
	requests      uint64
	identities    int
	history       simHistory
	// failure is the first broken invariant.
	failure string
	// point is called at each numbered point of a machine's step, if it is set.
	point func(machine *simMachine, name string)
	// trace collects what happened, for a failing seed.
	trace []string
}

// newWorld makes a world without machines.
func newWorld(seed int64) *simWorld {
	return &simWorld{
		random:           rand.New(rand.NewSource(seed)),
		members:          3,
		requiredReplicas: 2,
		machines:         map[string]*simMachine{},
		links:            map[[2]string]*simLink{},
		catchUpBytes:     map[string]int{},
		segmentGrowth:    simSegmentGrowth,

		historyLength: defaultHistoryLength,
		history:       newHistory(),
	}
}

// failf records a broken invariant.
func (w *simWorld) failf(format string, values ...any) {
	w.tracef(format, values...)
	if w.failure == "" {
		w.failure = fmt.Sprintf("%v: ", w.now) + fmt.Sprintf(format, values...)
	}
}

// tracef adds a line to the trace.
func (w *simWorld) tracef(format string, values ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%v ", w.now)+fmt.Sprintf(format, values...))
}

// after schedules an event.
func (w *simWorld) after(delay time.Duration, do func()) {
	w.eventOrder++
	heap.Push(&w.queue, simEvent{w.now + delay, w.eventOrder, do})
}

// run advances the virtual time.
func (w *simWorld) run(duration time.Duration) {
	end := w.now + duration
	for len(w.queue) > 0 && w.queue[0].at <= end && w.failure == "" {
		next := heap.Pop(&w.queue).(simEvent)
		w.now = next.at
		next.do()
	}
	w.now = end
}

// link returns one direction between two addresses.
func (w *simWorld) link(from, to string) *simLink {
	key := [2]string{from, to}
	if w.links[key] == nil {
		w.links[key] = &simLink{}
	}
	return w.links[key]
}

// transmit sends a message to the machine that has the address when it arrives.
func (w *simWorld) transmit(from string, envelope Envelope) {
	link := w.link(from, envelope.To.Address)
	if link.blocked || w.random.Float64() < link.loss {
		return
	}
	if m := &envelope.Message; m.Kind == Append && m.Resend && m.HasBody {
		w.catchUpBytes[envelope.To.Address] += messageSize(m)
	}
	if w.rate > 0 {
		onWire := time.Duration(messageSize(&envelope.Message)) * time.Second / time.Duration(w.rate)
		link.freeAt = max(link.freeAt, w.now) + onWire
		w.after(link.freeAt-w.now, func() { w.deliver(from, envelope) })
		return
	}
	deliveries := 1
	kind := envelope.Message.Kind
	if kind != Forward && kind != ForwardRead && w.random.Float64() < w.duplicates {
		deliveries = 2
	}
	for range deliveries {
		delay := 200*time.Microsecond + time.Duration(w.random.Int63n(int64(800*time.Microsecond+link.delay)))
		w.after(delay, func() { w.deliver(from, envelope) })
	}
}

// deliver delivers a message unless the link was blocked meanwhile.
func (w *simWorld) deliver(from string, envelope Envelope) {
	machine := w.machines[envelope.To.Address]
	if machine == nil || w.link(from, envelope.To.Address).blocked {
		return
	}
	machine.step(func(n *Node) Effects { return n.Receive(w.now, envelope.Message) })
}

// contacts returns all machines as contacts; of most only the address is known.
func (w *simWorld) contacts() []Member {
	var contacts []Member
	for _, address := range w.addresses {
		contacts = append(contacts, Member{Address: address})
	}
	return contacts
}

// newIdentity draws an identity.
func (w *simWorld) newIdentity() MemberID {
	w.identities++
	return MemberID(fmt.Sprintf("%02x-%d", w.random.Intn(256), w.identities))
}
