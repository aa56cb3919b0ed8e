package consensus

import (
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
)

// Defaults of the limits in Config.
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

// Settings of the raft library.
const (
	maxAppendMessageBytes    = 256 << 10 // entries in one message
	maxApplyBytes            = 1 << 20   // committed entries in one raft.Ready
	maxUncommittedBytes      = 16 << 20  // entries proposed and not committed
	maxInflightAppends       = 64        // unacknowledged append messages per follower
	maxInflightAppendBytes   = 4 << 20   // unacknowledged entries per follower
	heartbeatTicks           = 1
	minHeartbeatsPerElection = 3
)

// Config configures a Node. Voters, ElectionTimeout and HeartbeatInterval must be the same on all voters.
type Config struct {
	ID                uint64
	Voters            []uint64
	ElectionTimeout   time.Duration // time without a message of the leader that ends its lease; at least 3 times HeartbeatInterval
	HeartbeatInterval time.Duration
	Seed              uint64 // must differ at each start: it distinguishes reads of this start from those of earlier ones
	Storage           Storage
	StateMachine      StateMachine

	// Limits; 0 selects the default given for each.
	SnapshotEntries       uint64 // entries applied between two snapshots: 4096
	SnapshotBytes         int    // bytes of entries applied between two snapshots, if reached earlier: 16 MiB
	TrailingEntries       uint64 // entries before a snapshot that are kept in memory for followers that lag: 1024
	MaxUncommittedEntries int    // entries proposed and not committed: 1024
	MaxEntryBytes         int    // size of an entry: 256 KiB
	MaxPendingReads       int    // reads not answered: 1024
	MaxOutboxBytes        int    // packets that wait for ProcessReady: 64 MiB
	// SnapshotChunkBytes limits the part of a snapshot sent to a voter at one heartbeat: 512 KiB. Besides headers, a packet has at most
	// the largest of SnapshotChunkBytes, MaxEntryBytes and maxAppendMessageBytes; only a snapshot above maxChunkedBytes is sent whole.
	SnapshotChunkBytes int
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

// validate returns a *ConfigError for an unusable configuration. Voters must be sorted.
func (c *Config) validate() error {
	switch n := len(c.Voters); {
	case c.Storage == nil || c.StateMachine == nil:
		return &ConfigError{Detail: "Storage or StateMachine is not set"}
	case n != 1 && n != 3 && n != 5:
		return &ConfigError{Detail: fmt.Sprintf("there are %d voters", n)}
	case slices.Contains(c.Voters, 0) || len(slices.Compact(slices.Clone(c.Voters))) != n:
		return &ConfigError{Detail: "a voter has the ID 0 or is listed twice"}
	case !slices.Contains(c.Voters, c.ID):
		return &ConfigError{Detail: fmt.Sprintf("this broker's ID %d is not one of the voters", c.ID)}
	case c.HeartbeatInterval <= 0 || c.ElectionTimeout < minHeartbeatsPerElection*c.HeartbeatInterval:
		return &ConfigError{Detail: fmt.Sprintf("election timeout %v with heartbeat interval %v", c.ElectionTimeout, c.HeartbeatInterval)}
	}
	return nil
}

// electionTicks returns the election timeout in heartbeat intervals, rounded up.
func (c *Config) electionTicks() int {
	return int((c.ElectionTimeout + c.HeartbeatInterval - 1) / c.HeartbeatInterval)
}

// raftConfig returns the configuration of the raft library.
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
