package cli

import (
	"os"
	"time"

	"cresshub/internal/router/agentsettings"
)

// reloader takes changed settings over. The file may be looked at while it is being written: one that can't
// be read is read again, and so is one that has just changed, as its time tells of several changes within a
// few milliseconds only once.
type reloader struct {
	changedAt func() time.Time // when the file was last written, the zero time where that can't be told
	load      func() (*agentsettings.Settings, error)
	take      func(*agentsettings.Settings)
	failed    func(error)

	seen    time.Time // when the file that was last read had been written
	pending int       // how many looks still read the file although its time is the same
	problem string    // of the last try, so that it is told once
}

// looksAfterChange is how many looks after a change read the file once more.
const looksAfterChange = 2

func newReloader(take func(*agentsettings.Settings), failed func(error)) *reloader {
	return &reloader{changedAt: settingsWritten, load: agentsettings.Load, take: take, failed: failed}
}

// look reads the file where it may have changed. It is called in regular intervals.
func (r *reloader) look() {
	if at := r.changedAt(); !at.Equal(r.seen) {
		r.seen = at
		r.pending = looksAfterChange
		r.read()
		return
	}
	if r.pending > 0 {
		r.pending--
		r.read()
	}
}

// read takes over what the file says now. One that can't be read is read again at the next look.
func (r *reloader) read() {
	settings, err := r.load()
	if err != nil {
		r.pending = max(r.pending, 1)
		if r.problem != err.Error() {
			r.problem = err.Error()
			r.failed(err)
		}
		return
	}
	r.problem = ""
	r.take(settings)
}

func settingsWritten() time.Time {
	info, err := os.Stat(os.Getenv(agentsettings.PathVariable))
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
