package chart

// The embedded charts. FlowTask is the chart of a flow's task.
const (
	Task     Name = "task"
	Attempt  Name = "attempt"
	Lease    Name = "lease"
	Backend  Name = "backend"
	Member   Name = "member"
	Flow     Name = "flow"
	FlowTask Name = "piece"
)

// The states of a job's task. WaitingForGang and Done are also states of a flow's task.
const (
	Queued         State = "queued"
	Placed         State = "placed"
	Stopping       State = "stopping"
	WaitingForGang State = "resting"
	Done           State = "done"
	NotRun         State = "notrun"
	Unknown        State = "unknown"
)

// The states of an attempt, in addition to Placed and Stopping. NeverStarted and Lost
// are final.
const (
	Running      State = "running"
	StartOrdered State = "ordered"
	Ended        State = "ended"
	NeverStarted State = "never"
	Lost         State = "lost"
)

// The states of a flow, in addition to Queued, Running and Done.
const (
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// The states of a lease. MissedRenewal is an unexpired lease without recent renewal.
const (
	Held          State = "held"
	MissedRenewal State = "doubtful"
	Expired       State = "expired"
	Released      State = "released"
)

// The states of a backend server's session.
const (
	Ready       State = "ready"
	Draining    State = "draining"
	Suspect     State = "suspect"
	Quarantined State = "quarantined"
	Gone        State = "gone"
)

// The states of a member of the control group. Synced is a learner that has caught up.
const (
	Learner State = "learner"
	Synced  State = "synced"
	Voter   State = "voter"
	Removed State = "removed"
)

// The events of tasks and attempts. EndUnknown ends a task whose outcome is unknown.
// GiveUpStarted and GiveUpUnstarted end a task whose job was given up, the first if an
// attempt has started, the second if none has. Decline reports that the server refused the start order.
const (
	Place           Event = "place"
	GiveUpUnstarted Event = "refuse"
	Start           Event = "start"
	Decline         Event = "decline"
	Stop            Event = "stop"
	Finish          Event = "finish"
	Requeue         Event = "requeue"
	WaitForGang     Event = "rest"
	EndUnknown      Event = "forfeit"
	Retry           Event = "retry"
	GiveUpStarted   Event = "quit"
	OrderStart      Event = "order"
	Withdraw        Event = "withdraw"
	End             Event = "end"
)

// The events of leases, backend servers and members. Expire is also an event of attempts.
const (
	Renew           Event = "renew"
	MissHeartbeat   Event = "miss"
	Expire          Event = "expire"
	Release         Event = "release"
	Drain           Event = "drain"
	ResumeHeartbeat Event = "hear"
	Quarantine      Event = "quarantine"
	EndQuarantine   Event = "acquit"
	CatchUp         Event = "sync"
	FallBehind      Event = "lag"
	Promote         Event = "promote"
	Remove          Event = "remove"
)

// The events of flows, in addition to Start and Finish.
const (
	Fail   Event = "fail"
	Cancel Event = "cancel"
)
