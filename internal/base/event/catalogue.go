package event

// The process.
var (
	Started          = def(100, "started", Info, "process started", "None. Restarts that nobody planned point to events just before them.")
	Stopped          = def(101, "stopped", Info, "process stopped", "None.")
	StopBegun        = def(102, "stop-begun", Info, "graceful stop begun", "None. The instance may go once event 101 is logged.")
	StopDraining     = def(103, "stop-draining", Info, "readiness failed on purpose; still serving", "None.")
	StopFinishing    = def(104, "stop-finishing", Info, "long polls ended; finishing requests in flight", "None.")
	StopForced       = def(105, "stop-forced", Warn, "stop went on with requests still in flight", "Raise time.finish; callers of the cut requests resume by their ids.")
	SettingsBad      = def(106, "settings-bad", Error, "settings refused", "Run `gypsumreel check FILE` and mend what it prints.")
	Listening        = def(107, "listening", Info, "listener open", "None.")
	ListenFailed     = def(108, "listen-failed", Error, "listener can't be opened", "Free the address or change it in the settings.")
	Dumped           = def(109, "dumped", Info, "state dump written", "None.")
	DumpFailed       = def(110, "dump-failed", Warn, "state dump can't be written", "Check the data folder; ask for the dump with `gypsumreel dump`.")
	SettingsReloaded = def(112, "settings-reloaded", Info, "settings read again", "None.")
	Panicked         = def(111, "panicked", Error, "fault in the program; the request was refused or the process ends", "Keep the log and a dump and report the fault.")
)

// The control group.
var (
	LeaderElected     = def(200, "leader-elected", Info, "this replica leads", "None. Several in a minute: look at event 201 and the network between zones.")
	LeaderLost        = def(201, "leader-lost", Warn, "this replica no longer leads", "None when planned. Otherwise check the instance and its network.")
	LeaderUnknown     = def(202, "leader-unknown", Error, "no leader known", "Check that most control replicas run and reach one another.")
	LeaderChanged     = def(203, "leader-changed", Info, "another replica leads", "None.")
	LeaderTransferred = def(204, "leader-transferred", Info, "leadership handed over", "None.")
	QuorumLost        = def(205, "quorum-lost", Error, "the leader can't reach a quorum and steps down", "Bring replicas back until most run, or look for a network partition.")
	RecoveryWait      = def(206, "recovery-wait", Info, "new leader waits for leases of the last one", "None. Placement of what silent servers held resumes after the wait.")
	MemberAdded       = def(210, "member-added", Info, "control replica added", "None.")
	MemberPromoted    = def(211, "member-promoted", Info, "learner caught up and counts", "None.")
	MemberRemoved     = def(212, "member-removed", Info, "control replica removed", "Stop its process; its name is not used again.")
	MemberRefused     = def(213, "member-refused", Warn, "membership change refused", "Make one change at a time; see `gypsumreel member list`.")
	PeerRefused       = def(214, "peer-refused", Warn, "peer refused", "Compare cell, name and certificate of the peer with the settings.")
	PeerSilent        = def(215, "peer-silent", Warn, "control replica not heard from", "Check its process and network. Replace it if it stays away.")
	PeerBack          = def(216, "peer-back", Info, "control replica heard from again", "None.")
	RoundLate         = def(218, "round-late", Warn, "a heartbeat round took long; the lead is in danger", "Look at the processor of the leader's instance, and at the network between the control replicas.")
	StaleIdentity     = def(217, "stale-identity", Error, "this replica was removed or lost its disk and must not vote", "Give the replica a new name and add it with `gypsumreel member add`.")
)

// The files of the control group.
var (
	JournalTorn     = def(300, "journal-torn", Info, "torn end of the journal cut off after a crash", "None. The entry cut off was never confirmed.")
	JournalDamaged  = def(301, "journal-damaged", Error, "journal damaged before its end; the replica doesn't start", "Check the disk. Remove the member, empty its folder and add it under a new name.")
	SyncFailed      = def(302, "sync-failed", Error, "fsync failed; the process ends", "Replace the disk. Remove the member and add it under a new name.")
	DiskFull        = def(303, "disk-full", Error, "too little room on the disk; new work is refused", "Make room on the data folder's disk.")
	DiskFree        = def(304, "disk-free", Info, "enough room on the disk again", "None.")
	SnapshotWritten = def(305, "snapshot-written", Debug, "snapshot written", "None.")
	SnapshotLoaded  = def(306, "snapshot-loaded", Info, "state restored", "None.")
	SnapshotDamaged = def(307, "snapshot-damaged", Error, "snapshot damaged", "As for event 301.")
	SnapshotFetched = def(308, "snapshot-fetched", Info, "snapshot taken from the leader", "None.")
	SyncSlow        = def(309, "sync-slow", Warn, "fsync took long", "Look at the disk; every acceptance waits for it.")
	StateDiffers    = def(310, "state-differs", Error, "replicas disagree about the state", "Stop the replica named, keep its data folder, report the fault.")
	StoragePutOff   = def(311, "storage-put-off", Warn, "a snapshot or a new segment could not be made; it is tried again", "Look at the cause named: open files (`files` in the dump), room, the disk. The log grows until it passes.")
)

