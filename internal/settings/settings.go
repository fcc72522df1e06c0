// Package settings defines the settings of one instance, a JSON file with
// comments. Load reports all problems of a file at once.
package settings

import "time"

// Settings are the settings of one instance. Addresses are IP:port.
type Settings struct {
	// Instance is the instance's name, unique within the fleet. It must equal
	// the name in the instance's certificate.
	Instance string `json:"instance"`
	// Region is the instance's region.
	Region string `json:"region"`
	// FailureDomain is the instance's failure domain.
	FailureDomain string `json:"failure_domain"`
	// EntryAddress is the address to which callers connect (TCP, HTTP).
	EntryAddress string `json:"entry_address"`
	// PeerAddress is the address to which other instances connect (UDP, QUIC).
	// If Platform is set, other instances send evidence to it (UDP) instead.
	PeerAddress string `json:"peer_address"`
	// PeerListenAddress is the local address on which this instance listens for
	// other instances if packets to PeerAddress are forwarded to it. Default:
	// PeerAddress.
	PeerListenAddress string `json:"peer_listen_address"`
	// InitialPeers are instances to connect to before the platform's instance
	// list has been read. With them, an instance can start while the list is
	// unavailable. Default none.
	InitialPeers []InitialPeer `json:"initial_peers"`
	// AdminAddress is the address to which operators connect (TCP, HTTPS).
	AdminAddress string `json:"admin_address"`
	// StoreAddress is the address of the platform's key-value store.
	StoreAddress string `json:"store_address"`
	// ListAddress is the address of the platform's instance list. Default:
	// StoreAddress.
	ListAddress string `json:"list_address"`
	// Keys are the files for mutual authentication.
	Keys Keys `json:"keys"`
	// Limits bound memory and connections.
	Limits Limits `json:"limits"`
	// Times are timeouts and intervals.
	Times Times `json:"times"`
	// Platform makes the instance run on a platform that provides a store and the
	// registrations of upstreams. Initial peers, keys, the admin address and
	// documents are not used then. Default none.
	Platform *Platform `json:"platform,omitempty"`
	// LogLevel is "debug", "info" (default), "warn" or "error".
	LogLevel string `json:"log_level"`
}

// Platform contains the addresses and resource limits of an instance on a
// platform.
type Platform struct {
	// ReadyAddress is the listen address of the readiness check.
	ReadyAddress string `json:"ready_address"`
	// DirectoryAddress is the listen address of the directory, which returns to
	// callers the instance addresses to use.
	DirectoryAddress string `json:"directory_address"`
	// MetricsAddress is the listen address of the metrics. Default none.
	MetricsAddress string `json:"metrics_address"`
	// Regions maps failure domains to regions.
	Regions map[string]string `json:"regions"`
	// Cores is the CPU limit of the instance, in cores. Default 1.
	Cores float64 `json:"cores"`
	// MemoryMB is the memory limit of the instance, in MB. Default 256.
	MemoryMB int `json:"memory_mb"`
	// LinkMbps is the network bandwidth of the instance, in Mbit/s. Default
	// 1,000.
	LinkMbps float64 `json:"link_mbps"`
	// Descriptors is the maximum number of open sockets and files. At most half
	// of them are used for caller connections. Default 4,096.
	Descriptors int `json:"descriptors"`
	// DirectoryConnections is the maximum number of connections to
	// DirectoryAddress. At this number, an idle one or one without progress is
	// closed for a new one. Default a sixteenth of Descriptors.
	DirectoryConnections int `json:"directory_connections"`
	// PeerConnections is the same for other instances' connections to PeerAddress.
	// Those of instances that have authenticated are kept. It must exceed the number
	// of instances in a failure domain. Default an eighth of Descriptors, at most 512.
	PeerConnections int `json:"peer_connections"`
	// MonitorConnections is the same for ReadyAddress and for MetricsAddress.
	// Default 16.
	MonitorConnections int `json:"monitor_connections"`
	// UpstreamConnections is the maximum number of open connections to all
	// upstreams, of which one service gets three quarters. Default what Descriptors
	// leaves: less 200 for files, a half for callers, the limits of the other
	// listeners and 16 for the store; at least 16.
	UpstreamConnections int `json:"upstream_connections"`
	// RetryShare is the fleet's retry budget: the share of a service's requests
	// that may be sent to a second upstream. Default 0.1.
	RetryShare float64 `json:"retry_share"`
	// RetryReserve is the number of requests that the fleet may send to a second
	// upstream at once beyond RetryShare. Default 10.
	RetryReserve int `json:"retry_reserve"`
	// QuotaWindow, QuotaOverage and QuotaSlack are the tolerances of the limits of
	// client accounts: in each window, a number with the unit "ms" or "s", an
	// account's requests are at most (rate × window + burst) × (1 + overage) + slack.
	// Defaults 5s, 0.1 and 20.
	QuotaWindow  string   `json:"quota_window"`
	QuotaOverage *float64 `json:"quota_overage"`
	QuotaSlack   *float64 `json:"quota_slack"`
	// RemoteCost is the cost of a request to another region, and RemoteCostPerKB that
	// of each KiB of the request and the response, as a probability of failure:
	// requests leave their region if that lowers the risk to fail, or the wait as a
	// share of the latency objective, by more. Links between regions are slow and
	// billed by volume. Defaults 0.05 and 0.02.
	RemoteCost      *float64 `json:"remote_cost"`
	RemoteCostPerKB *float64 `json:"remote_cost_per_kb"`
	// DomainCostPerKB is the same for each KiB to another failure domain of the
	// region. Default 0.0025, an eighth of the cost between regions.
	DomainCostPerKB *float64 `json:"domain_cost_per_kb"`
	// StopTime is the time from SIGTERM until the process is killed, a number with
	// the unit "ms" or "s". Requests in flight may complete until shortly before. If
	// it is set, it replaces times.stop_limit_ms. Default none.
	StopTime string `json:"stop_time"`
}

