package raftgroup

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"

	"cresshub/internal/cluster/placement"
)

// raftLogger is raft's own log, at debug but for what stops a replica.
type raftLogger struct{ log *slog.Logger }

func (l raftLogger) Debug(v ...any) { l.log.Debug("ledger: raft", "says", fmt.Sprint(v...)) }
func (l raftLogger) Debugf(f string, v ...any) {
	l.log.Debug("ledger: raft", "says", fmt.Sprintf(f, v...))
}
func (l raftLogger) Info(v ...any)               { l.Debug(v...) }
func (l raftLogger) Infof(f string, v ...any)    { l.Debugf(f, v...) }
func (l raftLogger) Warning(v ...any)            { l.Debug(v...) }
func (l raftLogger) Warningf(f string, v ...any) { l.Debugf(f, v...) }
func (l raftLogger) Error(v ...any)              { l.log.Warn("ledger: raft", "says", fmt.Sprint(v...)) }
func (l raftLogger) Errorf(f string, v ...any) {
	l.log.Warn("ledger: raft", "says", fmt.Sprintf(f, v...))
}
func (l raftLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (l raftLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (l raftLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (l raftLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

// sortReplicas gives replicas an order that does not depend on a map's.
func sortReplicas(rs []placement.Replica) {
	slices.SortFunc(rs, func(a, b placement.Replica) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.ID, b.ID))
	})
}
