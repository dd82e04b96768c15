package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/key"
	"gypsumreel/internal/edge/backend"
	"gypsumreel/internal/edge/control"
	"gypsumreel/internal/edge/entry"
)

// childEntryEnv is the environment variable that makes the test binary run as an entry.
// Its value is the address of the leader.
const childEntryEnv = "GYPSUMREEL_TEST_ENTRY"

// childAddresses are the listen addresses that the child process prints at its start.
type childAddresses struct{ Callers, Backends string }

func TestMain(m *testing.M) {
	if leader := os.Getenv(childEntryEnv); leader != "" {
		runChildEntry(leader)
		return
	}
	os.Exit(m.Run())
}

// runChildEntry runs an entry on the loopback interface until SIGTERM.
func runChildEntry(leader string) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	callers, _ := net.Listen("tcp", "127.0.0.1:0")
	backends, _ := net.Listen("tcp", "127.0.0.1:0")
	e := &entry.Entry{
		Cell: "test", Name: "child", CallerListener: callers, BackendListener: backends, Log: logr.Discard(),
		ControlReplicas: []control.Replica{{Name: "c1", Address: leader}}, EnrolmentDigests: []backend.Digest{key.Digest(enrolment)},
		ShutdownDelay: 200 * time.Millisecond, DrainTimeout: 5 * time.Second,
	}
	_ = json.NewEncoder(os.Stdout).Encode(childAddresses{callers.Addr().String(), backends.Addr().String()})
	if e.Run(ctx) != nil {
		os.Exit(1)
	}
}

// entryProcess is an entry that runs in a child process.
type entryProcess struct {
	childAddresses
	cmd *exec.Cmd
}

func startEntryProcess(t testing.TB, leader string, env ...string) *entryProcess {
	t.Helper()
	p := &entryProcess{cmd: exec.Command(os.Args[0])}
	p.cmd.Env = append(append(os.Environ(), childEntryEnv+"="+leader), env...)
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	})
	line, _ := bufio.NewReader(stdout).ReadString('\n')
	if err := json.NewDecoder(strings.NewReader(line)).Decode(&p.childAddresses); err != nil {
		t.Fatal(err)
	}
	return p
}

// startLoopbackLeader serves a fake leader on the loopback interface and returns its
// ledger and address.
func startLoopbackLeader(t testing.TB) (*fakeLedger, string) {
	ledger := newFakeLedger()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ledger.leader = "c1"
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go (&fakeReplica{ledger: ledger, name: "c1"}).serve(ctx, listener)
	return ledger, listener.Addr().String()
}

// waitReady waits until the entry answers and returns a client for it.
func (p *entryProcess) waitReady(t testing.TB, token string) v1.CallerClient {
	t.Helper()
	c := v1.NewCallerClient(http.DefaultClient, "http://"+p.Callers)
	for range 200 {
		if reply, err := c.List(context.Background(), withKey(token, &v1.ListRequest{})); err == nil && reply.Msg.GetStatus().GetCode() == 0 {
			return c
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the entry did not answer a List call within 200 tries")
	return nil
}

// An entry process is paused for 2.5 s, as on an overloaded instance, and a key is
// withdrawn meanwhile. Guards against an entry that accepts the waiting request from
// outdated state after it resumes.
func TestResumedEntryRejectsWithdrawnKey(t *testing.T) {
	ledger, leader := startLoopbackLeader(t)
	token := ledger.grantKey("team-key", "quarry", false)
	p := startEntryProcess(t, leader)
	client := p.waitReady(t, token)
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	done := make(chan code.Code, 1)
	go func() {
		reply, err := client.Submit(context.Background(), withKey(token, &v1.SubmitRequest{Jobs: []*v1.Spec{newSpec("late", false, nil)}}))
		if err != nil {
			done <- code.Internal
			return
		}
		done <- code.Code(reply.Msg.GetJobs()[0].GetStatus().GetCode())
	}()
	ledger.mu.Lock()
	ledger.keys["team-key"] = ledger.keys["team-key"].WithWithdrawn()
	ledger.mu.Unlock()
	time.Sleep(2500 * time.Millisecond)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	if got := <-done; got == code.OK {
		t.Error("work was accepted with a withdrawn key")
	}
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	if len(ledger.jobsByID) > 0 {
		t.Error("the ledger contains a job submitted with a withdrawn key")
	}
}

// Guards against a shutdown that drops calls. An entry gets SIGTERM during a long
// poll. It must answer the call with the advice to use another entry, and the process
// must exit with code 0.
func TestSIGTERMAnswersPendingCallsAndExits(t *testing.T) {
	ledger, leader := startLoopbackLeader(t)
	token := ledger.grantKey("team-key", "quarry", false)
	p := startEntryProcess(t, leader)
	client := p.waitReady(t, token)
	ctx := context.Background()
	if _, err := client.Submit(ctx, withKey(token, &v1.SubmitRequest{Jobs: []*v1.Spec{newSpec("waits", false, nil)}})); err != nil {
		t.Fatal(err)
	}
	type answer struct {
		reply *connect.Response[v1.WaitReply]
		err   error
	}
	done := make(chan answer, 1)
	go func() {
		reply, err := client.Wait(ctx, withKey(token, &v1.WaitRequest{Id: "waits", Patience: 10_000}))
		done <- answer{reply, err}
	}()
	time.Sleep(100 * time.Millisecond)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	if a := <-done; a.err != nil || a.reply.Msg.GetStatus().GetCode() != uint32(code.ShuttingDown) {
		t.Errorf("the pending call got reply %v, error %v; want result code %d", a.reply, a.err, code.ShuttingDown)
	}
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("the entry process did not exit with code 0: %v", err)
	}
}

// The entry that a caller uses is killed after it accepted a job. The caller submits
// the same id at another entry. Guards against a second job with that id.
func TestResubmitAfterEntryIsKilledIsIdempotent(t *testing.T) {
	ledger, leader := startLoopbackLeader(t)
	token := ledger.grantKey("team-key", "quarry", false)
	firstEntry, secondEntry := startEntryProcess(t, leader), startEntryProcess(t, leader)
	firstClient, secondClient := firstEntry.waitReady(t, token), secondEntry.waitReady(t, token)
	req := &v1.SubmitRequest{Jobs: []*v1.Spec{newSpec("job", true, nil)}}
	ctx := context.Background()
	if _, err := firstClient.Submit(ctx, withKey(token, req)); err != nil {
		t.Fatal(err)
	}
	_ = firstEntry.cmd.Process.Kill()
	reply, err := secondClient.Submit(ctx, withKey(token, req))
	if err != nil || reply.Msg.GetJobs()[0].GetStatus().GetCode() != 0 {
		t.Errorf("the repeated submission got reply %v, error %v", reply, err)
	}
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	if len(ledger.acceptedJobs) != 1 {
		t.Errorf("the ledger has %d jobs, want 1", len(ledger.acceptedJobs))
	}
}
