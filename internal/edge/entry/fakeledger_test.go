package entry_test

import (
	"bytes"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/answer"
	"gypsumreel/internal/domain/key"
)

// fakeLedger is the committed state that all fake replicas share. It replaces the
// ledger in tests and supports only jobs with one task.
type fakeLedger struct {
	leaseLength time.Duration
	leaseMargin time.Duration
	// onStep is called with the name of each step before the leader performs it.
	onStep func(string)

	mu            sync.Mutex
	leader        string
	keys          map[string]key.Key
	tableRevision uint64
	changeReplies map[string]*v1.ChangeReply
	jobsByID      map[string]*fakeJob
	jobsByNumber  map[uint64]*fakeJob
	acceptedJobs  []*fakeJob
	servers       map[string]*fakeServer
	// lastAcceptedAt is the time of the last accepted job by key id.
	lastAcceptedAt map[string]time.Time
	// withdrawnAt is the time at which a key was withdrawn, by key id.
	withdrawnAt map[string]time.Time
	// drainedAt is the time at which the drain of a backend server began, by server name.
	drainedAt map[string]time.Time
	// lastPlacedAt is the time of the last placement by server name.
	lastPlacedAt map[string]time.Time
}

type fakeJob struct {
	number        uint64
	team          string
	spec          *v1.Spec
	outcome       v1.Outcome
	code          code.Code
	attemptNumber uint32
	// server is the backend server of the current attempt, empty if there is none.
	server    string
	cancelled bool
	// startSentInSync is the number of the last sync whose reply contained the start order.
	startSentInSync uint64
	answerParts     answer.Assembler
	wholeAnswer     []byte
}

type fakeServer struct {
	name           string
	nonce          uint64
	incarnation    uint64
	slots          int64
	leaseExpiresAt time.Time
	// lastSyncNumber is the highest number of a sync received from the server.
	lastSyncNumber uint64
	draining       bool
	lost           bool
}

func newFakeLedger() *fakeLedger {
	return &fakeLedger{
		leaseLength: 3 * time.Second, leaseMargin: 100 * time.Millisecond, onStep: func(string) {},
		keys: map[string]key.Key{}, changeReplies: map[string]*v1.ChangeReply{}, jobsByID: map[string]*fakeJob{}, jobsByNumber: map[uint64]*fakeJob{},
		servers: map[string]*fakeServer{}, lastAcceptedAt: map[string]time.Time{}, withdrawnAt: map[string]time.Time{},
		drainedAt: map[string]time.Time{}, lastPlacedAt: map[string]time.Time{},
	}
}

// grantKey adds a key and returns the bearer token for it.
func (l *fakeLedger) grantKey(id, team string, operator bool) string {
	secret := "secret-" + id
	l.keys[id] = key.Key{ID: id, Team: team, Operator: operator, Digest: key.Digest(secret)}
	return id + "." + secret
}

// checkKey returns the status of a refusal, or nil if the key is valid for the service.
func (l *fakeLedger) checkKey(credential *inner.Credential, operator bool) *v1.Status {
	k, ok := l.keys[credential.GetId()]
	if !ok || k.Withdrawn || !k.Matches(credential.GetDigest()) {
		return &v1.Status{Code: uint32(code.InvalidKey)}
	}
	if k.Operator != operator {
		return &v1.Status{Code: uint32(code.Forbidden)}
	}
	return nil
}

