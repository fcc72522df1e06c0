package instance

import (
	"context"
	"time"

	"knapweedreel/internal/catalog"
	"knapweedreel/internal/settings"
)

// Capacity of an instance, in requests per second.
const (
	// requestsPerCore is the capacity of one core. A request takes about 1.5 ms of
	// CPU time, including its share of all other work of the instance.
	requestsPerCore = 600
	// requestsPerMbps is the capacity of each Mbit/s of the link. It assumes an
	// average body of 8 KiB in each direction, and leaves half of the link for
	// bursts.
	requestsPerMbps = 8
)

// capacity returns the requests per second that an instance can serve.
func capacity(p *settings.Platform) float64 {
	return min(p.Cores*requestsPerCore, p.LinkMbps*requestsPerMbps)
}

const (
	// loadInterval is the time between measurements of the load.
	loadInterval = time.Second
	// shrinkAfter is the number of consecutive measurements that must call for
	// a smaller width before it is lowered.
	shrinkAfter = 15
)

// watchLoad measures the load and publishes the width: the number of instances among
// which the callers of the region should be spread.
func (c *platformComponents) watchLoad(ctx context.Context) error {
	ticks := time.NewTicker(loadInterval)
	defer ticks.Stop()
	last, width, lowerCount := c.entry.Requests(), catalog.MinWidth, 0
	maxRate := capacity(c.settings.Platform)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
		}
		now := c.entry.Requests()
		rate := float64(now-last) / loadInterval.Seconds()
		last = now
		current := max(width, c.follower.Directory().Width(c.settings.Region))
		switch next := catalog.Width(current, rate, maxRate); {
		case next > current:
			width, lowerCount = next, 0
			c.follower.SetWidth(width)
		case next < width:
			if lowerCount++; lowerCount >= shrinkAfter {
				width, lowerCount = next, 0
				c.follower.SetWidth(width)
			}
		default:
			lowerCount = 0
		}
	}
}

// reportLoads sends the load of this region to the instances of other regions.
func (c *platformComponents) reportLoads(ctx context.Context) error {
	ticks := time.NewTicker(loadInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
		}
		if peers := c.follower.LoadPeers(); len(peers) > 0 {
			c.evidence.SendLoads(peers, c.settings.Region, c.entry.LoadReports())
		}
	}
}
