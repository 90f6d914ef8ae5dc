package tarragond

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/entry/activeconfig"
	"github.com/tarragonbank/tarragonbank/entry/backend"
	"github.com/tarragonbank/tarragonbank/entry/caller"
	"github.com/tarragonbank/tarragonbank/entry/controller"
	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/dispatch"
	"github.com/tarragonbank/tarragonbank/entry/metrics"
	"github.com/tarragonbank/tarragonbank/entry/operator"
	"github.com/tarragonbank/tarragonbank/entry/peer"
	"github.com/tarragonbank/tarragonbank/entry/platform"
	"github.com/tarragonbank/tarragonbank/fleet/admission"
	"github.com/tarragonbank/tarragonbank/fleet/forecast"
	"github.com/tarragonbank/tarragonbank/fleet/settings"
	"github.com/tarragonbank/tarragonbank/fleet/share"
)

// Version is set when the program is built.
var Version = "unknown"

const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	headerLimit    = 64 << 10
	sweepPeriod    = time.Second
	drainPoll      = 10 * time.Millisecond
	leavingNotices = 2
	// brokenInvariant is the exit code of a process that found its own state wrong.
	brokenInvariant = 3
)

// Entry is one running entry process.
type Entry struct {
	settings   *settings.Settings
	view       *activeconfig.Config
	log        *decision.Log
	metrics    *metrics.Metrics
	backend    *backend.Client
	dispatcher *dispatch.Dispatcher
	node       *peer.Node
	watcher    *platform.Watcher
	platform   *platform.Client
	claims     *platform.Claims
	caller     *caller.Server
	operator   *operator.Server
	controller *controller.Controller
	demand     average
	profile    *forecast.ConcurrentProfile
	secure     *tls.Config
	lock       sync.Mutex
	leaving    bool
}

// New puts an entry together; it fails with the types of the packages used.
func New(s *settings.Settings, w io.Writer) (*Entry, error) {
	shares, err := share.GetPolicy(s.SharePolicy)
	if err != nil {
		return nil, err
	}
	admit, err := admission.GetPolicy(s.AdmissionPolicy)
	if err != nil {
		return nil, err
	}
	e := &Entry{settings: s, view: activeconfig.New(), log: decision.New(w, s.LogLevel), metrics: metrics.New(s.Name)}
	e.backend = backend.New(backend.WithOutgoingAddress(s.OutgoingAddress), backend.WithMaxResponseBytes(s.AnswerLimitBytes))
	e.dispatcher = dispatch.New(s.Name, e.log, e.backend,
		dispatch.WithSharePolicy(shares),
		dispatch.WithAdmissionPolicy(admit),
		dispatch.WithStallLimit(s.StallLimit),
		dispatch.WithOnChange(func() { e.node.PublishNow() }))
	client := platform.New(s.PlatformAddress, platform.WithOutgoing(s.OutgoingAddress), platform.WithCounter(e.metrics))
	e.platform = client
	if err := e.join(); err != nil {
		return nil, err
	}
	if s.TLS.Enabled() {
		if e.secure, err = peer.NewOperatorTLS(s.TLS); err != nil {
			return nil, err
		}
	}
	e.watcher = platform.NewWatcher(client, e.view, e.log, s.ListInterval, e.watching, e.spread, e.watchOptions()...)
	e.claims = platform.NewClaims(client)
	shared := peer.NewClaims(e.node, e.claims)
	e.caller = caller.New(s.Name, e.view, e.dispatcher, e.backend, shared, e.log, e.metrics, s.BodyLimitBytes)
	e.profile = forecast.NewConcurrentProfile()
	publisher := operator.NewPublisher(client, e.view)
	e.controller = controller.New(s.Name, client, e, publisher, client, e.log, controller.WithProfile(e.profile))
	e.operator = operator.New(e, e.view, publisher, s.OperatorToken, e.metrics.Handler(), e.profiling()...)
	e.view.Subscribe(e.dispatcher.SetConfig)
	e.view.Subscribe(func(*snapshot) { e.node.PublishNow() })
	return e, nil
}

// join makes the entry known to its peers.
func (e *Entry) join() error {
	o := []peer.Option{peer.WithOutgoing(e.settings.OutgoingAddress), peer.WithChanged(e.share)}
	if e.settings.TLS.Enabled() {
		c, s, err := peer.NewTLS(e.settings.TLS)
		if err != nil {
			return err
		}
		o = append(o, peer.WithTLS(c, s))
	}
	e.node = peer.New(e.settings, e.view, e.body, e.log, e.metrics, o...)
	return nil
}

