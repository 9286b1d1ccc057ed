package raftgroup

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"

	"cresshub/internal/cluster/placement"
)

// raftLog is raft's own log, at debug but for what stops a replica.
type raftLog struct{ log *slog.Logger }

func (l raftLog) Debug(v ...any) { l.log.Debug("ledger: raft", "says", fmt.Sprint(v...)) }
func (l raftLog) Debugf(f string, v ...any) {
	l.log.Debug("ledger: raft", "says", fmt.Sprintf(f, v...))
}
func (l raftLog) Info(v ...any)               { l.Debug(v...) }
func (l raftLog) Infof(f string, v ...any)    { l.Debugf(f, v...) }
func (l raftLog) Warning(v ...any)            { l.Debug(v...) }
func (l raftLog) Warningf(f string, v ...any) { l.Debugf(f, v...) }
func (l raftLog) Error(v ...any)              { l.log.Warn("ledger: raft", "says", fmt.Sprint(v...)) }
func (l raftLog) Errorf(f string, v ...any)   { l.log.Warn("ledger: raft", "says", fmt.Sprintf(f, v...)) }
func (l raftLog) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (l raftLog) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (l raftLog) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (l raftLog) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }

// placementOrder gives replicas an order that does not depend on a map's.
func placementOrder(rs []placement.Replica) {
	slices.SortFunc(rs, func(a, b placement.Replica) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.ID, b.ID))
	})
}
