package cli

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/agentsettings"
)

// settingsFile is a settings file under the control of a test.
type settingsFile struct {
	modTime  time.Time
	name     string // its content, empty while it is half written
	applied  []string
	reported []string
	reads    int
}

func (f *settingsFile) reloader() *settingsReloader {
	return &settingsReloader{
		modTime: func() time.Time { return f.modTime },
		load: func() (*agentsettings.Settings, error) {
			f.reads++
			if f.name == "" {
				return nil, errors.New("half written")
			}
			return &agentsettings.Settings{Name: f.name}, nil
		},
		apply:   func(settings *agentsettings.Settings) { f.applied = append(f.applied, settings.Name) },
		onError: func(err error) { f.reported = append(f.reported, err.Error()) },
	}
}

func (f *settingsFile) last() string {
	if len(f.applied) == 0 {
		return ""
	}
	return f.applied[len(f.applied)-1]
}

// TestHalfWrittenSettingsAreReadAgain: the rest may be written without a change of the modification time.
func TestHalfWrittenSettingsAreReadAgain(t *testing.T) {
	c := qt.New(t)
	file := &settingsFile{modTime: time.Unix(5, 0)}
	reloader := file.reloader()
	for range 5 {
		reloader.poll()
	}
	c.Assert(file.applied, qt.HasLen, 0)
	c.Assert(file.reported, qt.DeepEquals, []string{"half written"})
	file.name = "whole"
	reloader.poll()
	c.Assert(file.last(), qt.Equals, "whole")
}

// TestSecondChangeWithTheSameModTimeIsRead: a change is noticed although the modification time stays.
func TestSecondChangeWithTheSameModTimeIsRead(t *testing.T) {
	c := qt.New(t)
	file := &settingsFile{modTime: time.Unix(5, 0), name: "first"}
	reloader := file.reloader()
	reloader.poll()
	file.name = "second"
	reloader.poll()
	c.Assert(file.last(), qt.Equals, "second")
}

// TestUnchangedSettingsAreNotRead: polls don't read a file that has not changed for a while.
func TestUnchangedSettingsAreNotRead(t *testing.T) {
	c := qt.New(t)
	file := &settingsFile{modTime: time.Unix(5, 0), name: "same"}
	reloader := file.reloader()
	for range 20 {
		reloader.poll()
	}
	c.Assert(file.reads, qt.Equals, 1+readsAfterChange)
}
