package experiment

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"slices"
	"strings"
)

// Header says what a result file holds. Two files of the same header hold the same experiment.
type Header struct {
	Scenario string            `json:"scenario"`
	Set      map[string]string `json:"set,omitempty"`
	Over     []Axis            `json:"over,omitempty"`
	Policies []string          `json:"policies"`
	Seed     uint64            `json:"seed"`
	Repeat   int               `json:"repeat"`
	K        int               `json:"k,omitempty"`
	Lambda   float64           `json:"lambda,omitempty"`
}

// Axis is a swept key with its values.
type Axis struct {
	Key    string   `json:"key"`
	Values []string `json:"values"`
}

// Jobs are all days of the experiment, repeats of one cell together.
func (h *Header) Jobs() (all []Job) {
	cells := []map[string]string{{}}
	for _, a := range h.Over {
		var next []map[string]string
		for _, c := range cells {
			for _, v := range a.Values {
				m := maps.Clone(c)
				m[a.Key] = v
				next = append(next, m)
			}
		}
		cells = next
	}
	for _, c := range cells {
		for _, p := range h.Policies {
			for i := range h.Repeat {
				all = append(all, Job{Set: c, Policy: p, Seed: h.Seed + uint64(i), K: h.K, Lambda: h.Lambda})
			}
		}
	}
	return all
}

// id tells a job from all others of an experiment.
func (j Job) id() string {
	keys := slices.Sorted(maps.Keys(j.Set))
	for i, k := range keys {
		keys[i] = k + "=" + j.Set[k]
	}
	return fmt.Sprint(strings.Join(keys, " "), " ", j.Policy, " ", j.Seed)
}

// Store is a result file: a header and a line for each day, written as it ends, so that an interrupt loses
// none that was finished.
type Store struct {
	Header Header
	Days   []*RunResult
	f      *os.File
}

// Open reads what a result file already holds of an experiment and goes on with it. One of another
// experiment is refused.
func Open(path string, h Header) (*Store, error) {
	s, err := Read(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		s = &Store{}
	case err != nil:
		return nil, err
	case len(s.Header.Policies) > 0:
		have, want := mustJSON(s.Header), mustJSON(h)
		if !bytes.Equal(have, want) {
			return nil, fmt.Errorf("%s holds another experiment; name another file or remove it", path)
		}
	}
	s.Header = h
	lines := append(mustJSON(h), '\n')
	for _, d := range s.Days {
		lines = append(append(lines, mustJSON(d)...), '\n')
	}
	// Written beside and renamed, so that what a line was cut off in is dropped and nothing else is at risk.
	fresh := path + ".new"
	if err := os.WriteFile(fresh, lines, 0o644); err != nil {
		return nil, err
	}
	if err := os.Rename(fresh, path); err != nil {
		return nil, err
	}
	s.f, err = os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0o644)
	return s, err
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil { // a figure that is no number
		b = []byte("null")
	}
	return b
}

// Read reads a result file; a last line that is not whole is left out.
func Read(path string) (*Store, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &Store{}
	lines := bufio.NewScanner(bytes.NewReader(raw))
	lines.Buffer(nil, 64<<20)
	for n := 0; lines.Scan(); n++ {
		if n == 0 {
			if err := json.Unmarshal(lines.Bytes(), &s.Header); err != nil || len(s.Header.Policies) == 0 {
				return nil, fmt.Errorf("%s is no result of the laboratory", path)
			}
			continue
		}
		d := &RunResult{}
		if json.Unmarshal(lines.Bytes(), d) == nil && d.Result != nil {
			s.Days = append(s.Days, d)
		}
	}
	return s, lines.Err()
}

// Missing are the days that are not there yet.
func (s *Store) Missing() (all []Job) {
	have := map[string]bool{}
	for _, d := range s.Days {
		have[d.id()] = true
	}
	for _, j := range s.Header.Jobs() {
		if !have[j.id()] {
			all = append(all, j)
		}
	}
	return all
}

// Add writes a day.
func (s *Store) Add(d *RunResult) error {
	s.Days = append(s.Days, d)
	if s.f == nil {
		return nil
	}
	_, err := s.f.Write(append(mustJSON(d), '\n'))
	return err
}

// Close ends the writing.
func (s *Store) Close() error {
	if s.f == nil {
		return nil
	}
	return s.f.Close()
}

// Cell is all days of one policy at one place of the sweep.
type Cell struct {
	Set    map[string]string
	Policy string
	Days   []*RunResult
}

// Cells groups the days, in the order of the experiment and each by seed.
func (s *Store) Cells() (all []*Cell) {
	at := map[string]*Cell{}
	key := func(j Job) string { j.Seed = 0; return j.id() }
	for _, j := range s.Header.Jobs() {
		if at[key(j)] == nil {
			at[key(j)] = &Cell{Set: j.Set, Policy: j.Policy}
			all = append(all, at[key(j)])
		}
	}
	for _, d := range s.Days {
		if c := at[key(d.Job)]; c != nil {
			c.Days = append(c.Days, d)
		}
	}
	for _, c := range all {
		slices.SortFunc(c.Days, func(a, b *RunResult) int { return int(int64(a.Seed) - int64(b.Seed)) })
	}
	return slices.DeleteFunc(all, func(c *Cell) bool { return len(c.Days) == 0 })
}

// Figures are a metric's values over the days of a cell.
func (c *Cell) Figures(metric string) (x []float64) {
	for _, d := range c.Days {
		x = append(x, d.figure(metric))
	}
	return x
}

// PairStores pairs the days of two results that have the same keys, policy and seed: b less a.
func PairStores(a, b *Store, metric string) Difference {
	at := map[string]float64{}
	for _, d := range a.Days {
		at[d.id()] = d.figure(metric)
	}
	var x, y []float64
	for _, d := range b.Days {
		if was, ok := at[d.id()]; ok {
			x, y = append(x, was), append(y, d.figure(metric))
		}
	}
	return Paired(x, y)
}
