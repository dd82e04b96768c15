// Package rig runs a whole cell as real processes on loopback, behind relays
// that hold every byte for the network's one-way delays, and reads what each
// process costs.
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

// Ports of a process, counted from its first one.
const (
	perProcess   = 10
	entriesFrom  = 100
	atCallers    = 0
	atBackends   = 1
	atOperators  = 2
	atPlatform   = 3
	atRelays     = 5
	startTimeout = 20 * time.Second
	lookEvery    = 20 * time.Millisecond
)

// rootKey is the id of the first operator's key.
const rootKey = "operator"

// Rig is a cell of processes. Set the exported fields, then call Start.
type Rig struct {
	// Program is the path of the gypsumreel program.
	Program string
	// Dir holds settings, data and logs.
	Dir string
	// FirstPort is the first of 300 ports on loopback.
	FirstPort int
	// Replicas and Entries are numbers of processes.
	Replicas int
	Entries  int
	// ZoneDelay and Client are the one-way delays between processes of the cell, and
	// from callers and backend servers to entries.
	ZoneDelay   time.Duration
	ClientDelay time.Duration
	// DrainTime is how long a stopping entry serves on; 0 for one second.
	DrainTime time.Duration

	// OperatorKey is the first operator's key, Enrolment the secret of backend servers.
	OperatorKey     string
	EnrolmentSecret string

	root   string
	mu     sync.Mutex
	procs  map[string]*process
	relays map[string]*relay.Relay
	cancel context.CancelFunc
	ctx    context.Context
}

// Start founds the cell and returns once a replica leads and every entry is ready.
func (r *Rig) Start(ctx context.Context) error {
	r.ctx, r.cancel = context.WithCancel(ctx)
	r.root, r.EnrolmentSecret = key.NewSecret(), key.NewSecret()
	r.OperatorKey = rootKey + "." + r.root
	r.procs, r.relays = map[string]*process{}, map[string]*relay.Relay{}
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
	return r.rooted(ctx)
}

// rooted waits until the operator's key counts: the first leader grants it only
// after it was elected.
func (r *Rig) rooted(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	op := r.OperatorClient()
	defer op.Transport.Close()
	for {
		_, err := op.Show(ctx, v1.Part_PART_TABLE)
		if err == nil {
			return nil
		}
		if !transport.Sleep(ctx, lookEvery) {
			return errors.Wrap(err, "the operator's key")
		}
	}
}

// WaitReady waits until a replica leads and every process that runs is ready.
func (r *Rig) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		if _, ok := r.Leader(); ok && r.allReady() {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("the cell is not ready; logs are in %s", r.Dir)
		case <-time.After(lookEvery):
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
func (r *Rig) ControlNames() []string { return names("control", r.Replicas) }

// EntryNames returns the names of the entries.
func (r *Rig) EntryNames() []string { return names("entry", r.Entries) }

func names(sort string, n int) []string {
	out := make([]string, n)
	for i := range n {
		out[i] = fmt.Sprintf("%s-%d", sort, i+1)
	}
	return out
}

func (r *Rig) port(name string, at int) string {
	var i int
	base := r.FirstPort
	if _, err := fmt.Sscanf(name, "entry-%d", &i); err == nil {
		base += entriesFrom
	} else {
		_, _ = fmt.Sscanf(name, "control-%d", &i) // names come from Controls and EntryNames
	}
	return fmt.Sprintf("127.0.0.1:%d", base+(i-1)*perProcess+at)
}

// CallerURLs returns the addresses of all entries for callers behind the relays.
func (r *Rig) CallerURLs() []string { return r.urls(atRelays + atCallers) }

// OperatorURLs returns the entries' addresses for operators behind the relays.
func (r *Rig) OperatorURLs() []string { return r.urls(atRelays + atOperators) }

// BackendAddresses returns the entries' addresses for backend servers behind the relays, as HOST:PORT.
func (r *Rig) BackendAddresses() []string {
	var out []string
	for _, name := range r.EntryNames() {
		out = append(out, r.port(name, atRelays+atBackends))
	}
	return out
}

// direct returns the address for callers of one entry, past the relay.
func (r *Rig) direct(name string) string { return "http://" + r.port(name, atCallers) }

func (r *Rig) urls(at int) []string {
	var out []string
	for _, name := range r.EntryNames() {
		out = append(out, "http://"+r.port(name, at))
	}
	return out
}

func (r *Rig) openRelays() error {
	for _, name := range r.ControlNames() {
		if err := r.openRelay(name, atCallers, r.ZoneDelay); err != nil {
			return err
		}
	}
	for _, name := range r.EntryNames() {
		for _, at := range []int{atCallers, atBackends, atOperators} {
			if err := r.openRelay(name, at, r.ClientDelay); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *Rig) openRelay(name string, at int, delay time.Duration) error {
	l, err := net.Listen("tcp", r.port(name, atRelays+at))
	if err != nil {
		return err
	}
	target := r.port(name, at)
	one := &relay.Relay{Listener: l, Sleep: nap, Dial: func(ctx context.Context) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", target)
	}}
	one.SetDelay(relay.Upstream, delay)
	one.SetDelay(relay.Downstream, delay)
	r.relays[fmt.Sprintf("%s/%d", name, at)] = one
	go func() { _ = one.Run(r.ctx) }() // ends with the rig, which is its only error
	return nil
}

// ListenerBytes returns what has passed to and from a process's listeners: those inside
// the cell for a replica; callers, backend servers and operators for an entry.
func (r *Rig) ListenerBytes(name string) int64 {
	var sum int64
	for _, at := range []int{atCallers, atBackends, atOperators} {
		if one := r.relays[fmt.Sprintf("%s/%d", name, at)]; one != nil {
			sum += one.ForwardedBytes(relay.Upstream) + one.ForwardedBytes(relay.Downstream)
		}
	}
	return sum
}

// BackendBytes returns what has passed between an entry and backend servers.
func (r *Rig) BackendBytes(name string) int64 {
	one := r.relays[fmt.Sprintf("%s/%d", name, atBackends)]
	return one.ForwardedBytes(relay.Upstream) + one.ForwardedBytes(relay.Downstream)
}

// Close ends all processes and relays at once.
func (r *Rig) Close() {
	for _, name := range append(r.ControlNames(), r.EntryNames()...) {
		r.Kill(name)
	}
	r.cancel()
	for _, one := range r.relays {
		<-one.Done()
	}
}

func (r *Rig) file(name, suffix string) string { return filepath.Join(r.Dir, name+suffix) }

func (r *Rig) write(name string, text []byte) error {
	return os.WriteFile(r.file(name, ".json"), text, 0o600)
}

// nap sleeps on a thread of its own. The runtime's timers count in whole
// milliseconds while the process is idle, too coarse for delays of one or two.
func nap(d time.Duration) {
	left := syscall.NsecToTimespec(d.Nanoseconds())
	err := syscall.Nanosleep(&left, &left)
	for err == syscall.EINTR {
		err = syscall.Nanosleep(&left, &left)
	}
}
