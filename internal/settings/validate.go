package settings

import (
	"fmt"
	"time"

	"knapweedreel/internal/jsonc"
)

// Ranges of fields. The minimum header size must fit an ordinary request, and
// the maximum values keep a small instance from running out of memory.
const (
	minHeaderBytes  = 1 << 10
	maxHeaderBytes  = 1 << 20
	maxBufferBytes  = 16 << 20
	minCallerMemory = 1 << 20
	maxCallerMemory = 1 << 40
	maxConnections  = 1_000_000
	maxExplanations = 1_000_000
	minCores        = 0.01
	maxCores        = 1_000
	minMemoryMB     = 32
	minLinkMbps     = 0.1
	minDescriptors  = 64
	maxQuotaOverage = 10

	// Tokens move between instances within fractions of a second.
	minQuotaWindow = time.Second
	maxQuotaWindow = time.Hour
)

// Validate returns the problems of normalized settings. They contain the path of
// the field, without file and line.
func (s *Settings) Validate() []jsonc.Problem {
	var p jsonc.Problems
	p.CheckName("instance", s.Instance)
	p.CheckName("region", s.Region)
	p.CheckName("failure_domain", s.FailureDomain)
	p.CheckAddress("entry_address", s.EntryAddress)
	p.CheckAddress("store_address", s.StoreAddress)
	p.CheckAddress("peer_address", s.PeerAddress)
	if s.PeerListenAddress != s.PeerAddress {
		p.CheckAddress("peer_listen_address", s.PeerListenAddress)
	}
	if s.Platform != nil {
		s.Platform.validate(&p)
	} else {
		s.validateStandalone(&p)
	}
	s.Limits.validate(&p)
	s.Times.validate(&p)
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		p.Add("log_level", "is %q, want \"debug\", \"info\", \"warn\" or \"error\"", s.LogLevel)
	}
	return p
}

// validateStandalone checks the settings of an instance without Platform.
func (s *Settings) validateStandalone(p *jsonc.Problems) {
	for i, peer := range s.InitialPeers {
		p.CheckName(fmt.Sprintf("initial_peers[%d].instance", i), peer.Instance)
		p.CheckAddress(fmt.Sprintf("initial_peers[%d].peer_address", i), peer.PeerAddress)
	}
	p.CheckAddress("admin_address", s.AdminAddress)
	if s.ListAddress != s.StoreAddress {
		p.CheckAddress("list_address", s.ListAddress)
	}
	if s.EntryAddress != "" && s.EntryAddress == s.AdminAddress {
		p.Add("admin_address", "is the same as entry_address")
	}
	s.Keys.validate(p)
}

func (platform *Platform) validate(p *jsonc.Problems) {
	p.CheckAddress("platform.ready_address", platform.ReadyAddress)
	p.CheckAddress("platform.directory_address", platform.DirectoryAddress)
	if platform.MetricsAddress != "" {
		p.CheckAddress("platform.metrics_address", platform.MetricsAddress)
	}
	jsonc.CheckRange(p, "platform.cores", platform.Cores, minCores, maxCores)
	jsonc.CheckRange(p, "platform.memory_mb", platform.MemoryMB, minMemoryMB, maxConnections)
	jsonc.CheckRange(p, "platform.link_mbps", platform.LinkMbps, minLinkMbps, maxConnections)
	jsonc.CheckRange(p, "platform.descriptors", platform.Descriptors, minDescriptors, 10*maxConnections)
	jsonc.CheckRange(p, "platform.upstream_connections", platform.UpstreamConnections, 1, 10*maxConnections)
	jsonc.CheckRange(p, "platform.directory_connections", platform.DirectoryConnections, 1, maxConnections)
	jsonc.CheckRange(p, "platform.peer_connections", platform.PeerConnections, 1, maxConnections)
	jsonc.CheckRange(p, "platform.monitor_connections", platform.MonitorConnections, 1, maxConnections)
	jsonc.CheckRange(p, "platform.retry_share", platform.RetryShare, 0, 1)
	jsonc.CheckRange(p, "platform.retry_reserve", platform.RetryReserve, 0, maxConnections)
	if d, err := time.ParseDuration(platform.QuotaWindow); err != nil || d < minQuotaWindow || d > maxQuotaWindow {
		p.Add("platform.quota_window", "is %q, must be a number with the unit ms or s, %v to %v", platform.QuotaWindow, minQuotaWindow, maxQuotaWindow)
	}
	if v := platform.QuotaOverage; v != nil {
		jsonc.CheckRange(p, "platform.quota_overage", *v, 0, maxQuotaOverage)
	}
	if v := platform.QuotaSlack; v != nil {
		jsonc.CheckRange(p, "platform.quota_slack", *v, 0, maxConnections)
	}
	for field, v := range map[string]*float64{
		"platform.remote_cost": platform.RemoteCost, "platform.remote_cost_per_kb": platform.RemoteCostPerKB,
		"platform.domain_cost_per_kb": platform.DomainCostPerKB,
	} {
		if v != nil {
			jsonc.CheckRange(p, field, *v, 0, 1)
		}
	}
	if platform.StopTime != "" {
		if d, err := time.ParseDuration(platform.StopTime); err != nil || d <= 0 {
			p.Add("platform.stop_time", "is %q, must be a number with the unit ms or s", platform.StopTime)
		}
	}
}

