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

// measureEnv is the environment variable that enables the measurements. The
// commands are in docs/measures/edge.md.
const measureEnv = "GYPSUMREEL_MEASURE"

// byteCounter counts the payload bytes of TCP connections.
type byteCounter struct{ received, sent atomic.Int64 }

type countedConn struct {
	net.Conn
	counter *byteCounter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.sent.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	counter *byteCounter
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{c, l.counter}, nil
}

func (c *byteCounter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, c}, nil
}

// total returns the number of bytes in both directions.
func (c *byteCounter) total() int64 { return c.received.Load() + c.sent.Load() }

// processCPUTime returns the CPU time used by a process, with a resolution of one
// clock tick of 10 ms.
func processCPUTime(t *testing.T, pid int) time.Duration {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// instantLeader is a fake leader that accepts every job immediately and never runs it.
// It holds a sync until its poll wait is over.
type instantLeader struct{ fakeReplica }

func (l *instantLeader) Push(ctx context.Context, req *inner.PushRequest) (*inner.PushReply, error) {
	var forwarded []*inner.Item
	l.ledger.mu.Lock()
	s := l.sessionFor(req.GetSession())
	for _, item := range req.GetItems() {
		submit := item.GetSubmit()
		if submit == nil {
			forwarded = append(forwarded, item)
			continue
		}
		r := &v1.SubmitReply{}
		for _, j := range submit.GetJobs() {
			r.Jobs = append(r.Jobs, &v1.Accepted{Id: j.GetId(), Status: &v1.Status{}, Outcome: v1.Outcome_OUTCOME_QUEUED})
		}
		s.replies = append(s.replies, &inner.Reply{Seq: item.GetSeq(), Answer: &inner.Reply_Submit{Submit: r}})
	}
	close(s.replyAdded)
	s.replyAdded = make(chan struct{})
	l.ledger.mu.Unlock()
	if len(forwarded) == 0 && len(req.GetItems()) > 0 {
		return &inner.PushReply{}, nil
	}
	return l.fakeReplica.Push(ctx, &inner.PushRequest{Cell: req.GetCell(), Entry: req.GetEntry(), Session: req.GetSession(), Items: forwarded})
}

type measurement struct {
	ledger        *fakeLedger
	leaderAddress string
	insideTraffic *byteCounter
	entry         *entryProcess
	callerKey     string
}

func newMeasurement(t *testing.T) *measurement {
	if os.Getenv(measureEnv) == "" {
		t.Skip("set " + measureEnv + " to run the measurements")
	}
	m := &measurement{ledger: newFakeLedger(), insideTraffic: &byteCounter{}}
	m.ledger.leaseLength, m.ledger.leader = 6*time.Second, "c1"
	m.callerKey = m.ledger.grantKey("team-key", "quarry", false)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	leader := &instantLeader{fakeReplica{ledger: m.ledger, name: "c1", sessions: map[uint64]*entrySession{}}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			m.ledger.mu.Lock()
			leader.answerParkedItems()
			m.ledger.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
		}
	}()
	go func() { _ = http.Serve(&countedListener{l, m.insideTraffic}, inner.NewControlServer(leader)) }()
	m.leaderAddress = l.Addr().String()
	m.entry = startEntryProcess(t, m.leaderAddress, "GOMAXPROCS=2") // an entry instance has few cores
	return m
}

// runLoad makes calls at a constant rate and returns their latencies in µs and the
// number of failed calls.
func runLoad(rate int, duration time.Duration, call func(id string) error) (*hdrhistogram.Histogram, int) {
	h := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	failed := 0
	startedAt := time.Now()
	calls := int(float64(rate) * duration.Seconds())
	for i := range calls {
		dueAt := startedAt.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(dueAt))
		wg.Go(func() {
			// The latency counts from the time at which the call was due, so that it
			// includes queueing.
			err := call(fmt.Sprintf("job-%d", i))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
			}
			_ = h.RecordValue(max(1, time.Since(dueAt).Microseconds()))
		})
	}
	wg.Wait()
	return h, failed
}

