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
	ID     string     `json:"id"`
	Period uint64     `json:"period"`
	Tenant string     `json:"tenant"`
	Items  []LineItem `json:"lines"`
	Reason string     `json:"reason,omitempty"` // of a correction
}

// LineItem is an entry's sum of one class and final answer.
type LineItem struct {
	Class  string `json:"class"`
	Answer string `json:"answer"`
	ledger.Usage
}

// SinkReply is what a sink answers: how many entries it stored, and how many it had before.
type SinkReply struct {
	Stored     int `json:"stored"`
	Duplicates int `json:"repeated"`
}

// maxReplyBytes bounds what is read of a sink's answer.
const maxReplyBytes = 64 << 10

// Exporter sends the ledger's periods to a billing sink: POST /entries with an array of Entry, under the
// token.
type Exporter struct {
	Sink           string        // host:port
	CallTimeout    time.Duration // for one call
	BatchSize      int           // entries of one call at most
	runner         *Runner
	client         http.Client
	announcedToken uint64 // the token that the sink was told of

	mu      sync.Mutex
	lastRun time.Time // a run that went through
	problem string    // of the last run, "" where it went through
}

// maxBackoff is the longest rest after runs that failed.
const maxBackoff = 2 * time.Second

func (e *Exporter) attach(r *Runner) {
	e.runner = r
	e.client = http.Client{
		Transport: &http.Transport{MaxConnsPerHost: 1, IdleConnTimeout: 10 * time.Second,
			MaxResponseHeaderBytes: 16 << 10, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// run exports while this member owns the chores.
func (e *Exporter) run() {
	defer e.runner.wg.Done()
	defer e.client.CloseIdleConnections()
	interval := e.runner.checkInterval()
	for delay := interval; ; {
		select {
		case <-e.runner.stopCh:
			return
		case <-time.After(delay):
		}
		token, _, ok := e.runner.ActiveLease()
		if !ok {
			delay = interval
			continue
		}
		more, err := e.exportNext(token)
		e.recordRun(err)
		switch {
		case err != nil && !errors.Is(err, ErrNotOwner) && !errors.Is(err, errStaleToken):
			delay = min(2*delay, maxBackoff) // whoever does not answer is not asked at once
		case more && err == nil:
			delay = 0
		default:
			delay = interval
		}
	}
}

func (e *Exporter) recordRun(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if errors.Is(err, ErrNotOwner) || errors.Is(err, errStaleToken) {
		return
	}
	previous := e.problem
	e.problem = ""
	if err == nil {
		e.lastRun = time.Now()
		return
	}
	e.problem = err.Error()
	if previous == "" {
		e.runner.opts.Log.Warn("owner: the export stands; it is tried again", "sink", e.Sink, "why", e.problem)
	}
}

// exportNext does the next thing there is to export; more says that there may be another. The first call
// under a token says nothing but the token: from then on the sink refuses whatever an earlier owner has in
// flight.
func (e *Exporter) exportNext(token uint64) (more bool, err error) {
	if e.announcedToken != token {
		if err := e.send(token, nil); err != nil {
			return false, err
		}
		e.announcedToken = token
	}
	var work groupstate.PendingExport
	if err := e.runner.query(e.CallTimeout, groupstate.Query{Kind: groupstate.QueryPendingExport},
		&work); err != nil {
		return false, fmt.Errorf("the ledger could not be read: %w", err)
	}
	if work.Grant.Token != token || work.Grant.Holder != e.runner.opts.Name {
		return false, ErrNotOwner
	}
	self := e.runner.opts.Name
	switch {
	case work.Period > 0:
		if work.IntentToken != token {
			e.runner.mu.Lock()
			e.runner.stats.Resumed++
			e.runner.mu.Unlock()
			e.runner.opts.Log.Info("owner: finishing what an earlier owner began to send", "period", work.Period,
				"intent", work.IntentToken, "token", token)
		}
		if err := e.sendAll(token, PeriodEntries(work.Period, work.Rows)); err != nil {
			return false, fmt.Errorf("period %d: %w", work.Period, err)
		}
		return true, e.runner.commit(token, (&groupstate.ExportDone{Member: self, Token: token,
			Period: work.Period}).Encode())
	case work.Due > 0:
		return true, e.runner.commit(token, (&groupstate.ExportIntent{Member: self, Token: token,
			Period: work.Due}).Encode())
	case len(work.Corrections) > 0:
		if err := e.sendAll(token, correctionEntries(work.Corrections)); err != nil {
			return false, fmt.Errorf("corrections: %w", err)
		}
		upTo := work.Corrections[len(work.Corrections)-1].Seq
		return true, e.runner.commit(token, (&groupstate.CorrectionsSent{Member: self, Token: token,
			UpTo: upTo}).Encode())
	}
	return false, nil
}

// PeriodEntries are a period's rows as the sink gets them: one entry a tenant, corrections added in. The rows
// come sorted by tenant.
func PeriodEntries(period uint64, rows []ledger.Row) []Entry {
	var entries []Entry
	for _, row := range rows {
		if len(entries) == 0 || entries[len(entries)-1].Tenant != row.Tenant {
			entries = append(entries, Entry{ID: fmt.Sprintf("%d/%s", period, row.Tenant), Period: period,
				Tenant: row.Tenant})
		}
		sum := row.Usage
		sum.Add(row.Corrections)
		last := &entries[len(entries)-1]
		last.Items = append(last.Items, LineItem{row.Class, row.Answer, sum})
	}
	return entries
}

func correctionEntries(pending []groupstate.PendingCorrection) []Entry {
	var entries []Entry
	for _, correction := range pending {
		entries = append(entries, Entry{ID: fmt.Sprintf("%d/correction/%s", correction.Period, correction.ID),
			Period: correction.Period,
			Tenant: correction.Tenant, Items: []LineItem{{correction.Class, correction.Answer, correction.Usage}},
			Reason: correction.Reason})
	}
	return entries
}

func (e *Exporter) sendAll(token uint64, entries []Entry) error {
	for batch := range slices.Chunk(entries, e.BatchSize) {
		if err := e.send(token, batch); err != nil {
			return err
		}
	}
	return nil
}

// send makes one call on the sink.
func (e *Exporter) send(token uint64, entries []Entry) error {
	if entries == nil {
		entries = []Entry{}
	}
	body, err := json.Marshal(entries)
	if err != nil {
		return err
	}
	return e.runner.callFenced(token, e.CallTimeout, func(ctx context.Context) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Sink+"/entries",
			bytes.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set(lease.TokenHeader, strconv.FormatUint(token, 10))
		resp, err := e.client.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
		if err != nil {
			return err
		}
		return e.checkReply(resp.StatusCode, raw, len(entries))
	})
}

// checkReply reads a sink's answer.
func (e *Exporter) checkReply(status int, raw []byte, sent int) error {
	switch status {
	case http.StatusOK:
	case http.StatusConflict:
		return fmt.Errorf("%w: the sink says %.200q", errStaleToken, strings.TrimSpace(string(raw)))
	default:
		return fmt.Errorf("the sink answered %d: %.200q", status, strings.TrimSpace(string(raw)))
	}
	var reply SinkReply
	err := json.Unmarshal(raw, &reply)
	if err != nil || reply.Stored < 0 || reply.Duplicates < 0 || reply.Stored+reply.Duplicates != sent {
		return fmt.Errorf("the sink's answer to %d entries makes no sense: %.200q", sent, raw)
	}
	e.runner.mu.Lock()
	defer e.runner.mu.Unlock()
	e.runner.stats.Entries += int64(sent)
	e.runner.stats.Duplicates += int64(reply.Duplicates)
	return nil
}
