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

// cell is the committed state that all fake replicas share: a small stand-in
// for the ledger, with jobs of one task each.
type cell struct {
	lease  time.Duration
	margin time.Duration
	// step is told of each step that the leader takes, before it counts.
	step func(string)

	mu       sync.Mutex
	leader   string
	keys     map[string]key.Key
	revision uint64
	changes  map[string]*v1.ChangeReply
	jobs     map[string]*job
	numbers  map[uint64]*job
	order    []*job
	servers  map[string]*backendServer
	// accepted holds when the last job came in by key, withdrawn when a key ended.
	accepted  map[string]time.Time
	withdrawn map[string]time.Time
	drained   map[string]time.Time
	placed    map[string]time.Time
}

type job struct {
	number  uint64
	team    string
	spec    *v1.Spec
	outcome v1.Outcome
	code    code.Code
	attempt uint32
	// server is where the attempt is; empty while none is.
	server    string
	cancelled bool
	// ordered is the number of the sync whose answer last carried the order to start.
	ordered uint64
	parts   answer.Assembler
	whole   []byte
}

type backendServer struct {
	name        string
	nonce       uint64
	incarnation uint64
	slots       int64
	expires     time.Time
	// number is that of the newest sync.
	number   uint64
	draining bool
	gone     bool
}

func newCell() *cell {
	return &cell{
		lease: 3 * time.Second, margin: 100 * time.Millisecond, step: func(string) {},
		keys: map[string]key.Key{}, changes: map[string]*v1.ChangeReply{}, jobs: map[string]*job{}, numbers: map[uint64]*job{},
		servers: map[string]*backendServer{}, accepted: map[string]time.Time{}, withdrawn: map[string]time.Time{},
		drained: map[string]time.Time{}, placed: map[string]time.Time{},
	}
}

// grant adds a key and returns the text that is presented.
func (c *cell) grant(id, team string, operator bool) string {
	secret := "secret-" + id
	c.keys[id] = key.Key{ID: id, Team: team, Operator: operator, Digest: key.Digest(secret)}
	return id + "." + secret
}

func (c *cell) check(cred *inner.Credential, operator bool) *v1.Status {
	k, ok := c.keys[cred.GetId()]
	if !ok || k.Withdrawn || !k.Matches(cred.GetDigest()) {
		return &v1.Status{Code: uint32(code.InvalidKey)}
	}
	if k.Operator != operator {
		return &v1.Status{Code: uint32(code.Forbidden)}
	}
	return nil
}

// answer returns the reply to an item, or nil while the leader holds it.
func (c *cell) answer(item *inner.Item, patienceOver bool) *inner.Reply {
	refuse := func(s *v1.Status) *inner.Reply { return &inner.Reply{Status: s} }
	cred := item.GetCredential()
	switch ask := item.GetAsk().(type) {
	case *inner.Item_Submit:
		c.step("submit")
		if s := c.check(cred, false); s != nil {
			return refuse(s)
		}
		return &inner.Reply{Answer: &inner.Reply_Submit{Submit: c.submit(cred.GetId(), ask.Submit)}}
	case *inner.Item_Wait:
		if s := c.check(cred, false); s != nil {
			return refuse(s)
		}
		if w := c.wait(c.keys[cred.GetId()].Team, ask.Wait, patienceOver); w != nil {
			return &inner.Reply{Answer: &inner.Reply_Wait{Wait: w}}
		}
		return nil
	case *inner.Item_Cancel:
		c.step("cancel")
		if s := c.check(cred, false); s != nil {
			return refuse(s)
		}
		return &inner.Reply{Answer: &inner.Reply_Cancel{Cancel: c.cancel(c.keys[cred.GetId()].Team, ask.Cancel)}}
	case *inner.Item_List:
		if s := c.check(cred, false); s != nil {
			return refuse(s)
		}
		return &inner.Reply{Answer: &inner.Reply_List{List: &v1.ListReply{Status: &v1.Status{}}}}
	case *inner.Item_Acknowledge:
		return &inner.Reply{Answer: &inner.Reply_Acknowledge{Acknowledge: &v1.AcknowledgeReply{Status: &v1.Status{}}}}
	case *inner.Item_Announce:
		return &inner.Reply{Answer: &inner.Reply_Announce{Announce: c.announce(ask.Announce)}}
	case *inner.Item_Sync:
		if r := c.sync(ask.Sync, patienceOver); r != nil {
			return &inner.Reply{Answer: &inner.Reply_Sync{Sync: r}}
		}
		return nil
	case *inner.Item_Leave:
		c.drain(ask.Leave.GetServer())
		return &inner.Reply{Answer: &inner.Reply_Leave{Leave: &v1.LeaveReply{Status: &v1.Status{}}}}
	case *inner.Item_Change:
		if s := c.check(cred, true); s != nil {
			return refuse(s)
		}
		return &inner.Reply{Answer: &inner.Reply_Change{Change: c.change(ask.Change)}}
	}
	if s := c.check(cred, true); s != nil {
		return refuse(s)
	}
	return &inner.Reply{Answer: &inner.Reply_Show{Show: &v1.ShowReply{Status: &v1.Status{}, Revision: c.revision}}}
}

