package cli

import (
	"os"
	"time"

	"cresshub/internal/router/agentsettings"
)

// settingsReloader applies the settings file again when it changes. The file may be read while it is being
// written. A file that can't be read is therefore read again, and so is one that has just changed: several
// changes within a few milliseconds may leave it with the same modification time.
//
// It is used by one goroutine.
type settingsReloader struct {
	modTime func() time.Time // of the file, the zero time if it is unknown
	load    func() (*agentsettings.Settings, error)
	apply   func(*agentsettings.Settings)
	onError func(error)

	lastModTime  time.Time // of the file when it was last read by poll
	pendingReads int       // polls that still read the file although its modification time is unchanged
	lastError    string    // of the last read, so that an error that persists is reported once
}

// readsAfterChange is how many polls read the file again after its modification time has changed.
const readsAfterChange = 2

func newSettingsReloader(apply func(*agentsettings.Settings), onError func(error)) *settingsReloader {
	return &settingsReloader{modTime: settingsModTime, load: agentsettings.Load, apply: apply, onError: onError}
}

// poll reads the file if it may have changed. It is called at regular intervals.
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

// reload reads and applies the file. If that fails, the next poll reads it again.
func (r *settingsReloader) reload() {
	settings, err := r.load()
	if err != nil {
		r.pendingReads = max(r.pendingReads, 1)
		if r.lastError != err.Error() {
			r.lastError = err.Error()
			r.onError(err)
		}
		return
	}
	r.lastError = ""
	r.apply(settings)
}

func settingsModTime() time.Time {
	info, err := os.Stat(os.Getenv(agentsettings.PathVariable))
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
