package settings

import (
	"time"
)

// The defaults and limits of settings.
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
	// DefaultDirectServers is where a leader that calls each server once a second needs a third of
	// a processor for that.
	DefaultDirectServers = 1000

	// MaxReplicas is the maximum number of control replicas.
	MaxReplicas = 7
	// MaxDigests is the maximum number of enrolment digests.
	MaxDigests = 4
	// MaxZones is the maximum number of availability zones.
	MaxZones = 256
	// MinElectionHeartbeats is the minimum ratio of the election timeout to the heartbeat
	// interval.
	MinElectionHeartbeats = 4
	// PatienceFactor is the default ratio of the longest election timeout to the shortest. With
	// a fixed timeout, replicas that get too little processor time depose each other for ever.
	PatienceFactor = 4
)

// The default addresses to listen on.
const (
	defaultControlAddress         = "127.0.0.1:7400"
	defaultCallersAddress         = "127.0.0.1:7401"
	defaultBackendsAddress        = "127.0.0.1:7402"
	defaultOperatorsAddress       = "127.0.0.1:7403"
	defaultEntryPlatformAddress   = "127.0.0.1:7404"
	defaultControlPlatformAddress = "127.0.0.1:7405"
)

// Key describes one setting.
type Key struct {
	// Path holds the names from the outermost object to the setting, joined by dots.
	Path string
	// Role is the role that the setting applies to, or empty for both roles.
	Role Role
	// Allowed describes the format, unit and range of the value.
	Allowed string
	// Default describes the value that applies if the key is missing.
	Default string
	// Help describes what the setting does.
	Help string

	// parse parses the value into the settings, and setDefault sets the default.
	parse      func(r *parser, s *Settings, v value)
	setDefault func(s *Settings)
}

// AllKeys returns all settings in the order of docs/SETTINGS.md.
func AllKeys() []Key { return allKeys }

