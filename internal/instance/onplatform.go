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
	"knapweedreel/internal/guard"
	"knapweedreel/internal/instance/entry"
	"knapweedreel/internal/instance/entry/upstream"
	"knapweedreel/internal/instance/evidence"
	"knapweedreel/internal/instance/follower"
	"knapweedreel/internal/instance/relay"
	"knapweedreel/internal/placement"
	"knapweedreel/internal/quota"
	"knapweedreel/internal/settings"
	"knapweedreel/internal/sockbuf"
	"knapweedreel/internal/supervisor"
	"knapweedreel/internal/telemetry"
)

// Platform holds what the adapter of a platform provides to an instance.
type Platform struct {
	Source   catalog.Source
	Protocol upstream.Protocol
	// ReadinessHandler returns the handler that reports to the platform whether the
	// instance is ready.
	ReadinessHandler func(ready func() bool) http.Handler
	// ResolveHandler returns the handler that responds to callers with the addresses
	// to use and the time for which to cache them.
	ResolveHandler func(locate func(host, region string) []string, cacheTime func() time.Duration) http.Handler
	// SettingsFile is the file that the settings were read from. It is reloaded
	// when it changes.
	SettingsFile string
	// Complete adds the settings that the platform passes outside the file. Nil adds
	// none.
	Complete func(*settings.Settings) error
	// Metrics receives the instance's metrics. RunOnPlatform closes it.
	Metrics *telemetry.Metrics
	// Close releases the resources of the adapter.
	Close func()
}

// RunOnPlatform runs an instance whose configuration, upstreams and members come from
// a platform's store. It runs until ctx is canceled, then shuts the instance down
// gracefully. It returns the same errors as Run.
func RunOnPlatform(ctx context.Context, s settings.Settings, p Platform, log *zap.Logger) error {
	s.Normalize()
	debug.SetMemoryLimit(memoryLimit(s.Platform.MemoryMB))
	log = log.With(zap.String("instance", s.Instance))
	defer redirectStandardLog(log)()
	defer p.Close()
	c := buildOnPlatform(s, p, log)
	defer c.close()
	log.Info("instance_started", zap.String("entry", s.EntryAddress), zap.String("store", s.StoreAddress),
		zap.String("region", s.Region), zap.String("failure_domain", s.FailureDomain), zap.Int64("boot", c.incarnation))

	tree, stopTree := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTree()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		defer stopTree()
		c.gracefulShutdown(ctx, tree)
	}()
	err := supervisor.Run(tree, log, c.children()...)
	stopTree()
	<-stopped
	if errors.Is(err, supervisor.ErrTooManyFailures) {
		err = errkind.Wrap(errkind.Internal, err, "instance %s", s.Instance)
	}
	log.Info("instance_stopped", zap.Error(err))
	return err
}

// The rest of the instance's memory is for what the Go runtime doesn't count.
const (
	// memoryLimitShare bounds the runtime's memory limit as a share of the
	// instance's memory.
	memoryLimitShare = 0.7
	// socketShare is the share for socket buffers.
	socketShare = 0.15
	// programBytes is for the program's code and data; 12 MB were resident.
	programBytes = 16 << 20
	// minMemoryLimitShare bounds the limit on small machines, so that the garbage
	// collector doesn't take all of the processor time.
	minMemoryLimitShare = 0.5
)

// memoryLimit returns the Go runtime's memory limit in bytes.
func memoryLimit(memoryMB int) int64 {
	total := float64(memoryMB) * (1 << 20)
	limit := min(memoryLimitShare*total, (1-socketShare)*total-programBytes)
	return int64(max(limit, minMemoryLimitShare*total))
}

// platformComponents holds the children of an instance on a platform.
type platformComponents struct {
	settings    settings.Settings
	platform    Platform
	incarnation int64 // start time in Unix milliseconds
	log         *zap.Logger
	metrics     *telemetry.Metrics
	follower    *follower.Follower
	entry       *entry.Server
	evidence    *evidence.Exchange
	relay       *relay.Server
	cacheTime   atomic.Int64 // time.Duration for which callers may cache addresses
}

func buildOnPlatform(s settings.Settings, p Platform, log *zap.Logger) *platformComponents {
	c := &platformComponents{settings: s, platform: p, incarnation: time.Now().UnixMilli(), log: log, metrics: p.Metrics}
	c.cacheTime.Store(int64(milliseconds(s.Times.KeepMS)))
	c.follower = follower.New(follower.Config{
		Self: catalog.Member{
			ID: s.Instance, Incarnation: c.incarnation, Address: s.EntryAddress, PeerAddress: s.PeerAddress, Region: s.Region, FailureDomain: s.FailureDomain,
			Capacity: capacity(s.Platform), Width: catalog.MinWidth,
		},
		Regions: s.Platform.Regions, Log: log, Scope: c.metrics.Scope, Jitter: rand.Float64,
	}, p.Source)
	c.evidence = evidence.New(evidence.Config{
		Address: s.PeerListenAddress, Incarnation: rand.Uint64(), Peers: c.follower.Peers, Keys: c.follower.Keys,
		ReplyTo:      s.PeerAddress,
		Deliver:      func(sender uint64, records []evidence.Record) { c.entry.ApplyEvidence(sender, records) },
		DeliverQuota: func(m evidence.QuotaMessage) { c.entry.ApplyQuota(m) },
		DeliverLoads: func(m evidence.LoadMessage) { c.entry.ApplyLoads(m) },
		Log:          log, Scope: c.metrics.Scope,
	})
	c.relay = &relay.Server{
		Address: s.PeerListenAddress, MaxConnections: s.Platform.PeerConnections, ChangeLog: c.follower.ChangeLog(), Keys: c.follower.Keys, Logger: log, Scope: c.metrics.Scope,
	}
	s.Times.StopLimitMS = int(s.StopLimit().Milliseconds())
	limits := s.Limits
	limits.CallerConnections = min(limits.CallerConnections, s.Platform.Descriptors/2)
	c.entry = entry.New(entry.Config{
		Instance: s.Instance, Address: s.EntryAddress, Limits: limits, Times: s.Times, Log: log, Scope: c.metrics.Scope,
		Quota:     c.quotaConfig(),
		Placement: placementConfig(s.Platform), Share: c.evidence.Share,
		Upstreams: upstream.Config{Protocol: p.Protocol, MaxConnections: s.Platform.UpstreamConnections, Dial: newDialer(s.Times).DialContext},
	}, c.follower)
	return c
}

