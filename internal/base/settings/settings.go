// Package settings reads the settings of a daemon: JSON with comments and
// trailing commas, one file for either role. Every fault of a file is reported
// with its place, the setting and what is allowed; docs/SETTINGS.md lists the keys.
package settings

import (
	"os"
	"path/filepath"
	"time"
)

// Role says which daemon a file is for.
type Role string

// The roles.
const (
	RoleControl Role = "control"
	RoleEntry   Role = "entry"
)

// Settings is what a daemon starts from. Default gives one that runs.
type Settings struct {
	// Cell names the cell; processes of different cells refuse each other.
	Cell string
	// Name is unique in the cell and the name in the process's inside certificate.
	Name string
	// Zone is the availability zone of the instance.
	Zone string
	// Zones are the availability zones of the deployment; none for those that
	// backend servers are in.
	Zones []string
	Role  Role
	// DataDir is the folder of the journal and snapshots; control only.
	DataDir string
	Listen  Listen
	// ControlReplicas lists the control replicas of the cell.
	ControlReplicas []ControlReplica
	// EnrolmentDigests holds the SHA-256 digests, in hexadecimal, of the secrets that
	// backend servers may show; two during a change of secret.
	EnrolmentDigests []string
	// OperatorDigest is the digest of the first operator's secret, in hexadecimal.
	OperatorDigest string
	TLS            TLS
	Time           Time
	Limits         Limits
	// Platform is what only the adapter to a platform reads, as it stands in the
	// file; empty for none.
	Platform []byte
	// LogLevel is the least level that is logged: debug, info, warn or error.
	LogLevel string
}

// Listen holds the addresses, IP:port, that the process listens on.
type Listen struct {
	// Control is for entries and other replicas; control only.
	Control string
	// Callers, Backends and Operators are the services of an entry.
	Callers   string
	Backends  string
	Operators string
	// Platform serves /healthz, /readyz and /metrics.
	Platform string
}

// ControlReplica is one control replica.
type ControlReplica struct {
	Name string
	// Address is IP:port of its Listen.Control.
	Address string
}

// TLS holds the two sides of a process.
type TLS struct {
	// Outside is towards callers, backend servers, operators and the platform.
	Outside TLSConfig
	// Inside is between the processes of the cell; both ends show a certificate.
	Inside TLSConfig
}

// TLSConfig says how connections of one side are secured.
type TLSConfig struct {
	// Plain turns TLS off; nothing else does.
	Plain bool
	// Certificate, Key and Authority are PEM files. With an authority a
	// client must show a certificate that it signed.
	Certificate string
	Key         string
	Authority   string
}

// Time holds intervals and delays.
type Time struct {
	// LeaseDuration is how long a backend server may run work unheard.
	LeaseDuration time.Duration
	// HeartbeatInterval is the interval between a leader's heartbeats.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the least silence of a leader that starts an election, Patience the
	// longest that it grows to.
	ElectionTimeout    time.Duration
	MaxElectionTimeout time.Duration
	// OutcomeRetention is how long an outcome is kept that nobody acknowledged.
	OutcomeRetention time.Duration
	// MaxPoll is the longest long poll.
	MaxPoll time.Duration
	// CallTimeout is the deadline of an entry's call to a control replica, beyond a poll.
	CallTimeout time.Duration
	// MaxLeaderSilence is the age of the last contact with the leader past which an entry refuses.
	MaxLeaderSilence time.Duration
	// DrainDelay is how long a stopping entry serves on after it fails its readiness.
	DrainDelay time.Duration
	// FinishTimeout is the longest wait for requests in flight at a planned stop.
	FinishTimeout time.Duration
	// ReloadInterval is the interval at which the TLS files are looked at.
	ReloadInterval time.Duration
}

// Limits bounds sizes and queues.
type Limits struct {
	// BatchItems is the most items in one message to the leader.
	BatchItems int64
	// QueuedRequests is the most requests that wait at an entry.
	QueuedRequests int64
	// Connections is the most open connections of a listener.
	Connections int64
	// SnapshotEntries is the number of entries between two snapshots.
	SnapshotEntries int64
	// DumpBytes is the largest state dump in bytes.
	DumpBytes int64
	// MemoryMiB, Disk and Files are what the instance gives: MiB of memory, MiB on
	// the data folder's disk, open files. 0 is not known.
	MemoryMiB int64
	DiskMiB   int64
	OpenFiles int64
}

// maxFile bounds a settings file in bytes, and with it the parser's recursion.
const maxFile = 256 << 10

// Load reads and checks a file. The error is Faults unless the file can't be
// read. Relative paths in it are taken from its folder.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, Faults{{File: path, Text: "can't be read: " + err.Error()}}
	}
	s, err := Parse(path, b)
	if err != nil {
		return nil, err
	}
	s.resolve(filepath.Dir(path))
	return s, nil
}

// Default returns settings of a role that run as they are: on loopback, alone
// and, as TLS needs files, in plain text.
func Default(role Role) *Settings {
	s := &Settings{Role: role}
	fill(s, func(string) bool { return false })
	s.TLS = TLS{Outside: TLSConfig{Plain: true}, Inside: TLSConfig{Plain: true}}
	return s
}

// FindReplica returns the replica of that name.
func (s *Settings) FindReplica(name string) (ControlReplica, bool) {
	for _, p := range s.ControlReplicas {
		if p.Name == name {
			return p, true
		}
	}
	return ControlReplica{}, false
}

func (s *Settings) resolve(dir string) {
	for _, p := range []*string{
		&s.DataDir,
		&s.TLS.Outside.Certificate, &s.TLS.Outside.Key, &s.TLS.Outside.Authority,
		&s.TLS.Inside.Certificate, &s.TLS.Inside.Key, &s.TLS.Inside.Authority,
	} {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(dir, *p)
		}
	}
}
