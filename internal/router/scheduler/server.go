package scheduler

import (
	"slices"
	"time"

	"cresshub/internal/router/catalog"

	"github.com/cespare/xxhash/v2"
)

const (
	speedGain     = 0.1 // of a sample in a server's relative speed
	slowestServer = 0.25
	fastestServer = 4.0
	newShare      = 0.2             // of a server's usual share, right after it was listed
	slowStart     = 2 * time.Second // until a new server has its whole share
	usualMemory   = 30.0            // figures that a server's usual load is the mean of
	coldShare     = 0.5             // of a server's usual share while it is cold
)

// server is what is known of one server.
type server struct {
	*catalog.Server
	hash   uint64
	listed time.Duration // when it was first seen
	warm   time.Duration // when it stops being cold
	speed  float64       // of the server relative to the fleet's

	told    Load
	toldAt  time.Duration
	known   bool    // it told a load
	others  float64 // calls of other proxies at the time it told its load
	usual   mean    // of others, over what it told lately
	calls   []*Call // own calls under way, oldest first
	reading float64 // ms of work of own calls that only read, when they were sent
	readAt  time.Duration
	changed bool  // something of this proxy's began or ended there since that was last told
	trust   trust // by its own calls
	handles trust // by the writers that fetched memory from it
	late    lateness

	newPrompts  []uint64 // names that the other proxies are to be told of
	shared      backlog  // work that other proxies told of
	sharedCalls float64  // their calls
}

// serverHash is what stands for a server where prompts are ranked and remembered.
func serverHash(id string) uint64 { return xxhash.Sum64String(id) }

func newServer(now time.Duration, s *catalog.Server) *server {
	return &server{Server: s, hash: serverHash(s.ID), listed: now, warm: now + s.Cold, speed: 1}
}

// list takes in what the newest table says of the server.
func (s *server) list(now time.Duration, newer *catalog.Server) {
	if newer.Sequence != s.Sequence {
		s.warm = now + newer.Cold
	}
	s.Server = newer
}

// tell takes in a load that the server told at a time, where it told no newer one: what of it is not this
// proxy's own calls.
func (s *server) tell(at time.Duration, load Load) {
	if s.known && at < s.toldAt {
		return
	}
	own := 0
	for _, call := range s.calls {
		if call.started <= at {
			own++
		}
	}
	s.told, s.toldAt, s.known = load, at, true
	s.others = max(0, float64(load.Running+load.Waiting-own))
	s.usual.add(s.others, usualMemory)
}

// noteNew remembers to tell the others of what a prompt shares that was sent here to be read for the first
// time.
func (s *server) noteNew(role Role, chain *prompt, heldBefore int) {
	if name, _, ok := chain.shared(); ok && role == Read && heldBefore < chain.length-1 {
		s.newPrompts = append(s.newPrompts, name)
	}
}

func (s *server) begin(call *Call) {
	s.changed = true
	if call.readWork > 0 {
		if s.reading == 0 {
			s.readAt = call.started
		}
		s.reading += call.readWork
	}
	s.calls = append(s.calls, call)
}

func (s *server) end(now time.Duration, call *Call) {
	s.changed = true
	if at := slices.Index(s.calls, call); at >= 0 {
		s.calls = slices.Delete(s.calls, at, at+1)
	}
	s.read(now, call)
}

// read notes that the server has read the prompt of a call, or will not read it any more.
func (s *server) read(now time.Duration, call *Call) {
	if call.readWork == 0 {
		return
	}
	s.changed = true
	s.reading, s.readAt = s.reading-call.readWork, now
	call.readWork = 0
	if s.reading < 1e-6 {
		s.reading = 0
	}
}

// readingLeft is the work in ms that own reads still have to do: reads run one after the other, so that what
// the server has worked since one ended is done. A quarter stays until they have ended.
func (s *server) readingLeft(now time.Duration) float64 {
	const least = 0.25
	return max(s.reading-ms(now-s.readAt), s.reading*least)
}

// slots is how many requests the server runs at once.
func (s *server) slots() float64 {
	if s.known && s.told.Slots > 0 {
		return float64(s.told.Slots)
	}
	return float64(max(s.Slots, 1))
}

// weight is the server's speed relative to the others, less while it is new or cold.
func (s *server) weight(now time.Duration) float64 {
	w := s.speed
	if age := now - s.listed; age < slowStart {
		w *= newShare + (1-newShare)*max(0, float64(age)/float64(slowStart))
	}
	if now < s.warm {
		w *= coldShare
	}
	return w
}

// measured takes in how fast the server was, beside what was expected.
func (s *server) measured(expected, took float64) {
	if took > 0 {
		s.speed += speedGain * (expected/took - s.speed)
	}
	s.speed = min(max(s.speed, slowestServer), fastestServer)
}