// retryShareFraction is the fraction of the fleet's retry share that is used. The
// margin is needed because requests are counted on arrival, and their retries a
// little later, when fewer requests may be arriving.
const retryShareFraction = 0.75

func placementConfig(p *settings.Platform) *entry.Placement {
	return &entry.Placement{
		Model:      placement.DefaultModel(),
		RetryShare: retryShareFraction * p.RetryShare, RetryReserve: float64(p.RetryReserve),
		RemoteCost: *p.RemoteCost, RemoteCostPerKB: *p.RemoteCostPerKB, DomainCostPerKB: *p.DomainCostPerKB,
	}
}

func (c *platformComponents) quotaConfig() *entry.Quota {
	p := c.settings.Platform
	return &entry.Quota{
		Limiter: quota.Config{Window: p.QuotaWindowTime(), Overage: *p.QuotaOverage, Slack: *p.QuotaSlack, Seed: rand.Uint64()},
		Members: c.follower.QuotaMembers, Send: c.evidence.SendQuota,
	}
}

// unacknowledgedTimeout is the time without an acknowledgment of sent bytes after
// which a connection to an upstream counts as lost.
const unacknowledgedTimeout = 2 * time.Second

// newDialer returns the dialer for connections to upstreams.
func newDialer(t settings.Times) *net.Dialer {
	return &net.Dialer{
		Timeout:         milliseconds(t.ConnectMS),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
		Control: func(_, _ string, c syscall.RawConn) error {
			if err := sockbuf.SetReceive(c, upstream.ReceiveBuffer); err != nil {
				return err
			}
			var err error
			if cerr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
			}); cerr != nil {
				return cerr
			}
			return err
		},
	}
}

// children returns the children in the order in which they start.
func (c *platformComponents) children() []supervisor.Child {
	p := c.settings.Platform
	ready := c.platform.ReadinessHandler(c.follower.Ready)
	resolve := c.platform.ResolveHandler(c.locate, func() time.Duration { return time.Duration(c.cacheTime.Load()) })
	settingsFile := &settingsReloader{path: c.platform.SettingsFile, apply: c.applySettings, log: c.log}
	children := []supervisor.Child{
		{Name: "control", Run: c.follower.Run, Essential: true},
		{Name: "watch", Run: c.follower.Watch},
		{Name: "member", Run: c.follower.MaintainRegistration},
		{Name: "settings", Run: settingsFile.run},
		{Name: "evidence", Run: c.evidence.Run},
		{Name: "relay", Run: c.relay.Run},
		{Name: "load", Run: c.watchLoad},
		{Name: "load-reports", Run: c.reportLoads},
		c.endpoint("readiness", p.ReadyAddress, ready, p.MonitorConnections),
		c.endpoint("directory", p.DirectoryAddress, resolve, p.DirectoryConnections),
	}
	if p.MetricsAddress != "" {
		children = append(children, c.endpoint("metrics", p.MetricsAddress, c.metrics.Handler, p.MonitorConnections))
	}
	return append(children, supervisor.Child{Name: "entry", Run: c.entry.Run, Essential: true})
}

// endpoint returns the child that serves a handler beside the entry.
func (c *platformComponents) endpoint(name, address string, h http.Handler, connections int) supervisor.Child {
	server := guard.Server{Name: name, Address: address, Handler: h, Connections: connections, Scope: c.metrics.Scope}
	return supervisor.Child{Name: name, Run: server.Run}
}

// locate returns the entry addresses for callers of a host in a region. If no member
// is known, it returns the address of this instance if it is ready.
func (c *platformComponents) locate(host, region string) []string {
	var addresses []string
	for _, m := range c.follower.Directory().Locate(host, region) {
		addresses = append(addresses, m.Address)
	}
	if len(addresses) == 0 && c.follower.Ready() {
		addresses = []string{c.settings.EntryAddress}
	}
	return addresses
}

// gracefulShutdown waits until ctx is canceled, then makes the instance not ready,
// removes it from the addresses for callers and drains the entry. It returns early
// if the tree has ended.
func (c *platformComponents) gracefulShutdown(ctx, tree context.Context) {
	select {
	case <-ctx.Done():
	case <-tree.Done():
		return
	}
	begin := time.Now()
	c.log.Info("planned_stop", zap.Int("drain_ms", c.settings.Times.DrainMS), zap.Duration("limit", c.settings.StopLimit()))
	c.follower.Leave()
	if err := c.entry.Drain(tree); err != nil {
		c.log.Warn("drain_incomplete", zap.Error(err))
	}
	c.log.Info("drained", zap.Duration("took", time.Since(begin)))
}

func (c *platformComponents) close() {
	if err := c.metrics.Close(); err != nil {
		c.log.Warn("metrics_not_closed", zap.Error(err))
	}
}