// replyTo returns the reply to an item, or nil while its long poll has to wait.
func (l *fakeLedger) replyTo(item *inner.Item, waitExpired bool) *inner.Reply {
	refuse := func(s *v1.Status) *inner.Reply { return &inner.Reply{Status: s} }
	credential := item.GetCredential()
	switch request := item.GetAsk().(type) {
	case *inner.Item_Submit:
		l.onStep("submit")
		if s := l.checkKey(credential, false); s != nil {
			return refuse(s)
		}
		return &inner.Reply{Answer: &inner.Reply_Submit{Submit: l.submit(credential.GetId(), request.Submit)}}
	case *inner.Item_Wait:
		if s := l.checkKey(credential, false); s != nil {
			return refuse(s)
		}
		if w := l.wait(l.keys[credential.GetId()].Team, request.Wait, waitExpired); w != nil {
			return &inner.Reply{Answer: &inner.Reply_Wait{Wait: w}}
		}
		return nil
	case *inner.Item_Cancel:
		l.onStep("cancel")
		if s := l.checkKey(credential, false); s != nil {
			return refuse(s)
		}
		return &inner.Reply{Answer: &inner.Reply_Cancel{Cancel: l.cancel(l.keys[credential.GetId()].Team, request.Cancel)}}
	case *inner.Item_List:
		if s := l.checkKey(credential, false); s != nil {
			return refuse(s)
		}
		return &inner.Reply{Answer: &inner.Reply_List{List: &v1.ListReply{Status: &v1.Status{}}}}
	case *inner.Item_Acknowledge:
		return &inner.Reply{Answer: &inner.Reply_Acknowledge{Acknowledge: &v1.AcknowledgeReply{Status: &v1.Status{}}}}
	case *inner.Item_Announce:
		return &inner.Reply{Answer: &inner.Reply_Announce{Announce: l.announce(request.Announce)}}
	case *inner.Item_Sync:
		if r := l.sync(request.Sync, waitExpired); r != nil {
			return &inner.Reply{Answer: &inner.Reply_Sync{Sync: r}}
		}
		return nil
	case *inner.Item_Leave:
		l.drainServer(request.Leave.GetServer())
		return &inner.Reply{Answer: &inner.Reply_Leave{Leave: &v1.LeaveReply{Status: &v1.Status{}}}}
	case *inner.Item_Change:
		if s := l.checkKey(credential, true); s != nil {
			return refuse(s)
		}
		return &inner.Reply{Answer: &inner.Reply_Change{Change: l.change(request.Change)}}
	}
	if s := l.checkKey(credential, true); s != nil {
		return refuse(s)
	}
	return &inner.Reply{Answer: &inner.Reply_Show{Show: &v1.ShowReply{Status: &v1.Status{}, Revision: l.tableRevision}}}
}

func (l *fakeLedger) submit(keyID string, req *v1.SubmitRequest) *v1.SubmitReply {
	team := l.keys[keyID].Team
	reply := &v1.SubmitReply{}
	for _, spec := range req.GetJobs() {
		j, ok := l.jobsByID[team+"/"+spec.GetId()]
		if ok && !proto.Equal(j.spec, spec) {
			reply.Jobs = append(reply.Jobs, &v1.Accepted{Id: spec.GetId(), Status: &v1.Status{Code: uint32(code.IDReused)}})
			continue
		}
		if !ok {
			j = &fakeJob{number: uint64(len(l.acceptedJobs) + 1), team: team, spec: spec, outcome: v1.Outcome_OUTCOME_QUEUED}
			l.jobsByID[team+"/"+spec.GetId()] = j
			l.jobsByNumber[j.number] = j
			l.acceptedJobs = append(l.acceptedJobs, j)
			l.lastAcceptedAt[keyID] = time.Now()
		}
		reply.Jobs = append(reply.Jobs, &v1.Accepted{Id: spec.GetId(), Status: j.status(), Outcome: j.outcome})
	}
	return reply
}

func (j *fakeJob) status() *v1.Status { return &v1.Status{Code: uint32(j.code)} }

func (j *fakeJob) isFinal() bool { return j.outcome >= v1.Outcome_OUTCOME_DONE }

func (l *fakeLedger) wait(team string, req *v1.WaitRequest, waitExpired bool) *v1.WaitReply {
	j, ok := l.jobsByID[team+"/"+req.GetId()]
	if !ok {
		return &v1.WaitReply{Id: req.GetId(), Status: &v1.Status{Code: uint32(code.NotFound)}}
	}
	if !j.isFinal() && !waitExpired {
		return nil
	}
	reply := &v1.WaitReply{Id: req.GetId(), Outcome: j.outcome, Status: j.status()}
	if j.outcome == v1.Outcome_OUTCOME_DONE {
		l.onStep("answer")
		reply.Chunk = answer.ChunkAt(j.wholeAnswer, req.GetChunk())
	}
	return reply
}

func (l *fakeLedger) cancel(team string, req *v1.CancelRequest) *v1.CancelReply {
	for _, id := range req.GetIds() {
		if j, ok := l.jobsByID[team+"/"+id]; ok && !j.isFinal() {
			j.cancelled = true
			if j.server == "" {
				j.outcome, j.code = v1.Outcome_OUTCOME_NOT_RUN, code.Cancelled
			}
		}
	}
	return &v1.CancelReply{Status: &v1.Status{}, Count: uint32(len(req.GetIds()))}
}

