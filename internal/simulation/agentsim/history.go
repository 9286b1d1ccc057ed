package agentsim

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// History records the calls of operators with the times of their begin and end. Its length is bounded by that
// of the test. It is safe for concurrent use.
type History struct {
	mu        sync.Mutex
	operators int
	puts      []*putCall
	gets      []*getCall
}

// callRecord is what all calls have in common.
type callRecord struct {
	machine string        // name of the machine that was called
	began   time.Duration // since the fleet began
	ended   time.Duration // 0 while the call is under way
	status  int           // of HTTP; 0 where no answer came
}

// changeID identifies a change by what a read returns of it.
type changeID struct{ version, variant int64 }

// putCall is a call that sends a change.
type putCall struct {
	callRecord
	change Change
}

// getCall is a call that reads the configuration.
type getCall struct {
	callRecord
	version, variant int64 // that were read; 0 without an answer
}

func (h *History) beginPut(now time.Duration, machine string, c Change) *putCall {
	h.mu.Lock()
	defer h.mu.Unlock()
	call := &putCall{callRecord{machine: machine, began: now}, c}
	h.puts = append(h.puts, call)
	return call
}

func (h *History) endPut(call *putCall, now time.Duration, status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	call.ended, call.status = now, status
}

func (h *History) beginGet(now time.Duration, machine string) *getCall {
	h.mu.Lock()
	defer h.mu.Unlock()
	call := &getCall{callRecord: callRecord{machine: machine, began: now}}
	h.gets = append(h.gets, call)
	return call
}

func (h *History) endGet(call *getCall, now time.Duration, status int, version, variant int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	call.ended, call.status, call.version, call.variant = now, status, version, variant
}

// Acknowledged returns the newest version that was acknowledged.
func (h *History) Acknowledged() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	newest := int64(0)
	for _, call := range h.puts {
		if call.status == http.StatusOK {
			newest = max(newest, call.change.Version)
		}
	}
	return newest
}

// Check returns the violations of a linearizable register with compare-and-set whose changes may be sent
// again, a line each. The last reads must come after all changes.
func (h *History) Check() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	committed, violations := h.committed()
	violations = append(violations, h.checkReads()...)
	return append(violations, h.checkRejections(committed)...)
}

// committed returns the changes that were in force at some time, by version: those acknowledged or read.
func (h *History) committed() (map[int64]Change, []string) {
	var violations []string
	committed := map[int64]Change{}
	putChanges := map[changeID]Change{}
	commit := func(c Change, how string) {
		if known, ok := committed[c.Version]; ok && known != c {
			violations = append(violations, fmt.Sprintf("%+v was %s, and %+v had been taken", c, how, known))
		}
		committed[c.Version] = c
	}
	for _, call := range h.puts {
		putChanges[changeID{call.change.Version, call.change.Variant}] = call.change
		if call.status == http.StatusOK {
			commit(call.change, "acknowledged")
		}
	}
	for _, call := range h.gets {
		if call.status != http.StatusOK {
			continue
		}
		c, ok := putChanges[changeID{call.version, call.variant}]
		if !ok {
			violations = append(violations,
				fmt.Sprintf("%s read version %d, which nobody sent", call.machine, call.version))
			continue
		}
		commit(c, "read at "+call.machine)
	}
	return committed, append(violations, h.checkSuccession(committed)...)
}

// checkSuccession checks that each committed change builds on the one before it, so that none is lost.
func (h *History) checkSuccession(committed map[int64]Change) []string {
	var violations []string
	var versions []int64
	for version := range committed {
		versions = append(versions, version)
	}
	slices.Sort(versions)
	for i, version := range versions[:max(len(versions)-1, 0)] {
		if next := committed[versions[i+1]]; next.Base < version {
			violations = append(violations,
				fmt.Sprintf("%+v is lost: %+v does not build on it", committed[version], next))
		}
	}
	return violations
}

// checkReads checks that no read gave an older version than one acknowledged or read before it began.
func (h *History) checkReads() []string {
	var violations []string
	for _, call := range h.gets {
		if call.status != http.StatusOK {
			continue
		}
		floor := int64(0)
		for _, put := range h.puts {
			if put.status == http.StatusOK && put.ended <= call.began {
				floor = max(floor, put.change.Version)
			}
		}
		for _, earlier := range h.gets {
			if earlier.status == http.StatusOK && earlier.ended <= call.began {
				floor = max(floor, earlier.version)
			}
		}
		if call.version < floor {
			violations = append(violations, fmt.Sprintf("%v: %s read version %d, and %d was in force", call.began,
				call.machine, call.version, floor))
		}
	}
	return violations
}

// checkRejections checks that no change was rejected that was committed at any time, or that built on the
// newest one that anybody may have sent by then.
func (h *History) checkRejections(committed map[int64]Change) []string {
	var violations []string
	for _, call := range h.puts {
		if call.status != http.StatusPreconditionFailed {
			continue
		}
		if committed[call.change.Version] == call.change {
			violations = append(violations,
				fmt.Sprintf("%v: %s refused %+v, which was taken", call.began, call.machine,
					call.change))
			continue
		}
		if !h.hasCompetitor(call) {
			violations = append(violations, fmt.Sprintf("%v: %s refused %+v, which built on the newest", call.began,
				call.machine, call.change))
		}
	}
	return violations
}

// hasCompetitor reports whether another change above the rejected one's base was sent before the rejection.
func (h *History) hasCompetitor(rejected *putCall) bool {
	for _, other := range h.puts {
		if other.change != rejected.change && other.change.Version > rejected.change.Base &&
			other.began < rejected.ended {
			return true
		}
	}
	return false
}
