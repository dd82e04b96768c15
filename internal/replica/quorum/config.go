package quorum

import "time"

// Defaults of Config.
const (
	// DefaultHeartbeatInterval is the time between two heartbeat rounds of a leader.
	DefaultHeartbeatInterval = 100 * time.Millisecond
	// DefaultElectionTimeout is the shortest election timeout; the longest is twice that.
	DefaultElectionTimeout = 500 * time.Millisecond
	// DefaultMaxMessageBytes bounds the entries or the snapshot data of a message, in
	// bytes. A single entry that is larger travels alone.
	DefaultMaxMessageBytes = 256 << 10
	// DefaultMaxInflightAppends bounds the appends on the way to one replica: so many small
	// ones may leave before the first is answered that no proposal waits a round
	// trip for its turn.
	DefaultMaxInflightAppends = 64
	// DefaultMaxInflightBytes bounds the bytes of the appends on the way to one replica.
	DefaultMaxInflightBytes = 2 << 20
	// DefaultLogTailBytes bounds the entries kept in memory behind a snapshot, in bytes.
	DefaultLogTailBytes = 8 << 20
	// DefaultMaxSnapshotBytes bounds a snapshot that is taken from another replica, in bytes.
	DefaultMaxSnapshotBytes = 1 << 30
)

// Config is what a core is made with; zero values stand for the defaults.
type Config struct {
	// ID is NAME/NONCE of this replica.
	ID string
	// Address is where the others reach this replica.
	Address           string
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest election timeout, Patience the longest that it grows
	// to while the leader's messages come late or one leader follows the other;
	// Election when it is 0.
	ElectionTimeout    time.Duration
	MaxElectionTimeout time.Duration
	// Seed is the only source of randomness.
	Seed uint64
	// InitialMembers is the first membership of a new group. It is used only with an
	// empty disk and is the same on every replica that is given one.
	InitialMembers     []Member
	MaxMessageBytes    int
	MaxInflightAppends int
	MaxInflightBytes   int
	LogTailBytes       int
	MaxSnapshotBytes   int
}

func (cfg Config) withDefaults() Config {
	cfg.HeartbeatInterval = orDefault(cfg.HeartbeatInterval, DefaultHeartbeatInterval)
	cfg.ElectionTimeout = orDefault(cfg.ElectionTimeout, DefaultElectionTimeout)
	cfg.MaxElectionTimeout = max(cfg.MaxElectionTimeout, cfg.ElectionTimeout)
	cfg.MaxMessageBytes = orDefault(cfg.MaxMessageBytes, DefaultMaxMessageBytes)
	cfg.MaxInflightAppends = orDefault(cfg.MaxInflightAppends, DefaultMaxInflightAppends)
	cfg.MaxInflightBytes = orDefault(cfg.MaxInflightBytes, DefaultMaxInflightBytes)
	cfg.LogTailBytes = orDefault(cfg.LogTailBytes, DefaultLogTailBytes)
	cfg.MaxSnapshotBytes = orDefault(cfg.MaxSnapshotBytes, DefaultMaxSnapshotBytes)
	return cfg
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// Snapshot is the state after the entry at Index; Index 0 is no snapshot.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members []Member
	State   []byte
}

// PersistedState is what a replica finds on its disk.
type PersistedState struct {
	HardState HardState
	Entries   []Entry
	Snapshot  Snapshot
}