func (c *cell) submit(keyID string, req *v1.SubmitRequest) *v1.SubmitReply {
	team := c.keys[keyID].Team
	out := &v1.SubmitReply{}
	for _, spec := range req.GetJobs() {
		j, ok := c.jobs[team+"/"+spec.GetId()]
		if ok && !proto.Equal(j.spec, spec) {
			out.Jobs = append(out.Jobs, &v1.Accepted{Id: spec.GetId(), Status: &v1.Status{Code: uint32(code.IDReused)}})
			continue
		}
		if !ok {
			j = &job{number: uint64(len(c.order) + 1), team: team, spec: spec, outcome: v1.Outcome_OUTCOME_QUEUED}
			c.jobs[team+"/"+spec.GetId()] = j
			c.numbers[j.number] = j
			c.order = append(c.order, j)
			c.accepted[keyID] = time.Now()
		}
		out.Jobs = append(out.Jobs, &v1.Accepted{Id: spec.GetId(), Status: j.status(), Outcome: j.outcome})
	}
	return out
}

func (j *job) status() *v1.Status { return &v1.Status{Code: uint32(j.code)} }

func (j *job) final() bool { return j.outcome >= v1.Outcome_OUTCOME_DONE }

func (c *cell) wait(team string, req *v1.WaitRequest, over bool) *v1.WaitReply {
	j, ok := c.jobs[team+"/"+req.GetId()]
	if !ok {
		return &v1.WaitReply{Id: req.GetId(), Status: &v1.Status{Code: uint32(code.NotFound)}}
	}
	if !j.final() && !over {
		return nil
	}
	reply := &v1.WaitReply{Id: req.GetId(), Outcome: j.outcome, Status: j.status()}
	if j.outcome == v1.Outcome_OUTCOME_DONE {
		c.step("answer")
		reply.Chunk = answer.ChunkAt(j.whole, req.GetChunk())
	}
	return reply
}

func (c *cell) cancel(team string, req *v1.CancelRequest) *v1.CancelReply {
	for _, id := range req.GetIds() {
		if j, ok := c.jobs[team+"/"+id]; ok && !j.final() {
			j.cancelled = true
			if j.server == "" {
				j.outcome, j.code = v1.Outcome_OUTCOME_NOT_RUN, code.Cancelled
			}
		}
	}
	return &v1.CancelReply{Status: &v1.Status{}, Count: uint32(len(req.GetIds()))}
}

func (c *cell) announce(req *v1.AnnounceRequest) *v1.AnnounceReply {
	s, ok := c.servers[req.GetServer()]
	if !ok || s.nonce != req.GetNonce() {
		n := uint64(1)
		if ok {
			// The fake server stops everything before it announces anew.
			n = s.incarnation + 1
			c.lose(s)
		}
		s = &backendServer{name: req.GetServer(), nonce: req.GetNonce(), incarnation: n, slots: req.GetCapacity().GetSlots()}
		c.servers[s.name] = s
	}
	s.expires = time.Now().Add(c.lease + c.margin)
	return &v1.AnnounceReply{Status: &v1.Status{}, Incarnation: s.incarnation, Lease: uint64(c.lease.Milliseconds())}
}

// lose settles what a server had when it is proved to run nothing any more.
func (c *cell) lose(s *backendServer) {
	s.gone = true
	for _, j := range c.order {
		if j.server == s.name && !j.final() {
			c.interrupted(j)
		}
	}
}

