// Package entry implements the entry, the front-end process of a cell. It serves
// callers, backend servers, operators and the platform's health checks. It keeps no
// durable state.
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"gypsumreel/internal/base/event"
	"gypsumreel/internal/base/files"
	"gypsumreel/internal/base/ingress"
	"gypsumreel/internal/base/meter"
	"gypsumreel/internal/edge/backend"
	"gypsumreel/internal/edge/caller"
	"gypsumreel/internal/edge/codec"
	"gypsumreel/internal/edge/control"
	"gypsumreel/internal/edge/operator"
	"gypsumreel/internal/edge/platform"
)

// Defaults of the fields of Entry that are zero.
const (
	// DefaultShutdownDelay is the time between the failing readiness check and the
	// end of service, in which the load balancer removes the entry.
	DefaultShutdownDelay = 5 * time.Second
	// DefaultDrainTimeout bounds the wait for pending requests after the shutdown delay.
	DefaultDrainTimeout = 15 * time.Second
	// DefaultMaxConnectionAge is the age at which the entry closes a client
	// connection, once its pending request is answered.
	DefaultMaxConnectionAge = 5 * time.Minute
	// DefaultMaxConnections bounds the open client connections of each listener.
	DefaultMaxConnections = 20_000
)

// Limits for one client connection. The timeouts disconnect clients that send
// requests or read responses too slowly.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 30 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	maxStreams     = 256
	pingIdleTime   = 10 * time.Second
	pingTimeout    = 5 * time.Second
	// minCompressBytes is larger than any response, which turns compression off. CPU
	// time of an entry is scarcer than network bandwidth.
	minCompressBytes = 1 << 30
)

// Entry is the front-end process of a cell. Set the fields, then call Run.
type Entry struct {
	// Cell and Name identify the entry to the leader.
	Cell string
	Name string
	// CallerListener, BackendListener, OperatorListener and PlatformListener accept
	// the connections for one service each. A service without a listener is off.
	CallerListener   net.Listener
	BackendListener  net.Listener
	OperatorListener net.Listener
	PlatformListener net.Listener
	// OutsideTLS is the TLS configuration for client connections. Nil means plain HTTP.
	OutsideTLS *tls.Config
	// ControlReplicas are the members of the control group, one of which is the leader.
	ControlReplicas []control.Replica
	// InsideTLS is the TLS configuration for calls to the control group. Nil means plain HTTP.
	InsideTLS *tls.Config
	// Dial opens connections to the control group. Nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// EnrolmentDigests holds the digests of the enrolment secrets accepted from backend servers.
	EnrolmentDigests []backend.Digest
	// Auditor receives the audit records of operators' calls. Nil means the log.
	Auditor operator.Auditor
	Log     logr.Logger
	// Gates hold the accounts of what clients make the entry hold. Zero means those of an instance
	// of unknown size.
	Gates ingress.Gates
	// Budget counts the connections of all listeners together; nil counts nothing.
	Budget *files.Budget
	// Abort ends a graceful shutdown immediately when it is closed. It is closed on
	// the second termination signal.
	Abort <-chan struct{}

	// In the following fields zero means the default given by the constants above.
	ShutdownDelay    time.Duration
	DrainTimeout     time.Duration
	MaxConnectionAge time.Duration
	MaxConnections   int
	// MaxPendingRequests bounds the requests that wait for a reply of the leader.
	MaxPendingRequests int

	// initOnce guards the initialization of the defaults, the leader client and the metrics.
	initOnce     sync.Once
	leaderClient *control.Client
	metricSet    *metrics.Set
	phase        atomic.Int32
	// reportedUnready is true if the last readiness check failed.
	reportedUnready atomic.Bool
	done            chan struct{}
}

// Phases of the lifecycle of an entry.
const (
	phaseServing int32 = iota
	// phaseUnready means that readiness checks fail, while requests are still served.
	phaseUnready
	// phaseDraining means that the entry only completes pending requests.
	phaseDraining
)

