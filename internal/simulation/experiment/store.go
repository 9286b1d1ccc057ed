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

// Header describes an experiment. Two result files of the same header are of the same experiment.
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

// Jobs returns all days of the experiment, the repeats of one cell together.
func (h *Header) Jobs() (all []Job) {
	cells := []map[string]string{{}}
	for _, axis := range h.Over {
		var next []map[string]string
		for _, c := range cells {
			for _, value := range axis.Values {
				m := maps.Clone(c)
				m[axis.Key] = value
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

// id identifies a job within an experiment.
func (j Job) id() string {
	keys := slices.Sorted(maps.Keys(j.Set))
	for i, k := range keys {
		keys[i] = k + "=" + j.Set[k]
	}
	return fmt.Sprint(strings.Join(keys, " "), " ", j.Policy, " ", j.Seed)
}

// Store is the results of an experiment, and their file: a header and a line for each day, which is written
// when the day ends, so that an interrupt loses no day that has ended.
type Store struct {
	Header Header
	Days   []*RunResult
	file   *os.File // nil where there is none to write to
}

// Open opens the result file of an experiment, which it creates or continues. It is an error if the file is
// of another experiment.
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
	for _, day := range s.Days {
		lines = append(append(lines, mustJSON(day)...), '\n')
	}
	// Written to another file and renamed, so that a truncated last line is dropped and no other is at risk.
	fresh := path + ".new"
	if err := os.WriteFile(fresh, lines, 0o644); err != nil {
		return nil, err
	}
	if err := os.Rename(fresh, path); err != nil {
		return nil, err
	}
	s.file, err = os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0o644)
	return s, err
}

// mustJSON encodes a header or a day; null stands for a day with a figure that is not finite.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		b = []byte("null")
	}
	return b
}

// Read reads a result file. A truncated last line is left out.
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
		day := &RunResult{}
		if json.Unmarshal(lines.Bytes(), day) == nil && day.Result != nil {
			s.Days = append(s.Days, day)
		}
	}
	return s, lines.Err()
}

// Missing returns the days that have no result yet.
func (s *Store) Missing() (all []Job) {
	have := map[string]bool{}
	for _, day := range s.Days {
		have[day.id()] = true
	}
	for _, job := range s.Header.Jobs() {
		if !have[job.id()] {
			all = append(all, job)
		}
	}
	return all
}

// Add adds a day, and writes it where there is a file.
func (s *Store) Add(day *RunResult) error {
	s.Days = append(s.Days, day)
	if s.file == nil {
		return nil
	}
	_, err := s.file.Write(append(mustJSON(day), '\n'))
	return err
}

// Close closes the file.
func (s *Store) Close() error {
	if s.file == nil {
		return nil
	}
	return s.file.Close()
}

// Cell is all days of one policy at one point of the sweep.
type Cell struct {
	Set    map[string]string
	Policy string
	Days   []*RunResult
}

// Cells groups the days, in the order of the experiment; those of a cell are in order of their seeds. A cell
// without days is left out.
func (s *Store) Cells() (all []*Cell) {
	at := map[string]*Cell{}
	key := func(job Job) string { // the same for all seeds
		job.Seed = 0
		return job.id()
	}
	for _, job := range s.Header.Jobs() {
		if at[key(job)] == nil {
			at[key(job)] = &Cell{Set: job.Set, Policy: job.Policy}
			all = append(all, at[key(job)])
		}
	}
	for _, day := range s.Days {
		if cell := at[key(day.Job)]; cell != nil {
			cell.Days = append(cell.Days, day)
		}
	}
	for _, cell := range all {
		slices.SortFunc(cell.Days, func(a, b *RunResult) int { return int(int64(a.Seed) - int64(b.Seed)) })
	}
	return slices.DeleteFunc(all, func(cell *Cell) bool { return len(cell.Days) == 0 })
}

// Figures returns a metric's values over the days of a cell.
func (c *Cell) Figures(metric string) (figures []float64) {
	for _, day := range c.Days {
		figures = append(figures, day.figure(metric))
	}
	return figures
}

// PairStores compares the days of two results that have the same keys, policy and seed: b less a.
func PairStores(a, b *Store, metric string) Difference {
	figuresOfA := map[string]float64{} // by day
	for _, day := range a.Days {
		figuresOfA[day.id()] = day.figure(metric)
	}
	var pairedA, pairedB []float64
	for _, day := range b.Days {
		if figureOfA, ok := figuresOfA[day.id()]; ok {
			pairedA = append(pairedA, figureOfA)
			pairedB = append(pairedB, day.figure(metric))
		}
	}
	return Paired(pairedA, pairedB)
}
