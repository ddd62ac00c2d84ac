package entry

import (
	"time"

	"monsoonhub.example/steer"
)

const (
	// meterWindow is the time over which the load of a host is measured. It spans several rounds of messages, so that one response of
	// 90 KB on a link of 10 Mbit/s, which takes 72 ms, does not make the host look loaded.
	meterWindow = time.Second

	// maxShare bounds a measured share. Bytes that the kernel has taken and that wait for the link count as sent, so a share can
	// exceed 1 for a moment.
	maxShare = 4
)

// Sample holds what a process has used since its start.
type Sample struct {
	At       time.Time
	Received int64         // Bytes.
	Sent     int64         // Bytes.
	CPU      time.Duration // Processor time.
}

// Meter derives the load of a host from samples. It is not safe for concurrent use.
type Meter struct {
	linkMbps float64
	cores    float64
	samples  []Sample // Oldest first; the first one is at least meterWindow old, if any is.
}

// NewMeter returns the meter of a host with a link and a number of cores. If one of them is 0, for unknown, its share in use is 0.
func NewMeter(linkMbps, cores float64) *Meter {
	return &Meter{
		linkMbps: linkMbps,
		cores:    cores,
	}
}

// Add adds a sample and returns the load since the last one that is at least meterWindow old, or since the oldest one. A link counts
// in the direction that is used more.
func (m *Meter) Add(s Sample) steer.HostLoad {
	m.samples = append(m.samples, s)
	for len(m.samples) > 2 && s.At.Sub(m.samples[1].At) >= meterWindow {
		m.samples = m.samples[1:]
	}
	first := m.samples[0]
	elapsed := s.At.Sub(first.At).Seconds()
	if elapsed <= 0 {
		return steer.HostLoad{}
	}
	bytes := max(s.Received-first.Received, s.Sent-first.Sent)
	return steer.HostLoad{
		Link: share(float64(bytes)*8/1e6/elapsed, m.linkMbps),
		CPU:  share((s.CPU-first.CPU).Seconds()/elapsed, m.cores),
	}
}

// share returns the share of a capacity that is in use, or 0 if the capacity is unknown.
func share(used, capacity float64) float64 {
	if !(capacity > 0) {
		return 0
	}
	return min(max(used/capacity, 0), maxShare)
}