func (l *fakeLedger) announce(req *v1.AnnounceRequest) *v1.AnnounceReply {
	s, ok := l.servers[req.GetServer()]
	if !ok || s.nonce != req.GetNonce() {
		incarnation := uint64(1)
		if ok {
			// The fake backend server stops all tasks before it announces a new session.
			incarnation = s.incarnation + 1
			l.loseServer(s)
		}
		s = &fakeServer{name: req.GetServer(), nonce: req.GetNonce(), incarnation: incarnation, slots: req.GetCapacity().GetSlots()}
		l.servers[s.name] = s
	}
	s.leaseExpiresAt = time.Now().Add(l.leaseLength + l.leaseMargin)
	return &v1.AnnounceReply{Status: &v1.Status{}, Incarnation: s.incarnation, Lease: uint64(l.leaseLength.Milliseconds())}
}

// loseServer marks a backend server as lost and ends its attempts. The caller must
// be sure that the server runs no tasks any more.
func (l *fakeLedger) loseServer(s *fakeServer) {
	s.lost = true
	for _, j := range l.acceptedJobs {
		if j.server == s.name && !j.isFinal() {
			l.endInterruptedAttempt(j)
		}
	}
}

// endInterruptedAttempt requeues a job whose attempt stopped without a result, or
// gives it a final outcome if it must not run again.
func (l *fakeLedger) endInterruptedAttempt(j *fakeJob) {
	j.server = ""
	switch {
	case j.spec.GetOnce():
		j.outcome, j.code = v1.Outcome_OUTCOME_UNKNOWN, code.ServerLost
	case j.cancelled:
		j.outcome, j.code = v1.Outcome_OUTCOME_DONE, code.Stopped
	default:
		j.outcome = v1.Outcome_OUTCOME_QUEUED
	}
}

func (l *fakeLedger) sync(req *v1.SyncRequest, waitExpired bool) *v1.SyncReply {
	s, ok := l.servers[req.GetServer()]
	if !ok || s.incarnation != req.GetIncarnation() || s.lost {
		return &v1.SyncReply{Number: req.GetNumber(), Status: &v1.Status{Code: uint32(code.SessionReplaced)}}
	}
	if req.GetNumber() < s.lastSyncNumber {
		// This is a delayed copy of an earlier sync. Its reports are outdated, and the
		// server drops the reply.
		return &v1.SyncReply{Status: &v1.Status{}, Number: req.GetNumber()}
	}
	s.lastSyncNumber = req.GetNumber()
	orders := l.updateOrders(s, req)
	if len(orders) == 0 && !waitExpired {
		return nil
	}
	for _, o := range orders {
		if o.GetVerb() == v1.Verb_VERB_START {
			l.onStep("order")
		}
	}
	return &v1.SyncReply{Status: &v1.Status{}, Number: req.GetNumber(), Orders: orders, Lease: uint64(l.leaseLength.Milliseconds())}
}

// updateOrders applies the reports of a sync and returns the orders for the server.
func (l *fakeLedger) updateOrders(s *fakeServer, req *v1.SyncRequest) []*v1.Order {
	var orders []*v1.Order
	reported := map[uint64]bool{}
	for _, r := range req.GetReports() {
		j := l.jobsByNumber[r.GetAttempt().GetJob()]
		isCurrent := j.server == s.name && j.attemptNumber == r.GetAttempt().GetNumber() && !j.isFinal()
		if isCurrent {
			reported[j.number] = true
			l.applyReport(j, r)
		}
		switch {
		case r.GetPhase() == v1.Phase_PHASE_RUNNING && (!isCurrent || j.cancelled):
			orders = append(orders, &v1.Order{Verb: v1.Verb_VERB_STOP, Attempt: r.GetAttempt()})
		case r.GetPhase() > v1.Phase_PHASE_RUNNING && (j.isFinal() || j.server != s.name || j.attemptNumber != r.GetAttempt().GetNumber()):
			orders = append(orders, &v1.Order{Verb: v1.Verb_VERB_FORGET, Attempt: r.GetAttempt()})
		}
	}
	for _, j := range l.acceptedJobs {
		if j.server != s.name || reported[j.number] || j.isFinal() {
			continue
		}
		// The sync is later than the start order and does not report the attempt, so
		// the order was lost, and the server will drop it if it still arrives. A
		// draining server does not get the order again.
		if s.draining && req.GetNumber() > j.startSentInSync {
			j.server, j.outcome = "", v1.Outcome_OUTCOME_QUEUED
			if j.cancelled {
				j.outcome, j.code = v1.Outcome_OUTCOME_NOT_RUN, code.Cancelled
			}
			continue
		}
		j.startSentInSync = req.GetNumber()
		orders = append(orders, &v1.Order{
			Verb: v1.Verb_VERB_START, Attempt: &v1.Attempt{Job: j.number, Number: j.attemptNumber},
			Size: j.spec.GetSize(), Input: j.spec.GetInput(), Name: j.spec.GetName(),
		})
	}
	return orders
}

