package instance

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"knapweedreel/internal/catalog"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/entry"
	"knapweedreel/internal/instance/entry/upstream"
	"knapweedreel/internal/instance/evidence"
	"knapweedreel/internal/instance/follower"
	"knapweedreel/internal/instance/relay"
	"knapweedreel/internal/placement"
	"knapweedreel/internal/settings"
	"knapweedreel/internal/supervisor"
	"knapweedreel/internal/telemetry"
)

// Platform is what an adapter gives to an instance on a platform.
type Platform struct {
	Source   catalog.Source
	Protocol upstream.Protocol
	// ReadinessHandler tells the platform whether the instance is ready.
	ReadinessHandler func(ready func() bool) http.Handler
	// ResolveHandler tells callers which addresses to use, and for how long.
	ResolveHandler func(locate func(host, region string) []string, keep func() time.Duration) http.Handler
	// SettingsFile is the file that the settings were read from. It is followed.
	SettingsFile string
	// Metrics is where the instance counts. It is closed at the end.
	Metrics *telemetry.Metrics
	// Close gives up what the adapter holds.
	Close func()
}

// RunOnPlatform runs an instance whose configuration, upstreams and members
// come from a platform's store, until ctx is cancelled. It then stops as
// planned. Errors are those of Run.
func RunOnPlatform(ctx context.Context, s settings.Settings, p Platform, log *zap.Logger) error {
	s.Normalize()
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Platform.MemoryMB) * (1 << 20)))
	log = log.With(zap.String("instance", s.Instance))
	defer redirectStandardLog(log)()
	defer p.Close()
	n := buildOnPlatform(s, p, log)
	defer n.close()
	log.Info("instance_started", zap.String("entry", s.EntryAddress), zap.String("store", s.StoreAddress),
		zap.String("region", s.Region), zap.String("failure_domain", s.FailureDomain), zap.Int64("boot", n.boot))

	tree, stopTree := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTree()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		defer stopTree()
		n.planStop(ctx, tree)
	}()
	err := supervisor.Run(tree, log, n.children()...)
	stopTree()
	<-stopped
	if errors.Is(err, supervisor.ErrTooManyFailures) {
		err = errkind.Wrap(errkind.Internal, err, "instance %s", s.Instance)
	}
	log.Info("instance_stopped", zap.Error(err))
	return err
}

// memoryShare is the share of the memory that the Go runtime aims to stay
// below. The rest is for what it does not count, such as socket buffers.
const memoryShare = 0.7

// platformParts are the children of an instance on a platform.
type platformParts struct {
	settings settings.Settings
	platform Platform
	boot     int64 // Unix milliseconds
	log      *zap.Logger
	metrics  *telemetry.Metrics
	follower *follower.Follower
	entry    *entry.Server
	evidence *evidence.Exchange
	relay    *relay.Server
	keep     atomic.Int64 // time.Duration for which callers keep an address answer
}

func buildOnPlatform(s settings.Settings, p Platform, log *zap.Logger) *platformParts {
	n := &platformParts{settings: s, platform: p, boot: time.Now().UnixMilli(), log: log, metrics: p.Metrics}
	n.keep.Store(int64(milliseconds(s.Times.KeepMS)))
	n.follower = follower.New(follower.Config{
		Self: catalog.Member{
			ID: s.Instance, Incarnation: n.boot, Address: s.EntryAddress, PeerAddress: s.PeerAddress, Region: s.Region, FailureDomain: s.FailureDomain,
			Capacity: capacity(s.Platform), Width: catalog.MinWidth,
		},
		Regions: s.Platform.Regions, Log: log, Scope: n.metrics.Scope, Jitter: rand.Float64,
	}, p.Source)
	n.evidence = evidence.New(evidence.Config{
		Address: s.PeerListenAddress, Incarnation: rand.Uint64(), Peers: n.follower.Peers, Keys: n.follower.Keys,
		Deliver: func(sender uint64, records []evidence.Record) { n.entry.ApplyEvidence(sender, records) },
		Log:     log, Scope: n.metrics.Scope,
	})
	n.relay = &relay.Server{
		Address: s.PeerListenAddress, ChangeLog: n.follower.ChangeLog(), Keys: n.follower.Keys, Logger: log, Scope: n.metrics.Scope,
	}
	limits := s.Limits
	limits.CallerConnections = min(limits.CallerConnections, s.Platform.Descriptors/2)
	n.entry = entry.New(entry.Config{
		Instance: s.Instance, Address: s.EntryAddress, Limits: limits, Times: s.Times, Log: log, Scope: n.metrics.Scope,
		Placement: placementOf(s.Platform), Share: n.evidence.Share,
		Upstreams: upstream.Config{Protocol: p.Protocol, Dial: dialer(s.Times).DialContext},
	}, n.follower)
	return n
}

