package consensus

import "fmt"

// raftLogger is the logger of the raft library. It drops messages about normal operation (callers see changes by Leader and Term) and
// turns fatal ones into a panic, which recoverPanic handles.
type raftLogger struct{}

// Debug drops a message.
func (raftLogger) Debug(...any) {}

// Debugf drops a message.
func (raftLogger) Debugf(string, ...any) {}

// Info drops a message.
func (raftLogger) Info(...any) {}

// Infof drops a message.
func (raftLogger) Infof(string, ...any) {}

// Warning drops a message.
func (raftLogger) Warning(...any) {}

// Warningf drops a message.
func (raftLogger) Warningf(string, ...any) {}

// Error drops a message.
func (raftLogger) Error(...any) {}

// Errorf drops a message.
func (raftLogger) Errorf(string, ...any) {}

// Fatal panics.
func (raftLogger) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

// Fatalf panics.
func (raftLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Panic panics.
func (raftLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }

// Panicf panics.
func (raftLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