// Keys and the table.
var (
	Audit            = def(400, "audit", Info, "operator change", "None: the record of who changed what, when and with which key.")
	AuditRefused     = def(401, "audit-refused", Warn, "operator change refused", "None; the operator was told why.")
	KeyGranted       = def(402, "key-granted", Info, "key granted", "None.")
	KeyWithdrawn     = def(403, "key-withdrawn", Info, "key withdrawn", "None.")
	KeyRefused       = def(404, "key-refused", Warn, "key refused", "Many from one place: a key withdrawn while in use, or guessing.")
	TableChanged     = def(405, "table-changed", Info, "table changed", "None.")
	TableConflict    = def(406, "table-conflict", Info, "table change from an old revision refused", "None; the operator was told the current revision.")
	TableUnconfirmed = def(407, "table-unconfirmed", Warn, "a process has not confirmed the table's revision", "Check the process named; it refuses what it can't prove fresh.")
	TableConfirmed   = def(408, "table-confirmed", Debug, "a process confirmed the table's revision", "None.")
	LimitLowered     = def(409, "limit-lowered", Info, "a team is above its lowered limit", "None. What is above is stopped by rule; new work waits.")
	LimitMet         = def(410, "limit-met", Info, "a team is within its limit again", "None.")
	IDReused         = def(411, "id-reused", Warn, "an id was used again for other content", "Tell the team: its client makes ids that are not unique.")
)

// Backend servers.
var (
	ServerAnnounced   = def(500, "server-announced", Info, "backend server announced", "None.")
	ServerSuspect     = def(501, "server-suspect", Warn, "backend server not heard from; it gets no new work", "None at first. Many at once: look at a rack, a switch or the entries.")
	ServerGone        = def(502, "server-gone", Warn, "backend server's lease is over; its work is placed again", "Check the server. Work that may not be repeated ends as unknown.")
	ServerBack        = def(503, "server-back", Info, "backend server heard from again", "None.")
	ServerDraining    = def(504, "server-draining", Info, "backend server drains", "None.")
	ServerDrained     = def(505, "server-drained", Info, "backend server is empty", "It may be stopped now.")
	ServerLeft        = def(506, "server-left", Info, "backend server left", "None.")
	ServerQuarantined = def(507, "server-quarantined", Warn, "backend server fails what others run; quarantined", "Check the server; it is tested with a little work and returns by itself.")
	ServerRestored    = def(508, "server-restored", Info, "backend server out of quarantine", "None.")
	QuarantineCapped  = def(509, "quarantine-capped", Error, "too many backend servers fail; no more are quarantined", "Look for a bad job or a common cause, such as a lost store.")
	EnrolmentRefused  = def(510, "enrolment-refused", Warn, "backend server refused: wrong enrolment secret", "Compare its secret with the setting enrolment.")
	ServerReplaced    = def(511, "server-replaced", Info, "newer incarnation replaced a session", "None. Often: two servers use one name.")
	ServerOversized   = def(512, "server-oversized", Warn, "backend server uses more than was declared", "None. The tasks are throttled or stopped by rule.")
	NoServers         = def(513, "no-servers", Error, "no backend server is ready", "Check the backend servers, the addresses they dial and the enrolment secret.")
)

// Work.
var (
	AttemptLost     = def(600, "attempt-lost", Warn, "an attempt was lost with its backend server", "None. Repeatable work runs again.")
	OutcomeUnknown  = def(601, "outcome-unknown", Warn, "the outcome of work that may not be repeated is unknown", "Tell the team; only it can find out what happened.")
	JobParked       = def(602, "job-parked", Warn, "a job failed on several healthy servers and was given up", "Tell the team.")
	JobNeverFits    = def(603, "job-never-fits", Info, "a job refused: it can never run here", "None; the caller was told.")
	Preempted       = def(604, "preempted", Info, "work stopped to make room", "None. Very often: raise the owner's share or add servers.")
	Overload        = def(605, "overload", Warn, "overload: requests are refused as not run", "Find the team that sends most; lower its queue or add entries.")
	OverloadOver    = def(606, "overload-over", Info, "no overload any more", "None.")
	DigestMismatch  = def(607, "digest-mismatch", Error, "an answer doesn't match its checksum; it is not handed on", "Check the backend server named: its memory, disk or network.")
	CancelWave      = def(608, "cancel-wave", Info, "many cancellations at once", "None.")
	AttemptTwice    = def(609, "attempt-twice", Error, "an attempt was reported by two backend servers", "Keep logs and dumps and report the fault.")
	ReservationMade = def(610, "reservation-made", Debug, "room reserved for a gang", "None.")
	PromiseBroken   = def(611, "promise-broken", Error, "a check of the cell's own promises failed", "Keep logs and dumps of all processes and report the fault.")
)

