package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/edge/control"
	"gypsumreel/internal/fake/server"
)

// measureVariable turns the measurements on; docs/measures/edge.md has the commands.
const measureVariable = "GYPSUMREEL_MEASURE"

// counter counts the bytes of connections, without their headers below TCP.
type counter struct{ in, out atomic.Int64 }

type countedConn struct {
	net.Conn
	to *counter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.to.in.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.to.out.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	to *counter
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{c, l.to}, nil
}

func (c *counter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, c}, nil
}

// bytes returns all that went either way.
func (c *counter) bytes() int64 { return c.in.Load() + c.out.Load() }

// processorTime returns what a process has used, in clock ticks of 10 ms.
func processorTime(t *testing.T, pid int) time.Duration {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		t.Fatal(err)
	}
	f := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// quick is a leader that accepts every job at once and holds syncs for their patience.
type quick struct{ replica }

func (q *quick) Push(ctx context.Context, req *inner.PushRequest) (*inner.PushReply, error) {
	var held []*inner.Item
	q.cell.mu.Lock()
	s := q.session(req.GetSession())
	for _, item := range req.GetItems() {
		submit := item.GetSubmit()
		if submit == nil {
			held = append(held, item)
			continue
		}
		r := &v1.SubmitReply{}
		for _, j := range submit.GetJobs() {
			r.Jobs = append(r.Jobs, &v1.Accepted{Id: j.GetId(), Status: &v1.Status{}, Outcome: v1.Outcome_OUTCOME_QUEUED})
		}
		s.replies = append(s.replies, &inner.Reply{Seq: item.GetSeq(), Answer: &inner.Reply_Submit{Submit: r}})
	}
	close(s.news)
	s.news = make(chan struct{})
	q.cell.mu.Unlock()
	if len(held) == 0 && len(req.GetItems()) > 0 {
		return &inner.PushReply{}, nil
	}
	return q.replica.Push(ctx, &inner.PushRequest{Cell: req.GetCell(), Entry: req.GetEntry(), Session: req.GetSession(), Items: held})
}

type measure struct {
	cell   *cell
	leader string
	inside *counter
	child  *entryProcess
	token  string
}

func newMeasure(t *testing.T) *measure {
	if os.Getenv(measureVariable) == "" {
		t.Skip("set " + measureVariable + " to measure")
	}
	m := &measure{cell: newCell(), inside: &counter{}}
	m.cell.lease, m.cell.leader = 6*time.Second, "c1"
	m.token = m.cell.grant("team-key", "quarry", false)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	q := &quick{replica{cell: m.cell, name: "c1", sessions: map[uint64]*session{}}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			m.cell.mu.Lock()
			q.settle()
			m.cell.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
		}
	}()
	go func() { _ = http.Serve(&countedListener{l, m.inside}, inner.NewControlServer(q)) }()
	m.leader = l.Addr().String()
	m.child = startProcess(t, m.leader, "GOMAXPROCS=2") // entry instances are small
	return m
}

// load makes calls at a steady rate and returns how long each took in µs.
func load(rate int, d time.Duration, call func(id string) error) (*hdrhistogram.Histogram, int) {
	h := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	failed := 0
	began := time.Now()
	n := int(float64(rate) * d.Seconds())
	for i := range n {
		due := began.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		wg.Go(func() {
			// Counted from when the call was due, so that waiting in line counts too.
			err := call(fmt.Sprintf("job-%d", i))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
			}
			_ = h.RecordValue(max(1, time.Since(due).Microseconds()))
		})
	}
	wg.Wait()
	return h, failed
}

const measured = 10 * time.Second

// Submissions of one job with 200 bytes of input, through the entry's process
// and, for comparison, from this process's own pool to the same leader.
func TestMeasureRequests(t *testing.T) {
	m := newMeasure(t)
	outside := &counter{}
	web := &http.Client{Transport: &http.Transport{DialContext: outside.dial, MaxIdleConnsPerHost: 256}}
	client := v1.NewCallerClient(web, "http://"+m.child.Callers)
	input := make([]byte, 200)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	pool := &control.Client{Cell: "test", Name: "direct", Log: logr.Discard(), Replicas: []control.Replica{{Name: "c1", Address: m.leader}}}
	go func() { _ = pool.Run(ctx) }()
	time.Sleep(time.Second)
	for _, rate := range []int{200, 1400, 3000} {
		direct, lost := load(rate, measured, func(id string) error {
			_, err := pool.Send(ctx, &inner.Item{Ask: &inner.Item_Submit{Submit: &v1.SubmitRequest{Jobs: []*v1.Spec{spec(id, false, input)}}}})
			return err
		})
		used, in, out := processorTime(t, m.child.cmd.Process.Pid), m.inside.bytes(), outside.bytes()
		through, failed := load(rate, measured, func(id string) error {
			reply, err := client.Submit(ctx, with(m.token, &v1.SubmitRequest{Jobs: []*v1.Spec{spec(id, false, input)}}))
			if err == nil && reply.Msg.GetJobs()[0].GetStatus().GetCode() != 0 {
				err = context.DeadlineExceeded
			}
			return err
		})
		n := through.TotalCount()
		t.Logf("%d/s: entry %v a request, %d B outside and %d B inside a request; p50/p99 through the entry %.2f/%.2f ms, from a pool directly %.2f/%.2f ms; failed %d and %d",
			rate, (processorTime(t, m.child.cmd.Process.Pid)-used)/time.Duration(n), (outside.bytes()-out)/n, (m.inside.bytes()-in)/n,
			ms(through, 50), ms(through, 99), ms(direct, 50), ms(direct, 99), failed, lost)
	}
}

func ms(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// Backend servers without work: what each costs the entry.
func TestMeasureIdleServers(t *testing.T) {
	m := newMeasure(t)
	for _, n := range []int{0, 50, 200} {
		outside := &counter{}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for i := range n {
			s := &server.Server{Name: fmt.Sprintf("s%d-%d", n, i), Secret: enrolment, Entries: []server.Entry{server.NewEntry(m.child.Backends, nil, outside.dial)}}
			wg.Go(func() { _ = s.Run(ctx) })
		}
		time.Sleep(3 * time.Second)
		used, in, out := processorTime(t, m.child.cmd.Process.Pid), m.inside.bytes(), outside.bytes()
		time.Sleep(measured)
		seconds := int64(measured / time.Second)
		each := int64(max(n, 1))
		t.Logf("%d servers: entry %.2f%% of a core; for each server %d B/s outside and %d B/s inside (all of it: %d B/s inside)", n,
			100*float64(processorTime(t, m.child.cmd.Process.Pid)-used)/float64(measured),
			(outside.bytes()-out)/seconds/each, (m.inside.bytes()-in)/seconds/each, (m.inside.bytes()-in)/seconds)
		cancel()
		wg.Wait()
	}
}