var phaseNames = [...]string{"serving", "unready", "draining"}

var errStopping = errors.New("the entry is stopping")

func (e *Entry) init() {
	e.initOnce.Do(func() {
		if e.ShutdownDelay == 0 {
			e.ShutdownDelay = DefaultShutdownDelay
		}
		if e.DrainTimeout == 0 {
			e.DrainTimeout = DefaultDrainTimeout
		}
		if e.MaxConnectionAge == 0 {
			e.MaxConnectionAge = DefaultMaxConnectionAge
		}
		if e.MaxConnections == 0 {
			e.MaxConnections = DefaultMaxConnections
		}
		if e.Gates.Clients == nil {
			e.Gates = ingress.NewGates(0, e.Log)
		}
		if e.Auditor == nil {
			e.Auditor = logAuditor{e.Log}
		}
		e.metricSet = metrics.NewSet()
		e.done = make(chan struct{})
		e.leaderClient = &control.Client{
			Cell: e.Cell, Name: e.Name, Replicas: e.ControlReplicas, TLS: e.InsideTLS, Dial: e.Dial,
			Log: e.Log, Metrics: e.metricSet, MaxPending: e.MaxPendingRequests,
		}
	})
}

// Done is closed when Run has returned.
func (e *Entry) Done() <-chan struct{} { e.init(); return e.done }

// LeaderClient returns the client that forwards the requests of the entry to the leader.
func (e *Entry) LeaderClient() *control.Client { e.init(); return e.leaderClient }

// service is one listener and the HTTP server that handles its connections.
type service struct {
	listener net.Listener
	server   *http.Server
}

// configuredServices returns the services that have a listener.
func (e *Entry) configuredServices() []service {
	options := connect.WithHandlerOptions(codec.HandlerOptions(), connect.WithInterceptors(newCallCounter(e.metricSet)), connect.WithCompressMinBytes(minCompressBytes))
	all := []service{
		{e.CallerListener, e.newServer(e.mountWithLimit(caller.MaxRequestSize)((&caller.Handler{Leader: e.leaderClient}).Route(options)))},
		{e.BackendListener, e.newServer(e.mountWithLimit(backend.MaxRequestSize)((&backend.Handler{Leader: e.leaderClient, EnrolmentDigests: e.EnrolmentDigests, Log: e.Log}).Route(options)))},
		{e.OperatorListener, e.newServer(e.mountWithLimit(operator.MaxRequestSize)((&operator.Handler{Leader: e.leaderClient, Auditor: e.Auditor, EntryName: e.Name, State: e.currentState}).Route(options)))},
		{e.PlatformListener, e.newServer(e.Gates.Clients.Track(0, (&platform.Probes{Ready: e.checkReady, MetricSets: []*metrics.Set{e.metricSet, meter.ProcessMetrics}}).Handler()))},
	}
	return slices.DeleteFunc(all, func(s service) bool { return s.listener == nil })
}

// mountWithLimit returns a function that mounts a handler at its path and limits
// the size of requests.
func (e *Entry) mountWithLimit(maxRequestBytes int64) func(path string, h http.Handler) http.Handler {
	return func(path string, h http.Handler) http.Handler {
		mux := http.NewServeMux()
		mux.Handle(path, e.Gates.Clients.Track(maxRequestBytes, codec.LimitRequestSize(maxRequestBytes, ingress.ReadFirst(codec.RefuseUnread, h))))
		return mux
	}
}

// checkReady returns the result of a readiness check and logs when it changes.
func (e *Entry) checkReady() error {
	err := e.readinessError()
	if wasUnready := e.reportedUnready.Swap(err != nil); wasUnready != (err != nil) {
		if err != nil {
			event.LogError(e.Log, event.Unready, err)
		} else {
			event.Log(e.Log, event.Ready)
		}
	}
	return err
}