func (l *fakeLedger) applyReport(j *fakeJob, r *v1.Report) {
	switch r.GetPhase() {
	case v1.Phase_PHASE_ENDED:
		l.onStep("report")
		for _, chunk := range r.GetChunks() {
			_ = j.answerParts.Add(chunk)
		}
		if data, ok, _ := j.answerParts.Assemble(); ok {
			j.wholeAnswer, j.outcome = data, v1.Outcome_OUTCOME_DONE
		}
	case v1.Phase_PHASE_STOPPED:
		l.endInterruptedAttempt(j)
	}
}

func (l *fakeLedger) drainServer(name string) {
	if s, ok := l.servers[name]; ok && !s.draining {
		s.draining = true
		l.drainedAt[name] = time.Now()
	}
}

func (l *fakeLedger) change(req *v1.ChangeRequest) *v1.ChangeReply {
	if earlierReply, ok := l.changeReplies[req.GetId()]; ok {
		return earlierReply
	}
	reply := &v1.ChangeReply{Status: &v1.Status{}}
	switch change := req.GetChange().(type) {
	case *v1.ChangeRequest_Table:
		l.onStep("table")
		if change.Table.GetBase() != l.tableRevision {
			reply.Status = &v1.Status{Code: uint32(code.RevisionConflict)}
		} else {
			l.tableRevision++
		}
	case *v1.ChangeRequest_Withdraw:
		l.onStep("key")
		l.keys[change.Withdraw.GetId()] = l.keys[change.Withdraw.GetId()].WithWithdrawn()
		l.withdrawnAt[change.Withdraw.GetId()] = time.Now()
	case *v1.ChangeRequest_Mark:
		l.onStep("drain")
		// As in the ledger, a server without a session cannot be drained. The reply is
		// not stored, so that the operator can retry with the same change id.
		if _, ok := l.servers[change.Mark.GetServer()]; !ok {
			return &v1.ChangeReply{Status: &v1.Status{Code: uint32(code.NotFound)}}
		}
		l.drainServer(change.Mark.GetServer())
	}
	reply.Revision = l.tableRevision
	l.changeReplies[req.GetId()] = reply
	return reply
}

// expireLeasesAndPlaceJobs marks servers with expired leases as lost and places queued jobs.
func (l *fakeLedger) expireLeasesAndPlaceJobs() {
	now := time.Now()
	for _, name := range slices.Sorted(maps.Keys(l.servers)) {
		s := l.servers[name]
		if !s.lost && now.After(s.leaseExpiresAt) {
			l.loseServer(s)
		}
	}
	for _, j := range l.acceptedJobs {
		if j.server == "" && !j.isFinal() && !j.cancelled {
			l.placeJob(j)
		}
	}
}

func (l *fakeLedger) placeJob(j *fakeJob) {
	for _, name := range slices.Sorted(maps.Keys(l.servers)) {
		s := l.servers[name]
		if s.lost || s.draining || l.heldSlots(name) >= s.slots {
			continue
		}
		j.server, j.outcome = name, v1.Outcome_OUTCOME_RUNNING
		j.attemptNumber++
		j.startSentInSync = 0
		j.answerParts = answer.Assembler{}
		l.lastPlacedAt[name] = time.Now()
		return
	}
}

func (l *fakeLedger) heldSlots(name string) int64 {
	n := int64(0)
	for _, j := range l.acceptedJobs {
		if j.server == name && !j.isFinal() {
			n++
		}
	}
	return n
}

// hasWrongAnswer reports whether the answer of a finished job differs from the expected one.
func (j *fakeJob) hasWrongAnswer(want []byte) bool { return !bytes.Equal(j.wholeAnswer, want) }
