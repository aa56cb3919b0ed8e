package ownership

import "time"

// State is the state of a job at this broker. The JSON names are those under /counters.
type State struct {
	Name         string
	Period       time.Duration
	Owner        uint32
	Fence        uint32
	OwnerHeardAt time.Duration `json:"Since"`
	LastRunAt    time.Duration `json:"Ran"`
	RunCount     uint32        `json:"Turn"` // known runs, of all members
	DueAt        time.Duration `json:"Next"` // if this broker owns the job
	OwnRuns      uint64        `json:"Runs"`
	RejectedRuns uint64        `json:"Refused"` // of others, under an older fencing number
	Owned        bool          `json:"Mine"`    // by this broker
	Running      bool          `json:"Due"`     // here
}

// Snapshot returns the state of all jobs, as this broker knows it.
func (c *Coordinator) Snapshot() []State {
	var states []State
	for i := range c.jobs {
		s := &c.jobs[i]
		states = append(states, State{
			Name:         s.Name,
			Period:       s.Period,
			Owner:        s.owner,
			Fence:        s.fence,
			OwnerHeardAt: s.ownerSeenAt,
			LastRunAt:    s.lastRunAt,
			RunCount:     s.runCount,
			DueAt:        s.dueAt(&c.policy),
			OwnRuns:      s.ownRuns,
			RejectedRuns: s.rejectedCount,
			Owned:        s.owner == c.self,
			Running:      s.running,
		})
	}
	return states
}