// QuotaWindowTime returns QuotaWindow, of which validation has rejected unsound
// values.
func (p *Platform) QuotaWindowTime() time.Duration {
	d, _ := time.ParseDuration(p.QuotaWindow)
	return d
}

// stopMargin is the time at the end of StopTime for the last responses and the
// process's exit.
const stopMargin = 450 * time.Millisecond

// minStopLimit is the minimum time for requests in flight to complete.
const minStopLimit = 500 * time.Millisecond

// StopLimit returns the maximum time after the drain time for requests in flight
// to complete.
func (s *Settings) StopLimit() time.Duration {
	if s.Platform != nil {
		// Validation has rejected other values.
		if total, err := time.ParseDuration(s.Platform.StopTime); err == nil && total > 0 {
			return max(minStopLimit, total-stopMargin-time.Duration(s.Times.DrainMS)*time.Millisecond)
		}
	}
	return time.Duration(s.Times.StopLimitMS) * time.Millisecond
}

// InitialPeer is an instance known from the settings.
type InitialPeer struct {
	// Instance is the peer's name, as in its certificate.
	Instance string `json:"instance"`
	// PeerAddress is the address on which the peer listens (UDP, QUIC), IP:port.
	PeerAddress string `json:"peer_address"`
}

// Keys are the paths of PEM files. They are read at start.
type Keys struct {
	// CertificateFile contains this instance's certificate.
	CertificateFile string `json:"certificate_file"`
	// KeyFile contains the certificate's private key.
	KeyFile string `json:"key_file"`
	// AuthorityFile contains the certificates of the trusted authorities. During
	// a key rotation it contains the old and the new authority.
	AuthorityFile string `json:"authority_file"`
}

// Limits bound the memory and connections that callers and upstreams can use at
// an instance.
type Limits struct {
	// CallerConnections is the maximum number of caller connections.
	// Default 4,096.
	CallerConnections int `json:"caller_connections"`
	// HeaderBytes is the maximum size of a request or response header.
	// Default 32 KiB.
	HeaderBytes int `json:"header_bytes"`
	// BufferedAnswerBytes is the size up to which a response is buffered
	// completely before its first byte is sent to the caller. With a larger
	// value, longer responses can be retried, at the cost of memory per request.
	// Default 64 KiB.
	BufferedAnswerBytes int `json:"buffered_answer_bytes"`
	// BufferedBodyBytes is the size up to which a request body is buffered for a
	// retry. Default 64 KiB.
	BufferedBodyBytes int `json:"buffered_body_bytes"`
	// CallerMemoryBytes is the memory for callers' connections, request bodies and
	// responses. When it is short, requests wait for it and are then refused.
	// Default 0.35 of Platform.MemoryMB, 256 MiB without a platform.
	CallerMemoryBytes int `json:"caller_memory_bytes"`
	// Explanations is the number of requests and the number of decisions that
	// are stored for the explain command. Default 1,024.
	Explanations int `json:"explanations"`
}

// Times are timeouts and intervals, in milliseconds.
type Times struct {
	// HeaderMS is the timeout for receiving a caller's request header, and for
	// idle caller connections. Default 30,000.
	HeaderMS int `json:"header_ms"`
	// StallMS is the time without progress after which a caller's request may be
	// ended if others need its memory. Default 1,000.
	StallMS int `json:"stall_ms"`
	// SlotStallMS is the time in which a request that has an upstream's slot must
	// receive or write 16 KiB if others wait for one. After it, a body that can't
	// arrive before the deadline at its present rate is ended as well. A shorter
	// time frees slots sooner, but ends the uploads of callers that pause. Default
	// 4 times StallMS.
	SlotStallMS int `json:"slot_stall_ms"`
	// MemoryWaitMS is the maximum time for which a request body waits for memory.
	// Default 2,000.
	MemoryWaitMS int `json:"memory_wait_ms"`
	// ConnectMS is the timeout for connecting to an upstream. Default 1,000.
	ConnectMS int `json:"connect_ms"`
	// StoreMS is the timeout of a call to the store. Default 2,000.
	StoreMS int `json:"store_ms"`
	// HeartbeatMS is the interval of heartbeats on a link. A shorter interval
	// detects lost peers earlier, at the cost of bandwidth. Default 1,000.
	HeartbeatMS int `json:"heartbeat_ms"`
	// PeerTimeoutMS is the time without a heartbeat after which a peer is
	// considered lost. Default 3,000.
	PeerTimeoutMS int `json:"peer_timeout_ms"`
	// LeaseMS is the duration of the shard's lease. Default 15,000.
	LeaseMS int `json:"lease_ms"`
	// KeepMS is the cache time (TTL) of the addresses that callers resolve.
	// Default 10,000.
	KeepMS int `json:"keep_ms"`
	// DrainMS is the time for which an instance continues to accept requests
	// during graceful shutdown. At least KeepMS. Default KeepMS + 2,000.
	DrainMS int `json:"drain_ms"`
	// QuietLimitMS is the maximum time after DrainMS for which an instance
	// continues to accept requests during graceful shutdown while callers still
	// send them. A shorter time cuts off callers that cache the address for
	// longer than KeepMS; they switch to another address when their connection
	// is refused. Default DrainMS.
	QuietLimitMS int `json:"quiet_limit_ms"`
	// StopLimitMS is the maximum time after DrainMS for requests in flight to
	// complete. Default 120,000.
	StopLimitMS int `json:"stop_limit_ms"`
}
