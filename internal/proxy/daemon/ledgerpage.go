package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"cresshub/internal/cluster/ledger"
	"cresshub/internal/cluster/pending"
	"cresshub/internal/cluster/raftgroup"
)

// groupCallTimeout bounds a read or a proposal for the admin API, which has to respond within a second.
const groupCallTimeout = 700 * time.Millisecond

// LedgerPage is the response to GET /_ledger.
type LedgerPage struct {
	Group   raftgroup.Status `json:"group"`
	Here    pending.Stats    `json:"here"`
	Ledger  *ledger.View     `json:"ledger,omitempty"`
	Problem string           `json:"problem,omitempty"` // why Ledger is missing
}

// readPage reads the ledger linearizably: the page has every count that was committed when the call arrived.
func (l *ledgerNode) readPage(params url.Values) any {
	page := LedgerPage{Group: l.host.Status(ledgerGroup), Here: l.recorder.Stats()}
	query := ledger.Query{Tenant: params.Get("tenant")}
	if text := params.Get("period"); text != "" {
		var err error
		if query.Period, err = strconv.ParseUint(text, 10, 64); err != nil {
			page.Problem = "period is no whole number"
			return page
		}
	}
	encoded, _ := json.Marshal(query)
	ctx, cancel := context.WithTimeout(context.Background(), groupCallTimeout)
	defer cancel()
	raw, err := l.host.Read(ctx, ledgerGroup, encoded)
	if err == nil {
		err = json.Unmarshal(raw, &page.Ledger)
	}
	if err != nil {
		page.Problem = err.Error()
		if errors.Is(err, raftgroup.ErrNotLeader) {
			page.Problem = "the group has no leader that was reached"
		}
	}
	return page
}

// CorrectionReply is the response to POST /_ledger/correct.
type CorrectionReply struct {
	ledger.Result
	Problem string `json:"problem,omitempty"`
}

// enterCorrection proposes a correction of a closed period. Corrections with the same id count once, so that
// a call may be repeated.
func (l *ledgerNode) enterCorrection(params url.Values) any {
	correction, err := parseCorrection(params)
	if err != nil {
		return CorrectionReply{Problem: err.Error()}
	}
	ctx, cancel := context.WithTimeout(context.Background(), groupCallTimeout)
	defer cancel()
	result, err := l.propose(ctx, correction.Encode())
	switch {
	case errors.Is(err, raftgroup.ErrOutcomeUnknown):
		return CorrectionReply{result, "whether it was entered is not known; call again with the same id"}
	case err != nil:
		return CorrectionReply{result, err.Error()}
	case result.Status == ledger.StatusRejected:
		return CorrectionReply{result, "the period is open, or not kept any more"}
	}
	return CorrectionReply{Result: result}
}

// parseCorrection reads a correction from a call's query; the error lists every invalid or missing parameter,
// one a line.
func parseCorrection(params url.Values) (ledger.Correction, error) {
	correction := ledger.Correction{ID: params.Get("id"), Reason: params.Get("reason"),
		Key: ledger.Key{Tenant: params.Get("tenant"), Class: params.Get("class"), Answer: params.Get("answer")}}
	var errs []error
	parseInt := func(key string) int64 {
		n, err := strconv.ParseInt(params.Get(key), 10, 64)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s is no whole number", key))
		}
		return n
	}
	parseOptionalInt := func(key string) int64 {
		if params.Get(key) == "" {
			return 0
		}
		return parseInt(key)
	}
	correction.Period = uint64(max(parseInt("period"), 0))
	correction.Usage = ledger.Usage{Count: parseInt("n"), BytesIn: parseOptionalInt("bytes_in"),
		BytesOut: parseOptionalInt("bytes_out")}
	for _, key := range []string{"id", "tenant", "class", "answer", "reason"} {
		if params.Get(key) == "" {
			errs = append(errs, fmt.Errorf("%s is missing", key))
		}
	}
	return correction, errors.Join(errs...)
}
