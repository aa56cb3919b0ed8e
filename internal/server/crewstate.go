package server

// This file owns what operators see of the tier.

import (
	"time"

	"flaxfront/internal/decision/duties"
	"flaxfront/internal/decision/members"
	"flaxfront/internal/decision/words"
)

// CrewState is what operators see of the tier.
type CrewState struct {
	Self    string
	Now     time.Duration
	Members []members.Member
	Duties  []duties.State
	Counts  members.Counts
	List    words.Counts
}

func (l *loop) crewState(now time.Duration) *CrewState {
	c := l.crew
	return &CrewState{c.members.Self().Name, now, c.members.All(), c.duties.States(now), c.members.Counts, c.words.Counts}
}
