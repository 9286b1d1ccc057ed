package leaseholder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"cresshub/internal/cluster/groupstate"
	"cresshub/internal/cluster/lease"
	"cresshub/internal/cluster/ledger"
)

// Entry is what the billing sink is sent of one period and tenant, or one correction. Its ID makes it one of
// its kind: the sink stores it once, however often it comes.
type Entry struct {
	ID     string `json:"id"`
	Period uint64 `json:"period"`
	Tenant string `json:"tenant"`
	Lines  []Line `json:"lines"`
	Reason string `json:"reason,omitempty"` // of a correction
}

// Line is an entry's sum of one class and final answer.
type Line struct {
	Class  string `json:"class"`
	Answer string `json:"answer"`
	ledger.Sum
}

// Taken is what a sink answers: how many entries it stored, and how many it had before.
type Taken struct {
	Stored   int `json:"stored"`
	Repeated int `json:"repeated"`
}

// answerMost bounds what is read of a sink's answer.
const answerMost = 64 << 10

// Export sends the ledger's periods to a billing sink: POST /entries with an array of Entry, under the token.
type Export struct {
	Sink    string        // host:port
	Within  time.Duration // for one call
	AtOnce  int           // entries of one call at most
	owner   *Owner
	client  http.Client
	greeted uint64 // the token that the sink was told of

	mu      sync.Mutex
	ran     time.Time // a run that went through
	problem string    // of the last run, "" where it went through
}

// restMost is the longest rest after runs that failed.
const restMost = 2 * time.Second

