package cli

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/agentsettings"
)

// settingsFile is a settings file that a test writes.
type settingsFile struct {
	written time.Time
	name    string // what it says, "" where it is half written
	taken   []string
	told    []string
	reads   int
}

func (f *settingsFile) reloader() *reloader {
	return &reloader{
		changedAt: func() time.Time { return f.written },
		load: func() (*agentsettings.Settings, error) {
			f.reads++
			if f.name == "" {
				return nil, errors.New("half written")
			}
			return &agentsettings.Settings{Name: f.name}, nil
		},
		take:   func(s *agentsettings.Settings) { f.taken = append(f.taken, s.Name) },
		failed: func(err error) { f.told = append(f.told, err.Error()) },
	}
}

func (f *settingsFile) last() string {
	if len(f.taken) == 0 {
		return ""
	}
	return f.taken[len(f.taken)-1]
}

// TestSettingsThatWereHalfWrittenAreReadAgain: the rest may come within the same tick of the file's time.
func TestSettingsThatWereHalfWrittenAreReadAgain(t *testing.T) {
	c := qt.New(t)
	file := &settingsFile{written: time.Unix(5, 0)}
	r := file.reloader()
	for range 5 {
		r.look()
	}
	c.Assert(file.taken, qt.HasLen, 0)
	c.Assert(file.told, qt.DeepEquals, []string{"half written"})
	file.name = "whole"
	r.look()
	c.Assert(file.last(), qt.Equals, "whole")
}

// TestSettingsThatChangeTwiceAtOnce: the second change is seen though the file's time stays.
func TestSettingsThatChangeTwiceAtOnce(t *testing.T) {
	c := qt.New(t)
	file := &settingsFile{written: time.Unix(5, 0), name: "first"}
	r := file.reloader()
	r.look()
	file.name = "second"
	r.look()
	c.Assert(file.last(), qt.Equals, "second")
}

// TestSettingsThatStayAreNotRead again and again.
func TestSettingsThatStayAreNotRead(t *testing.T) {
	c := qt.New(t)
	file := &settingsFile{written: time.Unix(5, 0), name: "same"}
	r := file.reloader()
	for range 20 {
		r.look()
	}
	c.Assert(file.reads, qt.Equals, 1+looksAfterChange)
}