// Costs of requests that go to another region or failure domain, as
// probabilities of failure. Regions are joined by slow, narrow links; both kinds
// of links are paid by volume, those between regions eight times as much.
const (
	remoteCost      = 0.05
	remoteCostPerKB = 0.02
	domainCostPerKB = remoteCostPerKB / 8
)

// retryPart is the part of the fleet's share of retries that is used. Requests
// are counted where they arrive, retries a little later, when fewer requests may
// have come.
const retryPart = 0.75

func placementOf(p *settings.Platform) *entry.Placement {
	return &entry.Placement{
		Model:      placement.DefaultModel(),
		RetryShare: retryPart * p.RetryShare, RetryReserve: float64(p.RetryReserve),
		RemoteCost: remoteCost, RemoteCostPerKB: remoteCostPerKB, DomainCostPerKB: domainCostPerKB,
	}
}

// silentLimit is the time after which a connection to an upstream counts as
// lost when sent bytes are not acknowledged.
const silentLimit = 2 * time.Second

// dialer opens connections to upstreams.
func dialer(t settings.Times) *net.Dialer {
	return &net.Dialer{
		Timeout:         milliseconds(t.ConnectMS),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			if cerr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentLimit.Milliseconds()))
			}); cerr != nil {
				return cerr
			}
			return err
		},
	}
}

// children returns the tree in the order in which it starts.
func (n *platformParts) children() []supervisor.Child {
	p := n.settings.Platform
	ready := n.platform.ReadinessHandler(n.follower.Ready)
	resolve := n.platform.ResolveHandler(n.locate, func() time.Duration { return time.Duration(n.keep.Load()) })
	settingsFile := &reloader{path: n.platform.SettingsFile, apply: n.applySettings, log: n.log}
	children := []supervisor.Child{
		{Name: "control", Run: n.follower.Run, Essential: true},
		{Name: "watch", Run: n.follower.Watch},
		{Name: "member", Run: n.follower.MaintainRegistration},
		{Name: "settings", Run: settingsFile.run},
		{Name: "evidence", Run: n.evidence.Run},
		{Name: "relay", Run: n.relay.Run},
		{Name: "load", Run: n.watchLoad},
		{Name: "readiness", Run: page{p.ReadyAddress, ready}.run},
		{Name: "directory", Run: page{p.DirectoryAddress, resolve}.run},
	}
	if p.MetricsAddress != "" {
		children = append(children, supervisor.Child{Name: "metrics", Run: page{p.MetricsAddress, n.metrics.Handler}.run})
	}
	return append(children, supervisor.Child{Name: "entry", Run: n.entry.Run, Essential: true})
}

// locate returns the addresses for the callers of a host in a region. An
// instance that knows no member names itself while it is ready.
func (n *platformParts) locate(host, region string) []string {
	var addresses []string
	for _, m := range n.follower.Directory().Locate(host, region) {
		addresses = append(addresses, m.Address)
	}
	if len(addresses) == 0 && n.follower.Ready() {
		addresses = []string{n.settings.EntryAddress}
	}
	return addresses
}

// planStop waits until ctx is cancelled, then makes the instance not ready,
// takes it out of the address answers and drains the entry. It returns early
// when the tree has ended.
func (n *platformParts) planStop(ctx, tree context.Context) {
	select {
	case <-ctx.Done():
	case <-tree.Done():
		return
	}
	begin := time.Now()
	n.log.Info("planned_stop", zap.Int("drain_ms", n.settings.Times.DrainMS), zap.Int("limit_ms", n.settings.Times.StopLimitMS))
	n.follower.Leave()
	if err := n.entry.Drain(tree); err != nil {
		n.log.Warn("drain_incomplete", zap.Error(err))
	}
	n.log.Info("drained", zap.Duration("took", time.Since(begin)))
}

func (n *platformParts) close() {
	if err := n.metrics.Close(); err != nil {
		n.log.Warn("metrics_not_closed", zap.Error(err))
	}
}

// page serves a handler at an address.
type page struct {
	address string
	handler http.Handler
}

// pageTimeout bounds the reading of a request for a page.
const pageTimeout = 5 * time.Second

func (p page) run(ctx context.Context) error {
	server := &http.Server{Addr: p.address, Handler: p.handler, ReadTimeout: pageTimeout, IdleTimeout: 2 * pageTimeout}
	ended := make(chan error, 1)
	go func() { ended <- server.ListenAndServe() }()
	select {
	case err := <-ended:
		return errors.Wrapf(err, "serve %s", p.address)
	case <-ctx.Done():
		_ = server.Close()
		<-ended
		return nil
	}
}
