package instance

import (
	"context"
	"time"

	"knapweedreel/internal/catalog"
	"knapweedreel/internal/settings"
)

// Capacity of an instance in requests per second.
const (
	// perCore is what one core serves, by the processor time of a request, about
	// 1.5 ms with its part of all else that the instance does.
	perCore = 600
	// perMbps is what each Mbit/s of the link serves, with bodies of 8 KiB on
	// average in both directions and half of the link left for bursts.
	perMbps = 8
)

// capacity returns the requests per second that an instance can serve.
func capacity(p *settings.Platform) float64 {
	return min(p.Cores*perCore, p.LinkMbps*perMbps)
}

const (
	// loadInterval is the time between measurements of the load.
	loadInterval = time.Second
	// narrowAfter is the number of measurements in a row that call for fewer
	// instances before callers are spread among fewer.
	narrowAfter = 15
)

// watchLoad publishes among how many instances the callers of the region should
// be spread.
func (n *platformParts) watchLoad(ctx context.Context) error {
	ticks := time.NewTicker(loadInterval)
	defer ticks.Stop()
	last, width, narrow := n.entry.Requests(), catalog.MinWidth, 0
	most := capacity(n.settings.Platform)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
		}
		now := n.entry.Requests()
		rate := float64(now-last) / loadInterval.Seconds()
		last = now
		current := max(width, n.follower.Directory().Width(n.settings.Region))
		switch next := catalog.Width(current, rate, most); {
		case next > current:
			width, narrow = next, 0
			n.follower.SetWidth(width)
		case next < width:
			if narrow++; narrow >= narrowAfter {
				width, narrow = next, 0
				n.follower.SetWidth(width)
			}
		default:
			narrow = 0
		}
	}
}
