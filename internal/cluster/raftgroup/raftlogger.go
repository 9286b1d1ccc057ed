package raftgroup

import (
	"fmt"
	"log/slog"
)

// raftLogger is the logger for raft: it logs raft's errors at level warning and everything else at level
// debug. Fatal and Panic panic, which stops only this replica (group.run).
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
