package cli

import (
	"os"
	"time"

	"cresshub/internal/router/agentsettings"
)

// settingsReloader takes changed settings over. The file may be looked at while it is being written: one that
// can't be read is read again, and so is one that has just changed, as its time tells of several changes
// within a few milliseconds only once.
type settingsReloader struct {
	modTime func() time.Time // when the file was last written, the zero time where that can't be told
	load    func() (*agentsettings.Settings, error)
	apply   func(*agentsettings.Settings)
	onError func(error)

	lastModTime  time.Time // when the file that was last read had been written
	pendingReads int       // how many looks still read the file although its time is the same
	lastProblem  string    // of the last try, so that it is told once
}

// readsAfterChange is how many looks after a change read the file once more.
const readsAfterChange = 2

func newSettingsReloader(apply func(*agentsettings.Settings), onError func(error)) *settingsReloader {
	return &settingsReloader{modTime: settingsModTime, load: agentsettings.Load, apply: apply, onError: onError}
}

// poll reads the file where it may have changed. It is called in regular intervals.
func (r *settingsReloader) poll() {
	if modTime := r.modTime(); !modTime.Equal(r.lastModTime) {
		r.lastModTime = modTime
		r.pendingReads = readsAfterChange
		r.reload()
		return
	}
	if r.pendingReads > 0 {
		r.pendingReads--
		r.reload()
	}
}

// reload takes over what the file says now. One that can't be read is read again at the next look.
func (r *settingsReloader) reload() {
	settings, err := r.load()
	if err != nil {
		r.pendingReads = max(r.pendingReads, 1)
		if r.lastProblem != err.Error() {
			r.lastProblem = err.Error()
			r.onError(err)
		}
		return
	}
	r.lastProblem = ""
	r.apply(settings)
}

func settingsModTime() time.Time {
	info, err := os.Stat(os.Getenv(agentsettings.PathVariable))
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