func (c *cell) interrupted(j *job) {
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

func (c *cell) sync(req *v1.SyncRequest, over bool) *v1.SyncReply {
	s, ok := c.servers[req.GetServer()]
	if !ok || s.incarnation != req.GetIncarnation() || s.gone {
		return &v1.SyncReply{Number: req.GetNumber(), Status: &v1.Status{Code: uint32(code.SessionReplaced)}}
	}
	if req.GetNumber() < s.number {
		// A late copy: what it shows is past, and its answer would be dropped.
		return &v1.SyncReply{Status: &v1.Status{}, Number: req.GetNumber()}
	}
	s.number = req.GetNumber()
	orders := c.orders(s, req)
	if len(orders) == 0 && !over {
		return nil
	}
	for _, o := range orders {
		if o.GetVerb() == v1.Verb_VERB_START {
			c.step("order")
		}
	}
	return &v1.SyncReply{Status: &v1.Status{}, Number: req.GetNumber(), Orders: orders, Lease: uint64(c.lease.Milliseconds())}
}

// orders takes the reports in and returns what the server is to do.
func (c *cell) orders(s *backendServer, req *v1.SyncRequest) []*v1.Order {
	var out []*v1.Order
	held := map[uint64]bool{}
	for _, r := range req.GetReports() {
		j := c.numbers[r.GetAttempt().GetJob()]
		mine := j.server == s.name && j.attempt == r.GetAttempt().GetNumber() && !j.final()
		if mine {
			held[j.number] = true
			c.report(j, r)
		}
		switch {
		case r.GetPhase() == v1.Phase_PHASE_RUNNING && (!mine || j.cancelled):
			out = append(out, &v1.Order{Verb: v1.Verb_VERB_STOP, Attempt: r.GetAttempt()})
		case r.GetPhase() > v1.Phase_PHASE_RUNNING && (j.final() || j.server != s.name || j.attempt != r.GetAttempt().GetNumber()):
			out = append(out, &v1.Order{Verb: v1.Verb_VERB_FORGET, Attempt: r.GetAttempt()})
		}
	}
	for _, j := range c.order {
		if j.server != s.name || held[j.number] || j.final() {
			continue
		}
		// A sync later than the order does not show the attempt, so the order was
		// lost and will be dropped if it comes: a leaving server is not sent it again.
		if s.draining && req.GetNumber() > j.ordered {
			j.server, j.outcome = "", v1.Outcome_OUTCOME_QUEUED
			if j.cancelled {
				j.outcome, j.code = v1.Outcome_OUTCOME_NOT_RUN, code.Cancelled
			}
			continue
		}
		j.ordered = req.GetNumber()
		out = append(out, &v1.Order{
			Verb: v1.Verb_VERB_START, Attempt: &v1.Attempt{Job: j.number, Number: j.attempt},
			Size: j.spec.GetSize(), Input: j.spec.GetInput(), Name: j.spec.GetName(),
		})
	}
	return out
}

func (c *cell) report(j *job, r *v1.Report) {
	switch r.GetPhase() {
	case v1.Phase_PHASE_ENDED:
		c.step("report")
		for _, chunk := range r.GetChunks() {
			_ = j.parts.Add(chunk)
		}
		if whole, ok, _ := j.parts.Assemble(); ok {
			j.whole, j.outcome = whole, v1.Outcome_OUTCOME_DONE
		}
	case v1.Phase_PHASE_STOPPED:
		c.interrupted(j)
	}
}

func (c *cell) drain(name string) {
	if s, ok := c.servers[name]; ok && !s.draining {
		s.draining = true
		c.drained[name] = time.Now()
	}
}

func (c *cell) change(req *v1.ChangeRequest) *v1.ChangeReply {
	if old, ok := c.changes[req.GetId()]; ok {
		return old
	}
	reply := &v1.ChangeReply{Status: &v1.Status{}}
	switch ch := req.GetChange().(type) {
	case *v1.ChangeRequest_Table:
		c.step("table")
		if ch.Table.GetBase() != c.revision {
			reply.Status = &v1.Status{Code: uint32(code.RevisionConflict)}
		} else {
			c.revision++
		}
	case *v1.ChangeRequest_Withdraw:
		c.step("key")
		c.keys[ch.Withdraw.GetId()] = c.keys[ch.Withdraw.GetId()].WithWithdrawn()
		c.withdrawn[ch.Withdraw.GetId()] = time.Now()
	case *v1.ChangeRequest_Mark:
		c.step("drain")
		// A server that never announced can't be drained, as in the ledger;
		// the answer is not kept, since the operator tries again.
		if _, ok := c.servers[ch.Mark.GetServer()]; !ok {
			return &v1.ChangeReply{Status: &v1.Status{Code: uint32(code.NotFound)}}
		}
		c.drain(ch.Mark.GetServer())
	}
	reply.Revision = c.revision
	c.changes[req.GetId()] = reply
	return reply
}

// tick ends leases that ran out and places what waits.
func (c *cell) tick() {
	now := time.Now()
	for _, name := range slices.Sorted(maps.Keys(c.servers)) {
		s := c.servers[name]
		if !s.gone && now.After(s.expires) {
			c.lose(s)
		}
	}
	for _, j := range c.order {
		if j.server == "" && !j.final() && !j.cancelled {
			c.place(j)
		}
	}
}

func (c *cell) place(j *job) {
	for _, name := range slices.Sorted(maps.Keys(c.servers)) {
		s := c.servers[name]
		if s.gone || s.draining || c.held(name) >= s.slots {
			continue
		}
		j.server, j.outcome = name, v1.Outcome_OUTCOME_RUNNING
		j.attempt++
		j.ordered = 0
		j.parts = answer.Assembler{}
		c.placed[name] = time.Now()
		return
	}
}

func (c *cell) held(name string) int64 {
	n := int64(0)
	for _, j := range c.order {
		if j.server == name && !j.final() {
			n++
		}
	}
	return n
}

// wrong tells whether a done job's answer differs from what its input asks for.
func (j *job) wrong(want []byte) bool { return !bytes.Equal(j.whole, want) }
