package settings

import (
	"time"
)

// The defaults and bounds of settings that other packages may want to name.
const (
	DefaultCell  = "main"
	DefaultZone  = "zone-1"
	DefaultData  = "data"
	DefaultLog   = "info"
	DefaultLease = 10 * time.Second

	DefaultHeartbeat = 100 * time.Millisecond
	DefaultElection  = time.Second
	DefaultRetention = 24 * time.Hour
	DefaultPoll      = 5 * time.Second
	DefaultCall      = 3 * time.Second
	DefaultPing      = 3 * time.Second
	DefaultAge       = 10 * time.Minute
	DefaultFresh     = 3 * time.Second
	DefaultDrain     = 10 * time.Second
	DefaultFinish    = 30 * time.Second
	DefaultReload    = 5 * time.Second

	DefaultBody        = 4 << 20
	DefaultAnswer      = 16 << 20
	DefaultInner       = 32 << 20
	DefaultBatch       = 1_024
	DefaultQueue       = 16_384
	DefaultJobs        = 262_144
	DefaultConnections = 8_192
	DefaultSnapshot    = 20_000
	DefaultFree        = 256
	DefaultDump        = 1 << 20

	// MaxReplicas bounds the list of control replicas.
	MaxReplicas = 7
	// MaxDigests bounds the list of enrolment digests.
	MaxDigests = 4
	// ElectionBeats is the least number of heartbeats in an election timeout.
	ElectionBeats = 4
)

// The default addresses.
const (
	defaultControl   = "127.0.0.1:7400"
	defaultCallers   = "127.0.0.1:7401"
	defaultBackends  = "127.0.0.1:7402"
	defaultOperators = "127.0.0.1:7403"
	defaultPlatform  = "127.0.0.1:7404"
	defaultWatched   = "127.0.0.1:7405"
)

// Key describes one setting.
type Key struct {
	// Path is the names from the outermost object inwards, joined by dots.
	Path string
	// Role is empty for a setting of both roles.
	Role Role
	// Allowed is the form, unit and bounds.
	Allowed string
	// Default is what holds when the key is left out.
	Default string
	// Help says what the setting does.
	Help string

	read func(r *reader, s *Settings, v value)
	fill func(s *Settings)
}

// Keys returns every setting in the order of the documentation.
func Keys() []Key { return keys }

