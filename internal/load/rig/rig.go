// Package rig runs a cell as real processes on loopback. Relays between the processes
// add one-way network delays. The package also reads the resource usage of each
// process.
package rig

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/client/transport"
	"gypsumreel/internal/domain/key"
	"gypsumreel/internal/fake/relay"
)

// A process has ten ports. The offsets select a port by its use; relayOffset is added
// for the relay in front of it.
const (
	portsPerProcess = 10
	entryPortOffset = 100
	callersOffset   = 0
	backendsOffset  = 1
	operatorsOffset = 2
	platformOffset  = 3
	relayOffset     = 5
	// startTimeout limits each wait for the cell to become ready.
	startTimeout = 20 * time.Second
	// pollInterval is the pause between two polls of the cell.
	pollInterval = 20 * time.Millisecond
)

// operatorKeyID is the id of the first operator's key.
const operatorKeyID = "operator"

// Rig is a cell of real processes. Set the exported fields, then call Start.
type Rig struct {
	// Program is the path of the gypsumreel program.
	Program string
	// Dir holds the settings, data and log files.
	Dir string
	// FirstPort is the first of 300 consecutive ports on loopback.
	FirstPort int
	// Replicas is the number of control replicas and Entries the number of entries.
	Replicas int
	Entries  int
	// ZoneDelay is the one-way delay between processes of the cell. ClientDelay is the
	// one-way delay between entries and callers, backend servers or operators.
	ZoneDelay   time.Duration
	ClientDelay time.Duration
	// DrainTime is how long a stopping entry continues to serve; 0 means one second.
	DrainTime time.Duration

	// OperatorKey is the first operator's key. EnrolmentSecret is the secret with which
	// backend servers enrol.
	OperatorKey     string
	EnrolmentSecret string

	operatorSecret string
	mu             sync.Mutex
	processes      map[string]*process
	relays         map[string]*relay.Relay
	cancel         context.CancelFunc
	ctx            context.Context
}

// Start starts a new cell and waits until a replica leads and every entry is ready.
func (r *Rig) Start(ctx context.Context) error {
	r.ctx, r.cancel = context.WithCancel(ctx)
	r.operatorSecret, r.EnrolmentSecret = key.NewSecret(), key.NewSecret()
	r.OperatorKey = operatorKeyID + "." + r.operatorSecret
	r.processes, r.relays = map[string]*process{}, map[string]*relay.Relay{}
	if r.DrainTime == 0 {
		r.DrainTime = time.Second
	}
	if err := r.openRelays(); err != nil {
		return err
	}
	for _, name := range r.ControlNames() {
		if err := r.launch(name, true); err != nil {
			return err
		}
	}
	for _, name := range r.EntryNames() {
		if err := r.launch(name, false); err != nil {
			return err
		}
	}
	if err := r.WaitReady(ctx); err != nil {
		return err
	}
	return r.waitOperatorKey(ctx)
}

// waitOperatorKey waits until the operator's key is accepted. The first leader grants
// the key only after its election.
func (r *Rig) waitOperatorKey(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	op := r.OperatorClient()
	defer op.Transport.Close()
	for {
		_, err := op.Show(ctx, v1.Part_PART_TABLE)
		if err == nil {
			return nil
		}
		if !transport.Sleep(ctx, pollInterval) {
			return errors.Wrapf(err, "operator's key not accepted (limit %s)", startTimeout)
		}
	}
}

// WaitReady waits until a replica leads and every running process is ready.
func (r *Rig) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		if _, ok := r.Leader(); ok && r.allReady() {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("cell not ready (limit %s); logs are in %s", startTimeout, r.Dir)
		case <-time.After(pollInterval):
		}
	}
}

func (r *Rig) allReady() bool {
	for _, name := range append(r.ControlNames(), r.EntryNames()...) {
		if r.Running(name) && !r.Ready(name) {
			return false
		}
	}
	return true
}

// ControlNames returns the names of the control replicas.
func (r *Rig) ControlNames() []string { return processNames("control", r.Replicas) }

// EntryNames returns the names of the entries.
func (r *Rig) EntryNames() []string { return processNames("entry", r.Entries) }

func processNames(role string, n int) []string {
	out := make([]string, n)
	for i := range n {
		out[i] = fmt.Sprintf("%s-%d", role, i+1)
	}
	return out
}