func (e *Entry) watchOptions() []platform.WatcherOption {
	if e.settings.WatchPolicy != settings.WatchPoll {
		return nil
	}
	return []platform.WatcherOption{platform.WithPolling()}
}

func (e *Entry) profiling() []operator.Option {
	if !e.settings.Profiling {
		return nil
	}
	return []operator.Option{operator.WithProfiling()}
}

// Run serves until SIGTERM or SIGINT and then leaves without cutting a request; a second signal ends it at once.
func (e *Entry) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	l, err := e.listen()
	if err != nil {
		return err
	}
	var parts sync.WaitGroup
	for _, f := range []func(context.Context){
		e.watcher.Run,
		e.dispatcher.Run,
		e.tick,
		func(c context.Context) { e.controller.Run(c, e.watching) },
		func(c context.Context) { e.node.Run(c, l.peer) },
	} {
		parts.Add(1)
		go func() {
			defer parts.Done()
			f(ctx)
		}()
	}
	callers := newServer(e.caller)
	operators := newServer(e.operator)
	go func() { _ = callers.Serve(l.caller) }()
	go func() { _ = operators.Serve(l.operator) }()
	e.note("serving")
	e.await(ctx)
	e.leave(callers)
	stop()
	parts.Wait()
	_ = operators.Close()
	e.note("left")
	e.log.Close()
	return trace.Wrap(e.metrics.Close(), "closing metrics")
}

func (e *Entry) await(ctx context.Context) {
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-ctx.Done():
	case <-c:
	}
	go func() {
		<-c
		os.Exit(1)
	}()
}

// leave goes on serving until the balancer has noticed, then finishes what is in flight.
func (e *Entry) leave(callers *http.Server) {
	e.lock.Lock()
	e.leaving = true
	e.lock.Unlock()
	e.note("leaving")
	for range leavingNotices {
		e.node.PublishNow()
		time.Sleep(e.settings.BalancerWait / leavingNotices)
	}
	e.caller.Close()
	callers.SetKeepAlivesEnabled(false)
	limit := time.Now().Add(e.settings.DrainLimit)
	for e.caller.InFlight() > 0 && time.Now().Before(limit) {
		time.Sleep(drainPoll)
	}
	ctx, stop := context.WithDeadline(context.Background(), limit)
	defer stop()
	if callers.Shutdown(ctx) != nil {
		e.note("requests were still in flight at the drain limit")
	}
	e.claims.Close()
}

func (e *Entry) note(reason string) {
	e.log.Add(decision.Record{Time: time.Now(), Kind: decision.Lifecycle, Reason: reason})
}

// listeners are the entry's three sides.
type listeners struct {
	caller   net.Listener
	peer     net.Listener
	operator net.Listener
}

func (e *Entry) listen() (listeners, error) {
	var l listeners
	for _, x := range []struct {
		listener *net.Listener
		address  netip.AddrPort
	}{{&l.caller, e.settings.CallerAddress}, {&l.peer, e.settings.PeerAddress}, {&l.operator, e.settings.OperatorAddress}} {
		n, err := net.Listen("tcp", x.address.String())
		if err != nil {
			return l, trace.ConvertSystemError(err)
		}
		*x.listener = n
	}
	if e.secure != nil {
		l.operator = tls.NewListener(l.operator, e.secure)
	}
	return l, nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: fatal(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerLimit}
}

// fatal ends the process on a broken invariant instead of serving on with it.
func fatal(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if p := recover(); p != nil {
				fmt.Fprintf(os.Stderr, "invariant broken: %v\n%s", p, debug.Stack())
				os.Exit(brokenInvariant)
			}
		}()
		h.ServeHTTP(w, r)
	})
}

func (e *Entry) tick(ctx context.Context) {
	t := time.NewTicker(sweepPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			e.backend.CloseExpired(now)
			e.share()
			e.dispatcher.SetIsolated(e.isolated(now))
			e.metrics.Gauge("config_revision", float64(e.view.Current().Revision()))
			e.metrics.Gauge("requests_in_flight", float64(e.caller.InFlight()))
			e.metrics.Gauge("decisions_dropped", float64(e.log.Dropped()))
			e.metrics.Gauge("backend_connections_idle", float64(e.backend.IdleConnections()))
		}
	}
}
