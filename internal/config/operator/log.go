package operator

// Log holds the settings of the log.
type Log struct {
	Level string `json:"level" default:"info" doc:"info, or debug: also a line for each step of each query, with its id"`
}

// Debug reports whether each step of each query is logged.
func (l *Log) Debug() bool { return l.Level == "debug" }
