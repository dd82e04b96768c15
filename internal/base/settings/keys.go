package settings

import (
	"time"
)

// The defaults and bounds of settings that other packages may want to name.
const (
	DefaultCell          = "main"
	DefaultZone          = "zone-1"
	DefaultDataDir       = "data"
	DefaultLogLevel      = "info"
	DefaultLeaseDuration = 10 * time.Second

	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultElectionTimeout   = time.Second
	DefaultOutcomeRetention  = 24 * time.Hour
	DefaultMaxPoll           = 5 * time.Second
	DefaultCallTimeout       = 400 * time.Millisecond
	DefaultMaxLeaderSilence  = 2 * time.Second
	DefaultDrainDelay        = 10 * time.Second
	DefaultFinishTimeout     = 30 * time.Second
	DefaultReloadInterval    = 5 * time.Second

	DefaultBatchItems      = 512
	DefaultQueuedRequests  = 8_192
	DefaultConnections     = 8_192
	DefaultSnapshotEntries = 20_000
	DefaultDumpBytes       = 1 << 20

	// MaxReplicas bounds the list of control replicas.
	MaxReplicas = 7
	// MaxDigests bounds the list of enrolment digests.
	MaxDigests = 4
	// MaxZones bounds the list of availability zones.
	MaxZones = 256
	// MinElectionHeartbeats is the least number of heartbeats in an election timeout.
	MinElectionHeartbeats = 4
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

// AllKeys returns every setting in the order of the documentation.
func AllKeys() []Key { return keys }

var keys = []Key{
	text("cell", "", allowedName, DefaultCell, isName, "Names the cell; processes of different cells refuse each other.", func(s *Settings) *string { return &s.Cell }),
	choice("role", []string{string(RoleControl), string(RoleEntry)}, string(RoleControl), "Which daemon the file is for.", func(s *Settings) *string { return (*string)(&s.Role) }),
	{
		Path: "name", Allowed: allowedName, Default: "the role followed by -1",
		Help: "Unique in the cell. The inside certificate must bear it as a DNS name.",
		read: readText(allowedName, isName, func(s *Settings) *string { return &s.Name }),
		fill: func(s *Settings) { s.Name = string(s.Role) + "-1" },
	},
	text("zone", "", allowedName, DefaultZone, isName, "Availability zone of the instance.", func(s *Settings) *string { return &s.Zone }),
	{
		Path: "zones", Role: RoleControl, Allowed: allowedNames, Default: "none: those that backend servers are in",
		Help: "The availability zones of the deployment. Orders to drain any other one are refused.",
		read: readZones,
		fill: func(*Settings) {},
	},
	text("data", RoleControl, allowedPath, DefaultDataDir, isPath, "Folder of the journal and the snapshots; made when missing. Relative paths start at the file's folder.", func(s *Settings) *string { return &s.DataDir }),

	text("listen.control", RoleControl, allowedListen, defaultControl, isListen, "For entries and other control replicas.", func(s *Settings) *string { return &s.Listen.Control }),
	text("listen.callers", RoleEntry, allowedListen, defaultCallers, isListen, "For callers; the balancer's target.", func(s *Settings) *string { return &s.Listen.Callers }),
	text("listen.backends", RoleEntry, allowedListen, defaultBackends, isListen, "For backend servers.", func(s *Settings) *string { return &s.Listen.Backends }),
	text("listen.operators", RoleEntry, allowedListen, defaultOperators, isListen, "For operators.", func(s *Settings) *string { return &s.Listen.Operators }),
	{
		Path: "listen.platform", Allowed: allowedListen, Default: defaultPlatform + " for an entry, " + defaultWatched + " for control",
		Help: "Serves /healthz, /readyz and /metrics.",
		read: readText(allowedListen, isListen, func(s *Settings) *string { return &s.Listen.Platform }),
		fill: func(s *Settings) {
			s.Listen.Platform = defaultPlatform
			if s.Role == RoleControl {
				s.Listen.Platform = defaultWatched
			}
		},
	},
	{
		Path: "control", Allowed: allowedPeers, Default: "one replica: this one, or control-1 at " + defaultControl + " for an entry",
		Help: "The control replicas: at first start the founding members, later where to look for the leader.",
		read: readPeers,
		fill: func(s *Settings) {
			s.ControlReplicas = []ControlReplica{{Name: string(RoleControl) + "-1", Address: defaultControl}}
			if s.Role == RoleControl {
				s.ControlReplicas = []ControlReplica{{Name: s.Name, Address: s.Listen.Control}}
			}
		},
	},
	{
		Path: "enrolment", Role: RoleEntry, Allowed: allowedDigests, Default: "none: every backend server is refused",
		Help: "Digests of the enrolment secrets that backend servers may show. `gypsumreel key secret` makes a secret and its digest. List the old and the new one while a secret is changed.",
		read: readDigests,
		fill: func(*Settings) {},
	},

	text("operator", RoleControl, allowedDigest, "", isDigest, "Digest of the first operator's secret; `gypsumreel key secret` makes both. Its key is operator.SECRET, and counts only while the cell has no other key.", func(s *Settings) *string { return &s.OperatorDigest }),

	flag("tls.outside.plain", "No TLS towards callers, backend servers, operators and the platform.", func(s *Settings) *bool { return &s.TLS.Outside.Plain }),
	text("tls.outside.certificate", "", allowedPath, "", isPath, "Certificate chain in PEM; required unless plain.", func(s *Settings) *string { return &s.TLS.Outside.Certificate }),
	text("tls.outside.key", "", allowedPath, "", isPath, "Private key in PEM; required unless plain.", func(s *Settings) *string { return &s.TLS.Outside.Key }),
	text("tls.outside.authority", "", allowedPath, "", isPath, "Authorities in PEM. When given, whoever connects must show a certificate that one of them signed.", func(s *Settings) *string { return &s.TLS.Outside.Authority }),
	flag("tls.inside.plain", "No TLS between the processes of the cell.", func(s *Settings) *bool { return &s.TLS.Inside.Plain }),
	text("tls.inside.certificate", "", allowedPath, "", isPath, "Certificate chain in PEM for both ends of a connection; required unless plain.", func(s *Settings) *string { return &s.TLS.Inside.Certificate }),
	text("tls.inside.key", "", allowedPath, "", isPath, "Private key in PEM; required unless plain.", func(s *Settings) *string { return &s.TLS.Inside.Key }),
	text("tls.inside.authority", "", allowedPath, "", isPath, "Authorities in PEM that sign the cell's certificates; required unless plain.", func(s *Settings) *string { return &s.TLS.Inside.Authority }),

	only(RoleControl, span("time.lease", DefaultLeaseDuration, time.Second, 5*time.Minute, "How long a backend server may run work without hearing from the cell; all control replicas need the same. At least twice time.patience.", func(s *Settings) *time.Duration { return &s.Time.LeaseDuration })),
	only(RoleControl, span("time.heartbeat", DefaultHeartbeatInterval, 5*time.Millisecond, 5*time.Second, "Interval between the leader's heartbeats.", func(s *Settings) *time.Duration { return &s.Time.HeartbeatInterval })),
	only(RoleControl, span("time.election", DefaultElectionTimeout, 20*time.Millisecond, time.Minute, "Least silence of the leader that starts an election; at least four heartbeats.", func(s *Settings) *time.Duration { return &s.Time.ElectionTimeout })),
	only(RoleControl, filled(span("time.patience", 0, 20*time.Millisecond, time.Minute, "Longest that time.election grows to while the leader's heartbeats come late or one leader follows the other.", func(s *Settings) *time.Duration { return &s.Time.MaxElectionTimeout }),
		"time.election", func(s *Settings) { s.Time.MaxElectionTimeout = s.Time.ElectionTimeout })),
	only(RoleControl, span("time.retention", DefaultOutcomeRetention, time.Minute, 30*24*time.Hour, "How long an outcome is kept that nobody acknowledged.", func(s *Settings) *time.Duration { return &s.Time.OutcomeRetention })),
	only(RoleControl, span("time.poll", DefaultMaxPoll, 50*time.Millisecond, 30*time.Second, "Longest long poll; short, so that a silent connection shows.", func(s *Settings) *time.Duration { return &s.Time.MaxPoll })),
	only(RoleEntry, span("time.call", DefaultCallTimeout, 50*time.Millisecond, time.Minute, "Deadline of an entry's call to a control replica, beyond the poll it may hold; after it the connection is left behind.", func(s *Settings) *time.Duration { return &s.Time.CallTimeout })),
	only(RoleEntry, span("time.fresh", DefaultMaxLeaderSilence, 100*time.Millisecond, time.Minute, "Age of the last contact with the leader past which an entry refuses everything.", func(s *Settings) *time.Duration { return &s.Time.MaxLeaderSilence })),
	only(RoleEntry, span("time.drain", DefaultDrainDelay, 0, 10*time.Minute, "How long a stopping entry serves on after its readiness fails; the balancer's own delay or more.", func(s *Settings) *time.Duration { return &s.Time.DrainDelay })),
	only(RoleEntry, span("time.finish", DefaultFinishTimeout, time.Second, 10*time.Minute, "Longest wait for requests in flight at a planned stop.", func(s *Settings) *time.Duration { return &s.Time.FinishTimeout })),
	span("time.reload", DefaultReloadInterval, 50*time.Millisecond, time.Hour, "Interval at which the TLS files are looked at for a change.", func(s *Settings) *time.Duration { return &s.Time.ReloadInterval }),

	only(RoleEntry, count("limits.batch", "items", DefaultBatchItems, 1, 65_536, "Most items in one message to the leader.", func(s *Settings) *int64 { return &s.Limits.BatchItems })),
	only(RoleEntry, count("limits.queue", "requests", DefaultQueuedRequests, 1, 1<<20, "Most requests that wait at an entry; more are refused as not run.", func(s *Settings) *int64 { return &s.Limits.QueuedRequests })),
	only(RoleEntry, count("limits.connections", "connections", DefaultConnections, 8, 1<<20, "Most open connections of one listener.", func(s *Settings) *int64 { return &s.Limits.Connections })),
	only(RoleControl, count("limits.snapshot", "entries", DefaultSnapshotEntries, 16, 10_000_000, "Journal entries between two snapshots.", func(s *Settings) *int64 { return &s.Limits.SnapshotEntries })),
	count("limits.dump", "bytes", DefaultDumpBytes, 1<<10, 64<<20, "Largest state dump; what exceeds it is cut and marked.", func(s *Settings) *int64 { return &s.Limits.DumpBytes }),
	count("limits.memory", "MiB", 0, 0, 1<<20, "Memory of the instance, 0 when not known; the process keeps well below it.", func(s *Settings) *int64 { return &s.Limits.MemoryMiB }),
	only(RoleControl, count("limits.disk", "MiB", 0, 0, 1<<30, "Size of the data folder's disk, 0 when not known; a part of it is kept free.", func(s *Settings) *int64 { return &s.Limits.DiskMiB })),
	count("limits.files", "files", 0, 0, 1<<24, "Most open files and connections of the process, 0 when not known.", func(s *Settings) *int64 { return &s.Limits.OpenFiles }),

	{
		Path: "platform", Allowed: "an object", Default: "none",
		Help: "What only the adapter to a platform reads; the daemons of this program pass it over.",
		read: readPlatform,
		fill: func(*Settings) {},
	},
	choice("log", []string{"debug", "info", "warn", "error"}, DefaultLogLevel, "Least level of the events that are logged.", func(s *Settings) *string { return &s.LogLevel }),
}
