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
)

// Exporter sends the ledger's periods to a billing sink while this member holds the lease: POST /entries
// with a JSON array of Entry and the token in lease.TokenHeader. It has one goroutine of its Runner, which
// performs one step at a time: it commits the intent of a period, sends its entries, commits that they are
// done, and sends pending corrections once no period is due.
type Exporter struct {
	// SinkAddress is the host:port of the billing sink.
	SinkAddress string
	// CallTimeout bounds one call, which also ends with the lease, and one read of the store; 1 s by default.
	CallTimeout time.Duration
	// BatchSize is the maximum number of entries in one call; 100 by default. At least 1.
	BatchSize int

	runner         *Runner
	client         http.Client
	announcedToken uint64 // last token that the sink has acknowledged; only run's goroutine uses it

	mu        sync.Mutex
	lastRun   time.Time // when the last run succeeded, zero for never
	lastError string    // error of the last run, "" if it succeeded
}

const (
	// maxExportBackoff bounds the backoff after failed runs.
	maxExportBackoff = 2 * time.Second
	// maxReplyBytes bounds the bytes read of the sink's response body.
	maxReplyBytes = 64 << 10
)

func (e *Exporter) attach(r *Runner) {
	e.runner = r
	e.client = http.Client{
		Transport: &http.Transport{MaxConnsPerHost: 1, IdleConnTimeout: 10 * time.Second,
			MaxResponseHeaderBytes: 16 << 10, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// run exports until the runner is closed.
func (e *Exporter) run() {
	defer e.client.CloseIdleConnections()
	interval := e.runner.checkInterval()
	for delay := interval; ; {
		select {
		case <-e.runner.stop:
			return
		case <-time.After(delay):
		}
		owned, owns := e.runner.activeLease()
		if !owns {
			delay = interval
			continue
		}
		more, err := e.exportNext(owned.token)
		e.recordRun(err)
		switch {
		case err != nil && !lostLease(err):
			delay = min(2*delay, maxExportBackoff)
		case more && err == nil:
			delay = 0
		default:
			delay = interval
		}
	}
}

// lostLease reports whether an error means that this member no longer holds the lease.
func lostLease(err error) bool { return errors.Is(err, ErrNotOwner) || errors.Is(err, errStaleToken) }

// recordRun records the outcome of a run for the status page, and logs the first of consecutive failures. It
// ignores runs that ended because the lease was lost.
func (e *Exporter) recordRun(err error) {
	if lostLease(err) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	previous := e.lastError
	e.lastError = ""
	if err == nil {
		e.lastRun = time.Now()
		return
	}
	e.lastError = err.Error()
	if previous == "" {
		e.runner.opts.Log.Warn("owner: export failed, will be retried", "sink", e.SinkAddress, "why", e.lastError)
	}
}

// exportNext performs the next step of the export under a token; more means that another step may be due. The
// first call under a token carries no entries: once the sink has received the token, it rejects calls that an
// earlier owner still has in flight.
func (e *Exporter) exportNext(token uint64) (more bool, err error) {
	if err := e.announceToken(token); err != nil {
		return false, err
	}
	var next groupstate.PendingExport
	query := groupstate.Query{Kind: groupstate.QueryPendingExport}
	if err := e.runner.query(e.CallTimeout, query, &next); err != nil {
		return false, fmt.Errorf("reading the pending export: %w", err)
	}
	self := e.runner.opts.Name
	if next.Grant.Token != token || next.Grant.Holder != self {
		return false, ErrNotOwner
	}
	switch {
	case next.IntentPeriod > 0:
		return e.exportPeriod(token, &next)
	case next.DuePeriod > 0:
		intent := groupstate.ExportIntent{Member: self, Token: token, Period: next.DuePeriod}
		return true, e.runner.commit(token, intent.Encode())
	case len(next.Corrections) > 0:
		return e.exportCorrections(token, next.Corrections)
	}
	return false, nil
}

// exportPeriod sends the period of the open intent and commits that the sink has acknowledged it.
func (e *Exporter) exportPeriod(token uint64, next *groupstate.PendingExport) (more bool, err error) {
	if err := e.sendPeriod(token, next); err != nil {
		return false, fmt.Errorf("sending period %d: %w", next.IntentPeriod, err)
	}
	done := groupstate.ExportDone{Member: e.runner.opts.Name, Token: token, Period: next.IntentPeriod}
	return true, e.runner.commit(token, done.Encode())
}

// exportCorrections sends at least one correction and commits that the sink has acknowledged them.
func (e *Exporter) exportCorrections(token uint64, corrections []groupstate.PendingCorrection) (more bool,
	err error) {
	if err := e.sendBatches(token, correctionEntries(corrections)); err != nil {
		return false, fmt.Errorf("sending corrections: %w", err)
	}
	upTo := corrections[len(corrections)-1].Seq
	exported := groupstate.CorrectionsExported{Member: e.runner.opts.Name, Token: token, UpToSeq: upTo}
	return true, e.runner.commit(token, exported.Encode())
}

// announceToken sends a token to the sink without entries, unless the sink has acknowledged this token.
func (e *Exporter) announceToken(token uint64) error {
	if e.announcedToken == token {
		return nil
	}
	if err := e.sendBatch(token, nil); err != nil {
		return err
	}
	e.announcedToken = token
	return nil
}

// sendPeriod sends the period of the open intent, which an earlier owner may have proposed.
func (e *Exporter) sendPeriod(token uint64, next *groupstate.PendingExport) error {
	if next.IntentToken != token {
		e.runner.updateStats(func(s *Stats) { s.Resumed++ })
		e.runner.opts.Log.Info("owner: resuming the export of an earlier owner", "period", next.IntentPeriod,
			"intent", next.IntentToken, "token", token)
	}
	return e.sendBatches(token, PeriodEntries(next.IntentPeriod, next.Rows))
}

func (e *Exporter) sendBatches(token uint64, entries []Entry) error {
	for batch := range slices.Chunk(entries, e.BatchSize) {
		if err := e.sendBatch(token, batch); err != nil {
			return err
		}
	}
	return nil
}

// sendBatch sends entries to the sink in one call and checks its response.
func (e *Exporter) sendBatch(token uint64, entries []Entry) error {
	if entries == nil {
		entries = []Entry{} // encoded as [], not as null
	}
	body, err := json.Marshal(entries)
	if err != nil {
		return err
	}
	return e.runner.callFenced(token, e.CallTimeout, func(ctx context.Context) error {
		resp, err := e.post(ctx, token, body)
		if err != nil {
			return err
		}
		return e.checkResponse(resp, len(entries))
	})
}

// sinkResponse is the sink's response to a call.
type sinkResponse struct {
	status int
	body   []byte // its first maxReplyBytes at most
}

// post makes one call and returns the sink's response, whatever its status.
func (e *Exporter) post(ctx context.Context, token uint64, body []byte) (sinkResponse, error) {
	url := "http://" + e.SinkAddress + "/entries"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return sinkResponse{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(lease.TokenHeader, strconv.FormatUint(token, 10))
	resp, err := e.client.Do(req)
	if err != nil {
		return sinkResponse{}, err
	}
	defer resp.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	return sinkResponse{resp.StatusCode, reply}, err
}

// checkResponse checks the sink's response to a call with that many entries, and counts the entries. It
// returns errStaleToken if the sink has received a newer token.
func (e *Exporter) checkResponse(resp sinkResponse, entries int) error {
	text := strings.TrimSpace(string(resp.body))
	switch resp.status {
	case http.StatusOK:
	case http.StatusConflict:
		return fmt.Errorf("%w: sink responded %.200q", errStaleToken, text)
	default:
		return fmt.Errorf("sink returned status %d: %.200q", resp.status, text)
	}
	var reply SinkReply
	err := json.Unmarshal(resp.body, &reply)
	if err != nil || reply.Stored < 0 || reply.Duplicates < 0 || reply.Stored+reply.Duplicates != entries {
		return fmt.Errorf("sink's response does not account for the %d entries sent: %.200q", entries, resp.body)
	}
	e.runner.updateStats(func(s *Stats) {
		s.Entries += int64(entries)
		s.Duplicates += int64(reply.Duplicates)
	})
	return nil
}
