package consensus

import (
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
)

// Limits where Config has none.
const (
	defaultSnapshotEntries       = 4096
	defaultSnapshotBytes         = 16 << 20
	defaultTrailingEntries       = 1024
	defaultMaxUncommittedEntries = 1024
	defaultMaxEntryBytes         = 256 << 10
	defaultMaxPendingReads       = 1024
	defaultMaxOutboxBytes        = 64 << 20
	defaultSnapshotChunkBytes    = 512 << 10
)

// Limits of raft's own.
const (
	maxAppendMessageBytes    = 256 << 10 // of entries in a message
	maxApplyBytes            = 1 << 20   // of committed entries in a turn
	maxUncommittedBytes      = 16 << 20  // of proposals
	maxInflightAppends       = 64        // messages to a follower
	maxInflightAppendBytes   = 4 << 20   // to a follower
	heartbeatTicks           = 1
	minHeartbeatsPerElection = 3
)

// Config says who votes, and how. Voters, ElectionTimeout and HeartbeatInterval must be the same on all voters.
type Config struct {
	ID                uint64
	Voters            []uint64
	ElectionTimeout   time.Duration // silence that ends a leader's lease; 3 HeartbeatInterval at least
	HeartbeatInterval time.Duration
	Seed              uint64 // another one at each start: it tells the reads of this start from those before
	Storage           Storage
	StateMachine      StateMachine

	// Limits; 0 takes what stands behind.
	SnapshotEntries       uint64 // applied between two snapshots: 4096
	SnapshotBytes         int    // or so many bytes of them: 16 MiB
	TrailingEntries       uint64 // kept in memory behind a snapshot, for followers that lag: 1024
	MaxUncommittedEntries int    // proposed and not committed: 1024
	MaxEntryBytes         int    // of one: 256 KiB
	MaxPendingReads       int    // not answered: 1024
	MaxOutboxBytes        int    // that wait for ProcessReady: 64 MiB
	SnapshotChunkBytes    int    // of a snapshot, sent to a voter at a heartbeat: 512 KiB; no packet is larger than that and MaxEntryBytes
}

func (c *Config) setDefaults() {
	setDefault(&c.SnapshotEntries, defaultSnapshotEntries)
	setDefault(&c.SnapshotBytes, defaultSnapshotBytes)
	setDefault(&c.TrailingEntries, defaultTrailingEntries)
	setDefault(&c.MaxUncommittedEntries, defaultMaxUncommittedEntries)
	setDefault(&c.MaxEntryBytes, defaultMaxEntryBytes)
	setDefault(&c.MaxPendingReads, defaultMaxPendingReads)
	setDefault(&c.MaxOutboxBytes, defaultMaxOutboxBytes)
	setDefault(&c.SnapshotChunkBytes, defaultSnapshotChunkBytes)
}

func setDefault[T uint64 | int](v *T, defaultValue T) {
	if *v <= 0 {
		*v = defaultValue
	}
}

// validate returns a *ConfigError for what voters can't work with. Voters are sorted.
func (c *Config) validate() error {
	switch n := len(c.Voters); {
	case c.Storage == nil || c.StateMachine == nil:
		return &ConfigError{Detail: "no storage or no state machine"}
	case n != 1 && n != 3 && n != 5:
		return &ConfigError{Detail: fmt.Sprintf("%d voters", n)}
	case slices.Contains(c.Voters, 0) || len(slices.Compact(slices.Clone(c.Voters))) != n:
		return &ConfigError{Detail: "a voter of number 0 or one named twice"}
	case !slices.Contains(c.Voters, c.ID):
		return &ConfigError{Detail: fmt.Sprintf("%d is not one of the voters", c.ID)}
	case c.HeartbeatInterval <= 0 || c.ElectionTimeout < minHeartbeatsPerElection*c.HeartbeatInterval:
		return &ConfigError{Detail: fmt.Sprintf("election timeout %v, heartbeat interval %v", c.ElectionTimeout, c.HeartbeatInterval)}
	}
	return nil
}

// electionTicks is the election timeout in heartbeats, rounded up.
func (c *Config) electionTicks() int {
	return int((c.ElectionTimeout + c.HeartbeatInterval - 1) / c.HeartbeatInterval)
}

// raftConfig is the configuration of raft itself.
func (c *Config) raftConfig(storage raft.Storage) *raft.Config {
	return &raft.Config{
		ID:                        c.ID,
		ElectionTick:              c.electionTicks(),
		HeartbeatTick:             heartbeatTicks,
		Storage:                   storage,
		MaxSizePerMsg:             maxAppendMessageBytes,
		MaxCommittedSizePerReady:  maxApplyBytes,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		MaxInflightMsgs:           maxInflightAppends,
		MaxInflightBytes:          maxInflightAppendBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		ReadOnlyOption:            raft.ReadOnlySafe,
		DisableProposalForwarding: true,
		Logger:                    raftLogger{},
	}
}