var keys = []Key{
	text("cell", "", allowedName, DefaultCell, isName, "Names the cell; processes of different cells refuse each other.", func(s *Settings) *string { return &s.Cell }),
	choice("role", []string{string(Control), string(Entry)}, string(Control), "Which daemon the file is for.", func(s *Settings) *string { return (*string)(&s.Role) }),
	{
		Path: "name", Allowed: allowedName, Default: "the role followed by -1",
		Help: "Unique in the cell. The inside certificate must bear it as a DNS name.",
		read: readText(allowedName, isName, func(s *Settings) *string { return &s.Name }),
		fill: func(s *Settings) { s.Name = string(s.Role) + "-1" },
	},
	text("zone", "", allowedName, DefaultZone, isName, "Availability zone of the instance.", func(s *Settings) *string { return &s.Zone }),
	text("data", Control, allowedPath, DefaultData, isPath, "Folder of the journal and the snapshots; made when missing. Relative paths start at the file's folder.", func(s *Settings) *string { return &s.Data }),

	text("listen.control", Control, allowedListen, defaultControl, isListen, "For entries and other control replicas.", func(s *Settings) *string { return &s.Listen.Control }),
	text("listen.callers", Entry, allowedListen, defaultCallers, isListen, "For callers; the balancer's target.", func(s *Settings) *string { return &s.Listen.Callers }),
	text("listen.backends", Entry, allowedListen, defaultBackends, isListen, "For backend servers.", func(s *Settings) *string { return &s.Listen.Backends }),
	text("listen.operators", Entry, allowedListen, defaultOperators, isListen, "For operators.", func(s *Settings) *string { return &s.Listen.Operators }),
	{
		Path: "listen.platform", Allowed: allowedListen, Default: defaultPlatform + " for an entry, " + defaultWatched + " for control",
		Help: "Serves /healthz, /readyz and /metrics.",
		read: readText(allowedListen, isListen, func(s *Settings) *string { return &s.Listen.Platform }),
		fill: func(s *Settings) {
			s.Listen.Platform = defaultPlatform
			if s.Role == Control {
				s.Listen.Platform = defaultWatched
			}
		},
	},
	{
		Path: "control", Allowed: allowedPeers, Default: "one replica: this one, or control-1 at " + defaultControl + " for an entry",
		Help: "The control replicas: at first start the founding members, later where to look for the leader.",
		read: readPeers,
		fill: func(s *Settings) {
			s.Control = []Peer{{Name: string(Control) + "-1", Address: defaultControl}}
			if s.Role == Control {
				s.Control = []Peer{{Name: s.Name, Address: s.Listen.Control}}
			}
		},
	},
	{
		Path: "enrolment", Role: Entry, Allowed: allowedDigests, Default: "none: every backend server is refused",
		Help: "Digests of the enrolment secrets that backend servers may show. `gypsumreel key secret` makes a secret and its digest. List the old and the new one while a secret is changed.",
		read: readDigests,
		fill: func(*Settings) {},
	},

	text("operator", Control, allowedDigest, "", isDigest, "Digest of the first operator's secret; `gypsumreel key secret` makes both. Its key is operator.SECRET, and counts only while the cell has no other key.", func(s *Settings) *string { return &s.Operator }),

	flag("tls.outside.plain", "No TLS towards callers, backend servers, operators and the platform.", func(s *Settings) *bool { return &s.TLS.Outside.Plain }),
	text("tls.outside.certificate", "", allowedPath, "", isPath, "Certificate chain in PEM; required unless plain.", func(s *Settings) *string { return &s.TLS.Outside.Certificate }),
	text("tls.outside.key", "", allowedPath, "", isPath, "Private key in PEM; required unless plain.", func(s *Settings) *string { return &s.TLS.Outside.Key }),
	text("tls.outside.authority", "", allowedPath, "", isPath, "Authorities in PEM. When given, whoever connects must show a certificate that one of them signed.", func(s *Settings) *string { return &s.TLS.Outside.Authority }),
	flag("tls.inside.plain", "No TLS between the processes of the cell.", func(s *Settings) *bool { return &s.TLS.Inside.Plain }),
	text("tls.inside.certificate", "", allowedPath, "", isPath, "Certificate chain in PEM for both ends of a connection; required unless plain.", func(s *Settings) *string { return &s.TLS.Inside.Certificate }),
	text("tls.inside.key", "", allowedPath, "", isPath, "Private key in PEM; required unless plain.", func(s *Settings) *string { return &s.TLS.Inside.Key }),
	text("tls.inside.authority", "", allowedPath, "", isPath, "Authorities in PEM that sign the cell's certificates; required unless plain.", func(s *Settings) *string { return &s.TLS.Inside.Authority }),

	span("time.lease", DefaultLease, time.Second, 5*time.Minute, "How long a backend server may run work without hearing from the cell; all control replicas need the same. At least twice time.election.", func(s *Settings) *time.Duration { return &s.Time.Lease }),
	span("time.heartbeat", DefaultHeartbeat, 5*time.Millisecond, 5*time.Second, "Interval between the leader's heartbeats.", func(s *Settings) *time.Duration { return &s.Time.Heartbeat }),
	span("time.election", DefaultElection, 20*time.Millisecond, time.Minute, "Least silence of the leader that starts an election; at least four heartbeats.", func(s *Settings) *time.Duration { return &s.Time.Election }),
	span("time.retention", DefaultRetention, time.Minute, 30*24*time.Hour, "How long an outcome is kept that nobody acknowledged.", func(s *Settings) *time.Duration { return &s.Time.Retention }),
	span("time.poll", DefaultPoll, 50*time.Millisecond, 30*time.Second, "Longest long poll; short, so that a silent connection shows.", func(s *Settings) *time.Duration { return &s.Time.Poll }),
	span("time.call", DefaultCall, 50*time.Millisecond, time.Minute, "Deadline of a call between processes, beyond the poll it may hold.", func(s *Settings) *time.Duration { return &s.Time.Call }),
	span("time.ping", DefaultPing, 50*time.Millisecond, time.Minute, "Silence after which a connection is probed; after as long again it is closed.", func(s *Settings) *time.Duration { return &s.Time.Ping }),
	span("time.age", DefaultAge, time.Second, 24*time.Hour, "Longest life of a connection.", func(s *Settings) *time.Duration { return &s.Time.Age }),
	span("time.fresh", DefaultFresh, 100*time.Millisecond, time.Minute, "Age of the last proof of the table's revision past which reads are refused.", func(s *Settings) *time.Duration { return &s.Time.Fresh }),
	span("time.drain", DefaultDrain, 0, 10*time.Minute, "How long a stopping process serves on after its readiness fails; the balancer's own delay or more.", func(s *Settings) *time.Duration { return &s.Time.Drain }),
	span("time.finish", DefaultFinish, time.Second, 10*time.Minute, "Longest wait for requests in flight at a planned stop.", func(s *Settings) *time.Duration { return &s.Time.Finish }),
	span("time.reload", DefaultReload, 50*time.Millisecond, time.Hour, "Interval at which the TLS files are looked at for a change.", func(s *Settings) *time.Duration { return &s.Time.Reload }),

	count("limits.body", "bytes", DefaultBody, 1<<10, 64<<20, "Largest request from outside.", func(s *Settings) *int64 { return &s.Limits.Body }),
	count("limits.answer", "bytes", DefaultAnswer, 1<<10, 256<<20, "Largest whole answer of a job.", func(s *Settings) *int64 { return &s.Limits.Answer }),
	count("limits.inner", "bytes", DefaultInner, 1<<16, 256<<20, "Largest message between processes; more than limits.body.", func(s *Settings) *int64 { return &s.Limits.Inner }),
	count("limits.batch", "items", DefaultBatch, 1, 65_536, "Most items in one message to the leader.", func(s *Settings) *int64 { return &s.Limits.Batch }),
	count("limits.queue", "requests", DefaultQueue, 1, 1<<20, "Most requests that wait at an entry; more are refused as not run.", func(s *Settings) *int64 { return &s.Limits.Queue }),
	count("limits.jobs", "jobs", DefaultJobs, 1, 1<<24, "Most jobs that wait in the cell; more are refused as not run.", func(s *Settings) *int64 { return &s.Limits.Jobs }),
	count("limits.connections", "connections", DefaultConnections, 8, 1<<20, "Most open connections of one listener.", func(s *Settings) *int64 { return &s.Limits.Connections }),
	count("limits.snapshot", "entries", DefaultSnapshot, 16, 10_000_000, "Journal entries between two snapshots.", func(s *Settings) *int64 { return &s.Limits.Snapshot }),
	count("limits.free", "MiB", DefaultFree, 1, 1<<20, "Room on the disk below which new work is refused.", func(s *Settings) *int64 { return &s.Limits.Free }),
	count("limits.dump", "bytes", DefaultDump, 1<<10, 64<<20, "Largest state dump; what exceeds it is cut and marked.", func(s *Settings) *int64 { return &s.Limits.Dump }),

	choice("log", []string{"debug", "info", "warn", "error"}, DefaultLog, "Least level of the events that are logged.", func(s *Settings) *string { return &s.Log }),
}