// allKeys holds all settings. Defaults may depend on the defaults of earlier keys.
var allKeys = []Key{
	textKey("cell", "", allowedName, DefaultCell, isName, "Name of the cell. Processes of different cells refuse each other.", func(s *Settings) *string { return &s.Cell }),
	choiceKey("role", []string{string(RoleControl), string(RoleEntry)}, string(RoleControl), "Role of the daemon that uses the file.", func(s *Settings) *string { return (*string)(&s.Role) }),
	{
		Path: "name", Allowed: allowedName, Default: "the role followed by -1",
		Help:       "Name of the process, unique in the cell. The inside certificate must contain it as a DNS name.",
		parse:      parseText(allowedName, isName, func(s *Settings) *string { return &s.Name }),
		setDefault: func(s *Settings) { s.Name = string(s.Role) + "-1" },
	},
	textKey("zone", "", allowedName, DefaultZone, isName, "Availability zone of the instance.", func(s *Settings) *string { return &s.Zone }),
	{
		Path: "zones", Role: RoleControl, Allowed: allowedZones, Default: "none: those that backend servers are in",
		Help:       "The availability zones of the deployment. Orders to drain any other zone are refused.",
		parse:      parseZones,
		setDefault: func(*Settings) {},
	},
	textKey("data", RoleControl, allowedPath, DefaultDataDir, isPath, "Folder of the journal and the snapshots; created if missing. Relative paths are relative to the folder of the settings file.", func(s *Settings) *string { return &s.DataDir }),

	textKey("listen.control", RoleControl, allowedListen, defaultControlAddress, isListenAddress, "Address for entries and other control replicas.", func(s *Settings) *string { return &s.Listen.Control }),
	textKey("listen.callers", RoleEntry, allowedListen, defaultCallersAddress, isListenAddress, "Address for callers; the target of the load balancer.", func(s *Settings) *string { return &s.Listen.Callers }),
	textKey("listen.backends", RoleEntry, allowedListen, defaultBackendsAddress, isListenAddress, "Address for backend servers.", func(s *Settings) *string { return &s.Listen.Backends }),
	textKey("listen.operators", RoleEntry, allowedListen, defaultOperatorsAddress, isListenAddress, "Address for operators.", func(s *Settings) *string { return &s.Listen.Operators }),
	{
		Path: "listen.platform", Allowed: allowedListen, Default: defaultEntryPlatformAddress + " for an entry, " + defaultControlPlatformAddress + " for control",
		Help:  "Address that serves /healthz, /readyz and /metrics.",
		parse: parseText(allowedListen, isListenAddress, func(s *Settings) *string { return &s.Listen.Platform }),
		setDefault: func(s *Settings) {
			s.Listen.Platform = defaultEntryPlatformAddress
			if s.Role == RoleControl {
				s.Listen.Platform = defaultControlPlatformAddress
			}
		},
	},
	{
		Path: "control", Allowed: allowedReplicas, Default: "one replica: this one, or control-1 at " + defaultControlAddress + " for an entry",
		Help:  "The control replicas. They form the control group at its first start. Later starts use the list to find the leader.",
		parse: parseReplicas,
		setDefault: func(s *Settings) {
			s.ControlReplicas = []ControlReplica{{Name: string(RoleControl) + "-1", Address: defaultControlAddress}}
			if s.Role == RoleControl {
				s.ControlReplicas = []ControlReplica{{Name: s.Name, Address: s.Listen.Control}}
			}
		},
	},
	{
		Path: "enrolment", Role: RoleEntry, Allowed: allowedDigests, Default: "none: every backend server is refused",
		Help:       "Digests of the enrolment secrets that backend servers may present. `gypsumreel key secret` generates a secret and its digest. List both the old and the new digest while a secret is being changed.",
		parse:      parseDigests,
		setDefault: func(*Settings) {},
	},

	textKey("operator", RoleControl, allowedDigest, "", isDigest, "Digest of the first operator's secret; `gypsumreel key secret` generates both. The operator's key is operator.SECRET. It is valid only while the cell has no other key.", func(s *Settings) *string { return &s.OperatorDigest }),

	boolKey("tls.outside.plain", "Disables TLS for connections with callers, backend servers, operators and the platform.", func(s *Settings) *bool { return &s.TLS.Outside.Plain }),
	textKey("tls.outside.certificate", "", allowedPath, "", isPath, "Certificate chain in PEM; required unless plain.", func(s *Settings) *string { return &s.TLS.Outside.Certificate }),
	textKey("tls.outside.key", "", allowedPath, "", isPath, "Private key in PEM; required unless plain.", func(s *Settings) *string { return &s.TLS.Outside.Key }),
	textKey("tls.outside.authority", "", allowedPath, "", isPath, "Certificates of the authorities in PEM. If set, clients must present a certificate that one of them signed.", func(s *Settings) *string { return &s.TLS.Outside.Authority }),
	boolKey("tls.inside.plain", "Disables TLS between the processes of the cell.", func(s *Settings) *bool { return &s.TLS.Inside.Plain }),
	textKey("tls.inside.certificate", "", allowedPath, "", isPath, "Certificate chain in PEM, used as client and as server; required unless plain.", func(s *Settings) *string { return &s.TLS.Inside.Certificate }),
	textKey("tls.inside.key", "", allowedPath, "", isPath, "Private key in PEM; required unless plain.", func(s *Settings) *string { return &s.TLS.Inside.Key }),
	textKey("tls.inside.authority", "", allowedPath, "", isPath, "Certificates in PEM of the authorities that sign the cell's certificates; required unless plain.", func(s *Settings) *string { return &s.TLS.Inside.Authority }),

	forRole(RoleControl, durationKey("time.lease", DefaultLeaseDuration, time.Second, 5*time.Minute, "How long a backend server may run work without contact with the cell. All control replicas need the same value. At least twice time.patience.", func(s *Settings) *time.Duration { return &s.Time.LeaseDuration })),
	forRole(RoleControl, durationKey("time.heartbeat", DefaultHeartbeatInterval, 5*time.Millisecond, 5*time.Second, "Interval between the leader's heartbeats.", func(s *Settings) *time.Duration { return &s.Time.HeartbeatInterval })),
	forRole(RoleControl, durationKey("time.election", DefaultElectionTimeout, 20*time.Millisecond, time.Minute, "Shortest time without a heartbeat of the leader that starts an election; at least four heartbeats.", func(s *Settings) *time.Duration { return &s.Time.ElectionTimeout })),
	forRole(RoleControl, withDefault(durationKey("time.patience", 0, 20*time.Millisecond, time.Minute, "Maximum that the election timeout grows to while heartbeats of the leader are late or leaders change in quick succession.", func(s *Settings) *time.Duration { return &s.Time.MaxElectionTimeout }),
		"four times time.election, at most half of time.lease", func(s *Settings) {
			s.Time.MaxElectionTimeout = max(s.Time.ElectionTimeout, min(PatienceFactor*s.Time.ElectionTimeout, s.Time.LeaseDuration/2))
		})),
	forRole(RoleControl, durationKey("time.retention", DefaultOutcomeRetention, time.Minute, 30*24*time.Hour, "How long an outcome is kept without an acknowledgement.", func(s *Settings) *time.Duration { return &s.Time.OutcomeRetention })),
	forRole(RoleControl, durationKey("time.poll", DefaultMaxPoll, 50*time.Millisecond, 30*time.Second, "Maximum duration of a long poll. A short one detects unresponsive connections sooner.", func(s *Settings) *time.Duration { return &s.Time.MaxPoll })),
	forRole(RoleEntry, durationKey("time.call", DefaultCallTimeout, 50*time.Millisecond, time.Minute, "Timeout of an entry's call to a control replica, in addition to the duration of a long poll. When it expires, the entry abandons the connection.", func(s *Settings) *time.Duration { return &s.Time.CallTimeout })),
	forRole(RoleEntry, durationKey("time.fresh", DefaultMaxLeaderSilence, 100*time.Millisecond, time.Minute, "Maximum time since the last contact with the leader. After it an entry refuses all requests.", func(s *Settings) *time.Duration { return &s.Time.MaxLeaderSilence })),
	forRole(RoleEntry, durationKey("time.drain", DefaultDrainDelay, 0, 10*time.Minute, "How long an entry that shuts down still serves requests after its readiness check fails; at least the delay of the load balancer.", func(s *Settings) *time.Duration { return &s.Time.DrainDelay })),
	forRole(RoleEntry, durationKey("time.finish", DefaultFinishTimeout, time.Second, 10*time.Minute, "Longest wait for requests in flight during a graceful shutdown.", func(s *Settings) *time.Duration { return &s.Time.FinishTimeout })),
	durationKey("time.reload", DefaultReloadInterval, 50*time.Millisecond, time.Hour, "Interval between two checks of the TLS files for changes.", func(s *Settings) *time.Duration { return &s.Time.ReloadInterval }),

	forRole(RoleEntry, integerKey("limits.batch", "items", DefaultBatchItems, 1, 65_536, "Maximum number of items in one message to the leader.", func(s *Settings) *int64 { return &s.Limits.BatchItems })),
	forRole(RoleEntry, integerKey("limits.queue", "requests", DefaultQueuedRequests, 1, 1<<20, "Maximum number of requests that wait at an entry. Further requests are refused as not run.", func(s *Settings) *int64 { return &s.Limits.QueuedRequests })),
	forRole(RoleEntry, integerKey("limits.connections", "connections", DefaultConnections, 8, 1<<20, "Maximum number of open connections of one listener. Where limits.memory is set, connections take at most a third of it, at 24 KiB each. When another client waits, idle connections and those without headway are closed for it.", func(s *Settings) *int64 { return &s.Limits.Connections })),
	forRole(RoleControl, integerKey("limits.snapshot", "entries", DefaultSnapshotEntries, 16, 10_000_000, "Number of journal entries between two snapshots.", func(s *Settings) *int64 { return &s.Limits.SnapshotEntries })),
	integerKey("limits.dump", "bytes", DefaultDumpBytes, 1<<10, 64<<20, "Maximum size of a state dump. Larger dumps are truncated and marked.", func(s *Settings) *int64 { return &s.Limits.DumpBytes }),
	integerKey("limits.memory", "MiB", 0, 0, 1<<20, "Memory of the instance, or 0 if unknown. The process limits its heap well below it. Requests of clients hold at most an eighth of it, as do those of other processes and messages of other control replicas; 64 MiB each if it is unknown. Unfinished requests beyond that are refused; they were not passed on.", func(s *Settings) *int64 { return &s.Limits.MemoryMiB }),
	forRole(RoleControl, integerKey("limits.disk", "MiB", 0, 0, 1<<30, "Size of the disk with the data folder, or 0 if unknown. A part of it is kept free.", func(s *Settings) *int64 { return &s.Limits.DiskMiB })),
	integerKey("limits.files", "files", 0, 0, 1<<24, "Maximum number of open files and connections of the process, or 0 if unknown.", func(s *Settings) *int64 { return &s.Limits.OpenFiles }),

	forRole(RoleControl, integerKey("flows.direct", "servers", DefaultDirectServers, 0, 1_000_000, "Number of backend servers above which the leader gives them to the other control replicas, which make its calls to them.", func(s *Settings) *int64 { return &s.Flows.DirectServers })),
	forRole(RoleControl, integerKey("flows.contention", "percent", 0, 0, 10_000, "Sum of the customers' CPU limits, in percent of the CPU of all backend servers, from which customers count as competing: while room is short, flows beyond a customer's guaranteed rate that could not begin in time are refused as not run, and what can end in time goes first. 0 means never.", func(s *Settings) *int64 { return &s.Flows.ContentionPercent })),
	forRole(RoleControl, integerKey("flows.floor", "percent", 0, 0, 50, "Part of a contended pool that each queue may use before queues of higher priority use more.", func(s *Settings) *int64 { return &s.Flows.FloorPercent })),
	forRole(RoleControl, boolKey("flows.proven", "Keeps the last attempt of a task for backend servers that recently ended a run successfully.", func(s *Settings) *bool { return &s.Flows.ProvenAttempts })),
	forRole(RoleControl, integerKey("flows.uneven", "percent", 0, 0, 10_000, "Speed of the fastest quarter of the backend servers of a pool, in percent of that of the slowest quarter, from which speeds decide where work goes. 0 means never.", func(s *Settings) *int64 { return &s.Flows.UnevennessPercent })),

	{
		Path: "platform", Allowed: "an object", Default: "none",
		Help:       "Settings for the platform adapter. The daemons of this program ignore them.",
		parse:      parsePlatform,
		setDefault: func(*Settings) {},
	},
	choiceKey("log", []string{"debug", "info", "warn", "error"}, DefaultLogLevel, "Minimum level of the events that are logged.", func(s *Settings) *string { return &s.LogLevel }),
}
