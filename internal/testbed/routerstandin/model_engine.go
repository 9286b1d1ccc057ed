package routerstandin

import (
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"
)

// engineState is the state of a model server: its stage, prefix caches for others, and the orders it took.
// Its methods are safe for concurrent use.
type engineState struct {
	Engine
	server *Server

	mu          sync.Mutex
	stage       string
	changing    bool // an order is being carried out
	ordersTaken int
	fence       uint64
	prefixes    map[string]cachedPrefix
}

// cachedPrefix is the prefix cache of a prompt that waits to be fetched.
type cachedPrefix struct {
	tokens  int
	expires time.Time
}

func newEngineState(s *Server, engine *Engine) *engineState {
	return &engineState{Engine: *engine, server: s, stage: engine.Stage, prefixes: map[string]cachedPrefix{}}
}

// prefillTime is how long the prefill of a prompt takes, at a pace in relation to PrefillPace.
func (e *engineState) prefillTime(tokens int, pace float64) time.Duration {
	if e.PrefillPace <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / (e.PrefillPace * pace) * float64(time.Millisecond))
}

func (e *engineState) stageState() (stage string, changing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stage, e.changing
}

func (e *engineState) currentStage() string {
	stage, _ := e.stageState()
	return stage
}

// storePrefix keeps the prefix cache of a prompt and returns its handle.
func (e *engineState) storePrefix(tokens int) string {
	var random [6]byte
	rand.Read(random[:])
	handle := hex.EncodeToString(random[:])
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefixes[handle] = cachedPrefix{tokens, time.Now().Add(e.HandleTTL)}
	return handle
}

// claim removes the prefix cache of a handle, which is given out once, and returns its tokens.
func (e *engineState) claim(handle string) (tokens int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	prefix, known := e.prefixes[handle]
	delete(e.prefixes, handle)
	if known && time.Now().After(prefix.expires) {
		e.server.tally.count(func(t *ServerTally) { t.ExpiredHandles++ })
		return 0, false
	}
	return prefix.tokens, known
}

// cached counts the handles that have not expired, and their tokens.
func (e *engineState) cached() (handles, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, prefix := range e.prefixes {
		if now.Before(prefix.expires) {
			handles++
			tokens += prefix.tokens
		}
	}
	return handles, tokens
}