// readinessError returns nil while the load balancer may send requests to the
// entry, otherwise the reason why it must not.
func (e *Entry) readinessError() error {
	if e.phase.Load() != phaseServing {
		return errStopping
	}
	if !e.leaderClient.InContact() {
		return errors.New("no contact with the leader")
	}
	return nil
}

// Run serves until ctx is cancelled, then shuts down gracefully. It returns an
// error if a listener fails or the graceful shutdown does not complete.
func (e *Entry) Run(ctx context.Context) error {
	e.init()
	defer close(e.done)
	var wg sync.WaitGroup
	defer wg.Wait()
	clientCtx, stopClient := context.WithCancel(context.WithoutCancel(ctx))
	defer stopClient()
	wg.Go(func() { _ = e.leaderClient.Run(clientCtx) })

	services := e.configuredServices()
	serveErrors := make(chan error, len(services))
	for _, s := range services {
		event.Log(e.Log, event.Listening, "address", s.listener.Addr().String())
		wg.Go(func() { serveErrors <- e.serveConnections(s) })
	}
	defer func() {
		for _, s := range services {
			_ = s.server.Close()
		}
	}()
	select {
	case err := <-serveErrors:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
		return e.shutDownGracefully(services)
	}
}

// shutDownGracefully makes readiness checks fail, serves all requests until the
// shutdown delay is over, ends long polls with the advice to use another entry, and
// waits for pending requests to complete. Each step has a time limit. Abort ends
// the shutdown at any step.
func (e *Entry) shutDownGracefully(services []service) error {
	e.phase.Store(phaseUnready)
	event.Log(e.Log, event.StopBegun, "linger", e.ShutdownDelay.String(), "drain", e.DrainTimeout.String())
	event.Log(e.Log, event.StopDraining)
	select {
	case <-time.After(e.ShutdownDelay):
	case <-e.Abort:
		return errors.New("graceful shutdown aborted by a second signal")
	}
	e.phase.Store(phaseDraining)
	e.leaderClient.EndLongPolls()
	event.Log(e.Log, event.StopFinishing, "pending", e.leaderClient.Pending())
	ctx, cancel := context.WithTimeout(context.Background(), e.DrainTimeout)
	defer cancel()
	go func() {
		select {
		case <-e.Abort:
			cancel()
		case <-ctx.Done():
		}
	}()
	if err := shutDownServers(ctx, services); err != nil {
		event.LogError(e.Log, event.StopForced, err, "pending", e.leaderClient.Pending())
		return errors.Wrap(err, "graceful shutdown did not complete")
	}
	return nil
}

// shutDownServers closes the listeners of all services and waits until their
// pending requests are complete or ctx ends.
func shutDownServers(ctx context.Context, services []service) error {
	var g errgroup.Group
	for _, s := range services {
		g.Go(func() error { return s.server.Shutdown(ctx) })
	}
	return g.Wait()
}

// newServer returns an HTTP server with the limits for client connections. It
// accepts HTTP/1.1 and HTTP/2, with and without TLS.
func (e *Entry) newServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{
		Handler: closeExpiredConns(h), Protocols: protocols, ConnContext: e.withConnExpiry,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       event.HTTPErrorLog(e.Log),
		HTTP2:          &http.HTTP2Config{MaxConcurrentStreams: maxStreams, SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
	}
	e.Gates.Clients.Configure(s)
	return s
}

// serveConnections accepts connections of the service until its server is closed.
func (e *Entry) serveConnections(s service) error {
	l := e.Gates.Clients.Listen(s.listener, ingress.Limits{Conns: e.MaxConnections, Budget: e.Budget, Use: files.Callers})
	if e.OutsideTLS == nil {
		return s.server.Serve(l)
	}
	// net/http adds its protocols to the configuration it is given, so it gets a copy.
	s.server.TLSConfig = e.OutsideTLS.Clone()
	return s.server.ServeTLS(l, "", "")
}