func (e *Export) begin(w *Owner) {
	e.owner = w
	e.client = http.Client{
		Transport: &http.Transport{MaxConnsPerHost: 1, IdleConnTimeout: 10 * time.Second,
			MaxResponseHeaderBytes: 16 << 10, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// run exports while this member owns the chores.
func (e *Export) run() {
	defer e.owner.done.Done()
	defer e.client.CloseIdleConnections()
	pause := e.owner.tick()
	for rest := pause; ; {
		select {
		case <-e.owner.stop:
			return
		case <-time.After(rest):
		}
		token, _, ok := e.owner.Acting()
		if !ok {
			rest = pause
			continue
		}
		more, err := e.once(token)
		e.note(err)
		switch {
		case err != nil && !errors.Is(err, ErrNotOwner) && !errors.Is(err, errStale):
			rest = min(2*rest, restMost) // whoever does not answer is not asked at once
		case more && err == nil:
			rest = 0
		default:
			rest = pause
		}
	}
}

func (e *Export) note(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if errors.Is(err, ErrNotOwner) || errors.Is(err, errStale) {
		return
	}
	was := e.problem
	e.problem = ""
	if err == nil {
		e.ran = time.Now()
		return
	}
	e.problem = err.Error()
	if was == "" {
		e.owner.o.Log.Warn("owner: the export stands; it is tried again", "sink", e.Sink, "why", e.problem)
	}
}

// once does the next thing there is to export; more says that there may be another. The first call under a
// token says nothing but the token: from then on the sink refuses whatever an earlier owner has in flight.
func (e *Export) once(token uint64) (more bool, err error) {
	if e.greeted != token {
		if err := e.send(token, nil); err != nil {
			return false, err
		}
		e.greeted = token
	}
	var s groupstate.Statement
	if err := e.owner.read(e.Within, groupstate.Query{Ask: groupstate.AskStatement}, &s); err != nil {
		return false, fmt.Errorf("the ledger could not be read: %w", err)
	}
	if s.Grant.Token != token || s.Grant.Holder != e.owner.o.Name {
		return false, ErrNotOwner
	}
	me := e.owner.o.Name
	switch {
	case s.Period > 0:
		if s.Token != token {
			e.owner.mu.Lock()
			e.owner.fig.Resumed++
			e.owner.mu.Unlock()
			e.owner.o.Log.Info("owner: finishing what an earlier owner began to send", "period", s.Period,
				"intent", s.Token, "token", token)
		}
		if err := e.sendAll(token, Entries(s.Period, s.Rows)); err != nil {
			return false, fmt.Errorf("period %d: %w", s.Period, err)
		}
		return true, e.owner.enter(token, (&groupstate.Done{Member: me, Token: token, Period: s.Period}).Encode())
	case s.Due > 0:
		return true, e.owner.enter(token, (&groupstate.Intent{Member: me, Token: token, Period: s.Due}).Encode())
	case len(s.Fixes) > 0:
		if err := e.sendAll(token, corrections(s.Fixes)); err != nil {
			return false, fmt.Errorf("corrections: %w", err)
		}
		upTo := s.Fixes[len(s.Fixes)-1].Seq
		return true, e.owner.enter(token, (&groupstate.Settled{Member: me, Token: token, UpTo: upTo}).Encode())
	}
	return false, nil
}

// Entries are a period's rows as the sink gets them: one entry a tenant, corrections added in. The rows come
// sorted by tenant.
func Entries(period uint64, rows []ledger.Row) []Entry {
	var out []Entry
	for _, r := range rows {
		if len(out) == 0 || out[len(out)-1].Tenant != r.Tenant {
			out = append(out, Entry{ID: fmt.Sprintf("%d/%s", period, r.Tenant), Period: period, Tenant: r.Tenant})
		}
		sum := r.Sum
		sum.Add(r.Corrections)
		last := &out[len(out)-1]
		last.Lines = append(last.Lines, Line{r.Class, r.Answer, sum})
	}
	return out
}

func corrections(fixes []groupstate.Fix) []Entry {
	var out []Entry
	for _, f := range fixes {
		out = append(out, Entry{ID: fmt.Sprintf("%d/correction/%s", f.Period, f.ID), Period: f.Period,
			Tenant: f.Tenant, Lines: []Line{{f.Class, f.Answer, f.Sum}}, Reason: f.Reason})
	}
	return out
}

func (e *Export) sendAll(token uint64, entries []Entry) error {
	for part := range slices.Chunk(entries, e.AtOnce) {
		if err := e.send(token, part); err != nil {
			return err
		}
	}
	return nil
}

// send makes one call on the sink.
func (e *Export) send(token uint64, entries []Entry) error {
	if entries == nil {
		entries = []Entry{}
	}
	body, err := json.Marshal(entries)
	if err != nil {
		return err
	}
	return e.owner.call(token, e.Within, func(ctx context.Context) error {
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Sink+"/entries",
			bytes.NewReader(body))
		if err != nil {
			return err
		}
		q.Header.Set("Content-Type", "application/json")
		q.Header.Set(lease.TokenHeader, strconv.FormatUint(token, 10))
		a, err := e.client.Do(q)
		if err != nil {
			return err
		}
		defer a.Body.Close()
		raw, err := io.ReadAll(io.LimitReader(a.Body, answerMost))
		if err != nil {
			return err
		}
		return e.answered(a.StatusCode, raw, len(entries))
	})
}

// answered reads a sink's answer.
func (e *Export) answered(status int, raw []byte, sent int) error {
	switch status {
	case http.StatusOK:
	case http.StatusConflict:
		return fmt.Errorf("%w: the sink says %.200q", errStale, strings.TrimSpace(string(raw)))
	default:
		return fmt.Errorf("the sink answered %d: %.200q", status, strings.TrimSpace(string(raw)))
	}
	var t Taken
	err := json.Unmarshal(raw, &t)
	if err != nil || t.Stored < 0 || t.Repeated < 0 || t.Stored+t.Repeated != sent {
		return fmt.Errorf("the sink's answer to %d entries makes no sense: %.200q", sent, raw)
	}
	e.owner.mu.Lock()
	defer e.owner.mu.Unlock()
	e.owner.fig.Entries += int64(sent)
	e.owner.fig.Repeated += int64(t.Repeated)
	return nil
}
