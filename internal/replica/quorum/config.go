package quorum

import "time"

// Defaults of Config.
const (
	// DefaultHeartbeat is the time between two heartbeat rounds of a leader.
	DefaultHeartbeat = 100 * time.Millisecond
	// DefaultElection is the shortest election timeout; the longest is twice that.
	DefaultElection = 500 * time.Millisecond
	// DefaultMessage bounds the entries or the snapshot data of a message, in
	// bytes. A single entry that is larger travels alone.
	DefaultMessage = 256 << 10
	// DefaultInflight bounds the appends on the way to one replica: so many small
	// ones may leave before the first is answered that no proposal waits a round
	// trip for its turn.
	DefaultInflight = 64
	// DefaultWindow bounds the bytes of the appends on the way to one replica.
	DefaultWindow = 2 << 20
	// DefaultTail bounds the entries kept in memory behind a snapshot, in bytes.
	DefaultTail = 8 << 20
	// DefaultSnapshot bounds a snapshot that is taken from another replica, in bytes.
	DefaultSnapshot = 1 << 30
)

// Config is what a core is made with; zero values stand for the defaults.
type Config struct {
	// ID is NAME/NONCE of this replica.
	ID string
	// Address is where the others reach this replica.
	Address   string
	Heartbeat time.Duration
	// Election is the shortest election timeout, Patience the longest that it grows
	// to while the leader's messages come late or one leader follows the other;
	// Election when it is 0.
	Election time.Duration
	Patience time.Duration
	// Seed is the only source of randomness.
	Seed uint64
	// Bootstrap is the first membership of a new group. It is used only with an
	// empty disk and is the same on every replica that is given one.
	Bootstrap []Member
	Message   int
	Inflight  int
	Window    int
	Tail      int
	Snapshot  int
}

func (cfg Config) withDefaults() Config {
	cfg.Heartbeat = orDefault(cfg.Heartbeat, DefaultHeartbeat)
	cfg.Election = orDefault(cfg.Election, DefaultElection)
	cfg.Patience = max(cfg.Patience, cfg.Election)
	cfg.Message = orDefault(cfg.Message, DefaultMessage)
	cfg.Inflight = orDefault(cfg.Inflight, DefaultInflight)
	cfg.Window = orDefault(cfg.Window, DefaultWindow)
	cfg.Tail = orDefault(cfg.Tail, DefaultTail)
	cfg.Snapshot = orDefault(cfg.Snapshot, DefaultSnapshot)
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

// Saved is what a replica finds on its disk.
type Saved struct {
	Hard     Hard
	Entries  []Entry
	Snapshot Snapshot
}