// Connections.
var (
	ConnectionSilent = def(700, "connection-silent", Warn, "connection went silent; closed and dialled anew", "None. Often: something between the ends forgets connections, or time.call is too short.")
	LeaderDialled    = def(701, "leader-dialled", Debug, "connected to the leader", "None.")
	LeaderAway       = def(702, "leader-away", Warn, "leader can't be reached from this entry", "Check the network between the entry and the control instances.")
	TLSLoaded        = def(703, "tls-loaded", Info, "TLS files loaded", "None.")
	TLSReloaded      = def(704, "tls-reloaded", Info, "changed TLS files in force for new connections", "None.")
	TLSBad           = def(705, "tls-bad", Error, "changed TLS files can't be used; the old ones stay in force", "Mend the files before the old certificate ends.")
	TLSExpiring      = def(706, "tls-expiring", Warn, "certificate ends soon", "Replace the certificate; no restart is needed.")
	TLSRefused       = def(707, "tls-refused", Warn, "connection refused: no valid certificate", "Check the certificate of whoever connects.")
	PlainInUse       = def(708, "plain-in-use", Warn, "a side runs without TLS, as its settings say", "Give certificates under tls unless this is a trial.")
	RequestMalformed = def(709, "request-malformed", Debug, "malformed request refused", "None.")
	Unready          = def(710, "unready", Warn, "not ready: the balancer should turn elsewhere", "See the reason in the event.")
	Ready            = def(711, "ready", Info, "ready", "None.")
	ClockJumped      = def(712, "clock-jumped", Warn, "the process stood still for a while", "Look for an overloaded or paused instance.")
)

// Flows.
var (
	DispatchBegun   = def(800, "dispatch-begun", Info, "this replica runs the flows from here on", "None.")
	FlowAccepted    = def(801, "flow-accepted", Info, "flow accepted", "None.")
	FlowRefused     = def(802, "flow-refused", Warn, "flow refused as not run", "See the code; many at once: the cell is full.")
	FlowCancelled   = def(803, "flow-cancelled", Info, "flow cancelled by its caller", "None.")
	TurnBegun       = def(804, "turn-begun", Info, "turn of a flow begun", "None. Much too late: see who led at its time.")
	RunsPlaced      = def(805, "runs-placed", Info, "runs of a step ordered to start", "None.")
	RunEnded        = def(806, "run-ended", Info, "run ended", "None. Failed on one server only: look at that server.")
	StartRefused    = def(807, "start-refused", Warn, "a start was refused or not answered", "None. Many at one server: look at it.")
	RunStray        = def(808, "run-stray", Warn, "a server runs what was given up; it is stopped", "None. Often: the network carries orders late.")
	AdviceTaken     = def(809, "advice-taken", Info, "the adviser told who may run a step", "None.")
	AdviceFailed    = def(810, "advice-failed", Warn, "a question to the adviser failed; it is asked again", "Often: look at the adviser and the way to it.")
	DocumentTaken   = def(811, "document-taken", Info, "configuration document taken", "None.")
	DocumentRefused = def(812, "document-refused", Warn, "unsound configuration document refused", "Mend what the error names and send it again.")
	DecisionRefused = def(813, "decision-refused", Error, "the ledger refused a decision; nothing was changed", "None at first. Often: keep the logs and report the fault.")
	MemberChange    = def(814, "member-change", Info, "change of the control group begun", "None.")
	CallUnanswered  = def(815, "call-unanswered", Warn, "a caller's request got no answer from the leader in time", "See the events of the control group at that time.")
	RunMoved        = def(817, "run-moved", Info, "a run stands still or crawls; it is stopped and placed elsewhere", "Many at one server: look at that server.")
	CallAnswered    = def(818, "call-answered", Info, "a caller's request answered", "None.")
	RunPaced        = def(819, "run-paced", Debug, "a run that fills a server is told its pace", "None.")
	WaveTaken       = def(820, "wave-taken", Info, "wave of upkeep taken", "None.")
	MachineOrdered  = def(821, "machine-ordered", Info, "machine ordered down for its upkeep", "None. Again and again: look at the platform's word about the machine.")
	MachineUpkept   = def(822, "machine-upkept", Info, "machine had its upkeep", "None.")
	GangDisbanded   = def(823, "gang-disbanded", Info, "a member of a gang does not start; the others are stopped", "None at first. Often: look at the server of the run that is named.")
	ServerRelayed   = def(824, "server-relayed", Info, "a backend server is called another way", "Many at once: something is cut between the leader and the servers.")
	TimeDiffers     = def(825, "time-differs", Warn, "this machine's time of day is off from that of most processes", "Check the machine's clock; the ledger's time does not follow it.")
	ZoneMarked      = def(826, "zone-marked", Info, "availability zone drained or taken back", "None. `drain` tells which; `gypsumreel zone list` shows what still runs there.")
	ZoneRefused     = def(827, "zone-refused", Warn, "order about an unknown availability zone refused", "Compare the name with `gypsumreel zone list`.")
	LinesLost       = def(816, "lines-lost", Warn, "log lines were left out: the reader is too slow", "Read the logs faster, or log less.")
)

// planned are the events that nothing raises yet. Whoever raises one takes it
// out of this list.
var planned = []ID{
	JournalTorn, QuarantineCapped, ReservationMade,
}