func (r *Rig) address(name string, offset int) string {
	var i int
	base := r.FirstPort
	if _, err := fmt.Sscanf(name, "entry-%d", &i); err == nil {
		base += entryPortOffset
	} else {
		_, _ = fmt.Sscanf(name, "control-%d", &i) // names come from ControlNames and EntryNames
	}
	return fmt.Sprintf("127.0.0.1:%d", base+(i-1)*portsPerProcess+offset)
}

// CallerURLs returns the URLs at which callers reach the entries through the relays.
func (r *Rig) CallerURLs() []string { return r.entryURLs(relayOffset + callersOffset) }

// OperatorURLs returns the URLs at which operators reach the entries through the
// relays.
func (r *Rig) OperatorURLs() []string { return r.entryURLs(relayOffset + operatorsOffset) }

// BackendAddresses returns the addresses, as HOST:PORT, at which backend servers reach
// the entries through the relays.
func (r *Rig) BackendAddresses() []string {
	var out []string
	for _, name := range r.EntryNames() {
		out = append(out, r.address(name, relayOffset+backendsOffset))
	}
	return out
}

// directURL returns the URL at which callers reach an entry without a relay.
func (r *Rig) directURL(name string) string { return "http://" + r.address(name, callersOffset) }

func (r *Rig) entryURLs(offset int) []string {
	var out []string
	for _, name := range r.EntryNames() {
		out = append(out, "http://"+r.address(name, offset))
	}
	return out
}

func (r *Rig) openRelays() error {
	for _, name := range r.ControlNames() {
		if err := r.openRelay(name, callersOffset, r.ZoneDelay); err != nil {
			return err
		}
	}
	for _, name := range r.EntryNames() {
		for _, offset := range []int{callersOffset, backendsOffset, operatorsOffset} {
			if err := r.openRelay(name, offset, r.ClientDelay); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *Rig) openRelay(name string, offset int, delay time.Duration) error {
	l, err := net.Listen("tcp", r.address(name, relayOffset+offset))
	if err != nil {
		return err
	}
	target := r.address(name, offset)
	proxy := &relay.Relay{Listener: l, Sleep: preciseSleep, Dial: func(ctx context.Context) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", target)
	}}
	proxy.SetDelay(relay.Upstream, delay)
	proxy.SetDelay(relay.Downstream, delay)
	r.relays[fmt.Sprintf("%s/%d", name, offset)] = proxy
	go func() { _ = proxy.Run(r.ctx) }() // fails only when the rig is closed
	return nil
}

// ListenerBytes returns the number of bytes that the relays carried to and from a
// process. For a replica this is traffic within the cell. For an entry it is traffic
// with callers, backend servers and operators.
func (r *Rig) ListenerBytes(name string) int64 {
	var sum int64
	for _, offset := range []int{callersOffset, backendsOffset, operatorsOffset} {
		if proxy := r.relays[fmt.Sprintf("%s/%d", name, offset)]; proxy != nil {
			sum += proxy.ForwardedBytes(relay.Upstream) + proxy.ForwardedBytes(relay.Downstream)
		}
	}
	return sum
}

// BackendBytes returns the number of bytes that the relays carried between an entry
// and backend servers.
func (r *Rig) BackendBytes(name string) int64 {
	proxy := r.relays[fmt.Sprintf("%s/%d", name, backendsOffset)]
	return proxy.ForwardedBytes(relay.Upstream) + proxy.ForwardedBytes(relay.Downstream)
}

// Close kills all processes and stops the relays.
func (r *Rig) Close() {
	for _, name := range append(r.ControlNames(), r.EntryNames()...) {
		r.Kill(name)
	}
	r.cancel()
	for _, proxy := range r.relays {
		<-proxy.Done()
	}
}

func (r *Rig) path(name, suffix string) string { return filepath.Join(r.Dir, name+suffix) }

func (r *Rig) writeSettingsFile(name string, text []byte) error {
	return os.WriteFile(r.path(name, ".json"), text, 0o600)
}

// preciseSleep sleeps in a system call. While the process is idle, the timers of the
// Go runtime have a resolution of whole milliseconds, which is too coarse for delays
// of 1 or 2 ms.
func preciseSleep(d time.Duration) {
	remaining := syscall.NsecToTimespec(d.Nanoseconds())
	err := syscall.Nanosleep(&remaining, &remaining)
	for err == syscall.EINTR {
		err = syscall.Nanosleep(&remaining, &remaining)
	}
}
