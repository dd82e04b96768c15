package quorum

import "time"

// Defaults of Config.
const (
	// DefaultHeartbeatInterval is the time between two heartbeat rounds of a leader.
	DefaultHeartbeatInterval = 100 * time.Millisecond
	// DefaultElectionTimeout is the lower bound of the election timeout. Each timeout is
	// drawn at random between the current bound and twice that.
	DefaultElectionTimeout = 500 * time.Millisecond
	// DefaultMaxMessageBytes limits the entries or the snapshot data of one message. A
	// larger entry is sent in a message without other entries.
	DefaultMaxMessageBytes = 256 << 10
	// DefaultMaxInflightAppends limits the unacknowledged appends to one replica. It is
	// high enough that small proposals do not wait a round trip before they are sent.
	DefaultMaxInflightAppends = 64
	// DefaultMaxInflightBytes limits the bytes of the unacknowledged appends to one replica.
	DefaultMaxInflightBytes = 2 << 20
	// DefaultLogTailBytes limits the bytes of the entries that stay in memory although a
	// snapshot covers them.
	DefaultLogTailBytes = 8 << 20
	// DefaultMaxSnapshotBytes limits the size of a snapshot received from another replica.
	DefaultMaxSnapshotBytes = 1 << 30
)

// Config is the configuration of a core. Zero values select the defaults.
type Config struct {
	// ID is the identity of this replica, as NAME/NONCE.
	ID string
	// Address is the network address at which other replicas reach this one.
	Address           string
	HeartbeatInterval time.Duration
	// ElectionTimeout is the lower bound of the election timeout.
	ElectionTimeout time.Duration
	// MaxElectionTimeout is the upper bound. The election timeout grows towards it while
	// messages of the leader arrive late or leaders change in quick succession. If it is
	// lower than ElectionTimeout, ElectionTimeout is used.
	MaxElectionTimeout time.Duration
	// Seed initializes the random number generator, the only source of randomness.
	Seed uint64
	// InitialMembers is the first membership of a new group. It is used only with an
	// empty disk. All replicas that have initial members must have the same ones.
	InitialMembers     []Member
	MaxMessageBytes    int
	MaxInflightAppends int
	MaxInflightBytes   int
	LogTailBytes       int
	MaxSnapshotBytes   int
}

func (cfg Config) withDefaults() Config {
	cfg.HeartbeatInterval = valueOrDefault(cfg.HeartbeatInterval, DefaultHeartbeatInterval)
	cfg.ElectionTimeout = valueOrDefault(cfg.ElectionTimeout, DefaultElectionTimeout)
	cfg.MaxElectionTimeout = max(cfg.MaxElectionTimeout, cfg.ElectionTimeout)
	cfg.MaxMessageBytes = valueOrDefault(cfg.MaxMessageBytes, DefaultMaxMessageBytes)
	cfg.MaxInflightAppends = valueOrDefault(cfg.MaxInflightAppends, DefaultMaxInflightAppends)
	cfg.MaxInflightBytes = valueOrDefault(cfg.MaxInflightBytes, DefaultMaxInflightBytes)
	cfg.LogTailBytes = valueOrDefault(cfg.LogTailBytes, DefaultLogTailBytes)
	cfg.MaxSnapshotBytes = valueOrDefault(cfg.MaxSnapshotBytes, DefaultMaxSnapshotBytes)
	return cfg
}

func valueOrDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// Snapshot is the state after the entry at Index. Index 0 means that there is no snapshot.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members []Member
	State   []byte
}

// PersistedState is the state that a replica reads from its disk when it starts.
type PersistedState struct {
	HardState HardState
	Entries   []Entry
	Snapshot  Snapshot
}
