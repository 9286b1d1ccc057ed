package routersim

import (
	"slices"
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/scheduler"
)

// Engine says how a model server works.
type Engine struct {
	Slots        int
	StepMs       float64 // a step of the batch: a token of each running request
	StepSlotMs   float64 // what each running request adds to a step
	ReadPerMs    float64 // tokens of prompts
	PairsMs      float64 // what a million pairs of tokens add that reading a prompt compares with each other
	SetupMs      float64 // of each request
	Chunk        int     // tokens of prompts that a reading server reads in a step
	CacheTokens  int
	TokenBytes   float64
	LinkMegabits float64
}

const (
	writerPace  = 2               // times as long as a reading server a writing one takes to read
	writerChunk = 4               // times smaller are the pieces that a writing server reads
	farMove     = 2               // times as long a move takes between zones
	longestMove = 2 * time.Second // a move that would wait for longer is not begun
)

// job is a request at a server.
type job struct {
	role    scheduler.Role
	request *scheduler.Request
	unread  int // tokens
	tokens  int // still to make
	urgency int // prompts that are not begun are read in the order of their urgency, 0 first
	begun   bool
	pinned  int
	gone    bool // its caller has left

	first func() // at the first token, for a read when it is done
	last  func() // at the last token
}

// server is one model server.
type server struct {
	*catalog.Server
	clock            *clock
	engine           *Engine
	speed            float64
	linkSlow         float64 // times as long moves take
	cache            *cache
	waiting, running []*job
	stepping, dead   bool
	linkFree         time.Duration
	failAll          []func() // of jobs that a crash ends
	count            *Counts
}

// load is what the server tells of itself with an answer: a running request counts itself, a read that has
// ended does not.
func (s *server) load(role scheduler.Role) scheduler.Load {
	running := len(s.running)
	if role == scheduler.Read {
		running--
	}
	return scheduler.Load{Running: running, Waiting: len(s.waiting), Slots: s.engine.Slots}
}

// take lets a job wait for a slot, after the time it takes to set it up.
func (s *server) take(j *job) {
	s.clock.after(milliseconds(s.engine.SetupMs), func() {
		s.waiting = append(s.waiting, j)
		s.step()
	})
}

// fetch moves the memory of a prompt here, one move after the other, and then runs the job. It returns false
// where the move would have to wait for too long.
func (s *server) fetch(j *job, from *server) bool {
	e := s.engine
	const bits, perMs = 8, 1000
	ms := float64(j.request.PromptTokens) * e.TokenBytes * bits / (e.LinkMegabits * perMs) * s.linkSlow
	if from.Zone != s.Zone {
		ms *= farMove
		s.count.FarMoves++
	}
	s.count.Moves++
	begin := max(s.linkFree, s.clock.now)
	if begin-s.clock.now > longestMove {
		return false
	}
	s.linkFree = begin + milliseconds(ms)
	s.clock.after(s.linkFree-s.clock.now, func() {
		s.cache.keep(j.request.Parts)
		s.take(j)
	})
	return true
}

// admit gives free slots to waiting jobs.
func (s *server) admit() {
	for len(s.waiting) > 0 && len(s.running) < s.engine.Slots {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		if j.gone {
			continue
		}
		if j.role != scheduler.Write {
			s.countRead(j)
		}
		j.pinned = j.unread + j.tokens
		s.cache.pin(j.pinned)
		s.running = append(s.running, j)
	}
}

// countRead finds what the job has to read and counts shared parts that are read.
func (s *server) countRead(j *job) {
	parts := j.request.Parts
	held, _ := s.cache.held(parts)
	j.unread = j.request.PromptTokens - held
	shared := 0
	for _, part := range parts[:len(parts)-1] {
		shared += part.Tokens
	}
	s.count.SharedTokens += shared
	s.count.SharedRead += max(0, shared-held)
}

// step runs the batch once, and again while there is work.
func (s *server) step() {
	if s.stepping || s.dead {
		return
	}
	s.admit()
	if len(s.running) == 0 {
		return
	}
	s.stepping = true
	s.clock.after(s.stepTime(), func() {
		s.stepping = false
		if !s.dead {
			s.finishStep()
			s.step()
		}
	})
}

// stepTime reads a piece of the prompts and tells how long the step takes.
func (s *server) stepTime() time.Duration {
	e := s.engine
	piece, pace := e.Chunk, 1.0
	if s.Stage == catalog.Writing {
		piece, pace = piece/writerChunk, writerPace
	}
	read, making, pairs := 0, 0, 0.0
	for _, j := range s.byUrgency() {
		part := min(j.unread, piece-read)
		before := j.request.PromptTokens - j.unread
		pairs += float64(part)*float64(before) + float64(part)*float64(part)/2
		j.begun = j.begun || part > 0
		j.unread -= part
		read += part
		if j.role != scheduler.Read {
			making++
		}
	}
	const million = 1e6
	ms := (float64(read)/e.ReadPerMs + pairs/million*e.PairsMs) * pace
	if making > 0 {
		ms += e.StepMs + e.StepSlotMs*float64(making)
	}
	return milliseconds(ms / s.speed)
}

// byUrgency returns the running jobs in the order in which their prompts are read: those begun first.
func (s *server) byUrgency() []*job {
	order := slices.Clone(s.running)
	slices.SortStableFunc(order, func(a, b *job) int {
		if a.begun != b.begun {
			if a.begun {
				return -1
			}
			return 1
		}
		return a.urgency - b.urgency
	})
	return order
}

// finishStep makes a token of each request that is read.
func (s *server) finishStep() {
	for at := 0; at < len(s.running); {
		j := s.running[at]
		if !j.gone && (j.unread > 0 || s.token(j)) {
			at++
			continue
		}
		s.cache.pin(-j.pinned)
		s.running = slices.Delete(s.running, at, at+1)
	}
}

// token makes one token, or ends a read, and tells whether the job goes on.
func (s *server) token(j *job) bool {
	if j.first != nil {
		if j.role != scheduler.Write {
			s.cache.keep(j.request.Parts)
		}
		j.first()
		j.first = nil
	}
	j.tokens--
	if j.role == scheduler.Read || j.tokens > 0 {
		return j.role != scheduler.Read
	}
	j.last()
	return false
}

// crash ends the server and all that it was doing.
func (s *server) crash() {
	s.dead = true
	for _, fail := range s.failAll {
		fail()
	}
	s.failAll = nil
}