// measureDuration is the length of one measurement.
const measureDuration = 10 * time.Second

// Measures Submit calls of one job with 200 bytes of input through an entry process
// and, for comparison, through a client of this process that calls the leader directly.
func TestMeasureRequests(t *testing.T) {
	m := newMeasurement(t)
	outsideTraffic := &byteCounter{}
	httpClient := &http.Client{Transport: &http.Transport{DialContext: outsideTraffic.dial, MaxIdleConnsPerHost: 256}}
	client := v1.NewCallerClient(httpClient, "http://"+m.entry.Callers)
	input := make([]byte, 200)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	directClient := &control.Client{Cell: "test", Name: "direct", Log: logr.Discard(), Replicas: []control.Replica{{Name: "c1", Address: m.leaderAddress}}}
	go func() { _ = directClient.Run(ctx) }()
	time.Sleep(time.Second)
	for _, rate := range []int{200, 1400, 3000} {
		direct, directFailed := runLoad(rate, measureDuration, func(id string) error {
			_, err := directClient.Send(ctx, &inner.Item{Ask: &inner.Item_Submit{Submit: &v1.SubmitRequest{Jobs: []*v1.Spec{newSpec(id, false, input)}}}})
			return err
		})
		cpuBefore, insideBefore, outsideBefore := processCPUTime(t, m.entry.cmd.Process.Pid), m.insideTraffic.total(), outsideTraffic.total()
		viaEntry, failed := runLoad(rate, measureDuration, func(id string) error {
			reply, err := client.Submit(ctx, withKey(m.callerKey, &v1.SubmitRequest{Jobs: []*v1.Spec{newSpec(id, false, input)}}))
			if err == nil && reply.Msg.GetJobs()[0].GetStatus().GetCode() != 0 {
				err = context.DeadlineExceeded
			}
			return err
		})
		n := viaEntry.TotalCount()
		t.Logf("%d/s: entry CPU %v per request, %d B outside and %d B inside per request; p50/p99 through the entry %.2f/%.2f ms, directly from a client %.2f/%.2f ms; failed %d and %d",
			rate, (processCPUTime(t, m.entry.cmd.Process.Pid)-cpuBefore)/time.Duration(n), (outsideTraffic.total()-outsideBefore)/n, (m.insideTraffic.total()-insideBefore)/n,
			percentileMs(viaEntry, 50), percentileMs(viaEntry, 99), percentileMs(direct, 50), percentileMs(direct, 99), failed, directFailed)
	}
}

func percentileMs(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// Measures the CPU time and the traffic that idle backend servers cause at an entry.
func TestMeasureIdleServers(t *testing.T) {
	m := newMeasurement(t)
	for _, n := range []int{0, 50, 200} {
		outsideTraffic := &byteCounter{}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for i := range n {
			s := &server.Server{Name: fmt.Sprintf("s%d-%d", n, i), Secret: enrolment, EntryClients: []server.EntryClient{server.NewEntryClient(m.entry.Backends, nil, outsideTraffic.dial)}}
			wg.Go(func() { _ = s.Run(ctx) })
		}
		time.Sleep(3 * time.Second)
		cpuBefore, insideBefore, outsideBefore := processCPUTime(t, m.entry.cmd.Process.Pid), m.insideTraffic.total(), outsideTraffic.total()
		time.Sleep(measureDuration)
		seconds := int64(measureDuration / time.Second)
		divisor := int64(max(n, 1))
		t.Logf("%d servers: entry CPU %.2f%% of a core; per server %d B/s outside and %d B/s inside (%d B/s inside in total)", n,
			100*float64(processCPUTime(t, m.entry.cmd.Process.Pid)-cpuBefore)/float64(measureDuration),
			(outsideTraffic.total()-outsideBefore)/seconds/divisor, (m.insideTraffic.total()-insideBefore)/seconds/divisor, (m.insideTraffic.total()-insideBefore)/seconds)
		cancel()
		wg.Wait()
	}
}
