// Package settings parses the settings file of a daemon. The format is JSON with
// comments and trailing commas, the same for both roles. Each fault is reported with
// its position, the setting and the allowed values. docs/SETTINGS.md lists the keys.
package settings

import (
	"os"
	"path/filepath"
	"time"
)

// Role is the role of a daemon.
type Role string

// The roles.
const (
	RoleControl Role = "control"
	RoleEntry   Role = "entry"
)

// Settings holds the configuration of a daemon. Default returns settings that can run
// without a file.
type Settings struct {
	// Cell is the name of the cell. Processes of different cells refuse each other.
	Cell string
	// Name is the unique name of the process in the cell. The process's inside
	// certificate must contain it.
	Name string
	// Zone is the availability zone of the instance.
	Zone string
	// Zones are the availability zones of the deployment. If it is empty, the zones of
	// the backend servers are used.
	Zones []string
	Role  Role
	// DataDir is the folder of the journal and the snapshots. Only control replicas use it.
	DataDir string
	Listen  Listen
	// ControlReplicas lists the control replicas of the cell.
	ControlReplicas []ControlReplica
	// EnrolmentDigests holds the hexadecimal SHA-256 digests of the secrets that backend
	// servers may present. It holds two during a change of the secret.
	EnrolmentDigests []string
	// OperatorDigest is the hexadecimal digest of the first operator's secret.
	OperatorDigest string
	TLS            TLS
	Time           Time
	Limits         Limits
	Flows          Flows
	// Platform is the JSON object for the platform adapter, without comments. It is
	// empty if the file has none.
	Platform []byte
	// LogLevel is the minimum level of logged events: debug, info, warn or error.
	LogLevel string
}

// Listen holds the addresses (IP:port) that the process listens on.
type Listen struct {
	// Control is the address for entries and other replicas. Only control replicas
	// listen on it.
	Control string
	// Callers, Backends and Operators are the addresses of the services of an entry.
	Callers   string
	Backends  string
	Operators string
	// Platform is the address that serves /healthz, /readyz and /metrics.
	Platform string
}

// ControlReplica is the name and address of one control replica.
type ControlReplica struct {
	Name string
	// Address is the IP:port that the replica listens on for Listen.Control.
	Address string
}

// TLS holds the TLS configuration of the external and internal connections of a
// process.
type TLS struct {
	// Outside applies to connections with callers, backend servers, operators and the
	// platform.
	Outside TLSConfig
	// Inside applies to connections between processes of the cell. Both peers present a
	// certificate.
	Inside TLSConfig
}

// TLSConfig selects how the connections of one side are secured.
type TLSConfig struct {
	// Plain disables TLS. Missing files do not disable it.
	Plain bool
	// Certificate, Key and Authority are paths of PEM files. If Authority is set,
	// clients must present a certificate that it signed.
	Certificate string
	Key         string
	Authority   string
}

// Time holds intervals, delays and timeouts.
type Time struct {
	// LeaseDuration is how long a backend server may run work without contact with the
	// cell.
	LeaseDuration time.Duration
	// HeartbeatInterval is the interval between the leader's heartbeats.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest time without a heartbeat after which a follower
	// starts an election. The timeout grows up to MaxElectionTimeout.
	ElectionTimeout    time.Duration
	MaxElectionTimeout time.Duration
	// OutcomeRetention is how long an outcome is kept without an acknowledgment.
	OutcomeRetention time.Duration
	// MaxPoll is the maximum duration of a long poll.
	MaxPoll time.Duration
	// CallTimeout is the timeout of an entry's call to a control replica, in addition to
	// the duration of a long poll.
	CallTimeout time.Duration
	// MaxLeaderSilence is the maximum time since the last contact with the leader. After
	// it an entry refuses all requests.
	MaxLeaderSilence time.Duration
	// DrainDelay is how long an entry that shuts down still serves requests after its
	// readiness check fails.
	DrainDelay time.Duration
	// FinishTimeout is the longest wait for requests in flight during a graceful
	// shutdown.
	FinishTimeout time.Duration
	// ReloadInterval is the interval between two checks of the TLS files.
	ReloadInterval time.Duration
}

// Limits holds limits on sizes and queues.
type Limits struct {
	// BatchItems is the maximum number of items in one message to the leader.
	BatchItems int64
	// QueuedRequests is the maximum number of requests that wait at an entry.
	QueuedRequests int64
	// Connections is the maximum number of open connections of a listener.
	Connections int64
	// SnapshotEntries is the number of journal entries between two snapshots.
	SnapshotEntries int64
	// DumpBytes is the maximum size of a state dump.
	DumpBytes int64
	// MemoryMiB is the memory of the instance, DiskMiB the size of the disk with the data
	// folder, and OpenFiles the maximum number of open files. 0 means unknown.
	MemoryMiB int64
	DiskMiB   int64
	OpenFiles int64
}

// Flows selects decisions about flows.
type Flows struct {
	// DirectServers is the number of backend servers above which the leader leaves them to
	// other control replicas.
	DirectServers int64
	// ContentionPercent is the sum of the customers' CPU limits, in percent of the CPU of all
	// servers, from which the customers count as competing. 0 means never.
	ContentionPercent int64
	// FloorPercent is the part of a contended pool, in percent, that each queue may use
	// before queues of higher priority use more.
	FloorPercent int64
	// ProvenAttempts keeps the last attempt of a task for servers that recently ended a run
	// successfully.
	ProvenAttempts bool
	// UnevennessPercent is the speed of the fastest quarter of a pool's servers, in percent of
	// that of the slowest quarter, from which speeds decide where work goes. 0 means never.
	UnevennessPercent int64
}

// maxFileBytes limits the size of a settings file, and thereby the recursion depth of
// the parser.
const maxFileBytes = 256 << 10

// Load reads and checks a settings file. All errors are of type Faults. Relative
// paths in the file are relative to its folder.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, Faults{{File: path, Text: "can't be read: " + err.Error()}}
	}
	s, err := Parse(path, b)
	if err != nil {
		return nil, err
	}
	s.resolvePaths(filepath.Dir(path))
	return s, nil
}

// Default returns the settings of a role for a cell with one control replica on
// loopback addresses. TLS is disabled, because it needs files.
func Default(role Role) *Settings {
	s := &Settings{Role: role}
	setDefaults(s, func(string) bool { return false })
	s.TLS = TLS{Outside: TLSConfig{Plain: true}, Inside: TLSConfig{Plain: true}}
	return s
}

// FindReplica returns the control replica with the given name.
func (s *Settings) FindReplica(name string) (ControlReplica, bool) {
	for _, replica := range s.ControlReplicas {
		if replica.Name == name {
			return replica, true
		}
	}
	return ControlReplica{}, false
}

// resolvePaths makes relative paths relative to dir.
func (s *Settings) resolvePaths(dir string) {
	for _, path := range []*string{
		&s.DataDir,
		&s.TLS.Outside.Certificate, &s.TLS.Outside.Key, &s.TLS.Outside.Authority,
		&s.TLS.Inside.Certificate, &s.TLS.Inside.Key, &s.TLS.Inside.Authority,
	} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(dir, *path)
		}
	}
}