func (k *Keys) validate(p *jsonc.Problems) {
	checkFile(p, "keys.certificate_file", k.CertificateFile)
	checkFile(p, "keys.key_file", k.KeyFile)
	checkFile(p, "keys.authority_file", k.AuthorityFile)
}

func (l *Limits) validate(p *jsonc.Problems) {
	jsonc.CheckRange(p, "limits.caller_connections", l.CallerConnections, 1, maxConnections)
	jsonc.CheckRange(p, "limits.header_bytes", l.HeaderBytes, minHeaderBytes, maxHeaderBytes)
	jsonc.CheckRange(p, "limits.buffered_answer_bytes", l.BufferedAnswerBytes, 1, maxBufferBytes)
	jsonc.CheckRange(p, "limits.buffered_body_bytes", l.BufferedBodyBytes, 1, maxBufferBytes)
	jsonc.CheckRange(p, "limits.caller_memory_bytes", l.CallerMemoryBytes, minCallerMemory, maxCallerMemory)
	jsonc.CheckRange(p, "limits.explanations", l.Explanations, 1, maxExplanations)
}

func (t *Times) validate(p *jsonc.Problems) {
	for _, f := range []struct {
		field string
		value int
	}{
		{"times.header_ms", t.HeaderMS},
		{"times.stall_ms", t.StallMS},
		{"times.slot_stall_ms", t.SlotStallMS},
		{"times.memory_wait_ms", t.MemoryWaitMS},
		{"times.connect_ms", t.ConnectMS},
		{"times.store_ms", t.StoreMS},
		{"times.heartbeat_ms", t.HeartbeatMS},
		{"times.peer_timeout_ms", t.PeerTimeoutMS},
		{"times.lease_ms", t.LeaseMS},
		{"times.keep_ms", t.KeepMS},
		{"times.drain_ms", t.DrainMS},
		{"times.quiet_limit_ms", t.QuietLimitMS},
		{"times.stop_limit_ms", t.StopLimitMS},
	} {
		jsonc.CheckRange(p, f.field, f.value, 1, jsonc.MaxTimeMS)
	}
	t.validateOrder(p)
}

// validateOrder checks times that depend on each other.
func (t *Times) validateOrder(p *jsonc.Problems) {
	if t.DrainMS < t.KeepMS {
		p.Add("times.drain_ms", "is %d, must be at least keep_ms (%d): callers may cache the address for that long", t.DrainMS, t.KeepMS)
	}
	if t.PeerTimeoutMS < 2*t.HeartbeatMS {
		p.Add("times.peer_timeout_ms", "is %d, must be at least twice heartbeat_ms (%d): one lost heartbeat must not end a link", t.PeerTimeoutMS, t.HeartbeatMS)
	}
	if t.LeaseMS < 2*t.StoreMS {
		p.Add("times.lease_ms", "is %d, must be at least twice store_ms (%d): a renewal may need a retry", t.LeaseMS, t.StoreMS)
	}
}

func checkFile(p *jsonc.Problems, field, name string) {
	if name == "" {
		p.Add(field, "is missing")
	}
}
