package node

import (
	"time"

	"golang.org/x/sys/unix"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/entry"
	"monsoonhub.example/steer/internal/peer/gossip"
)

// updateEntryHosts measures the load of this host and decides which hosts of its data centre the directory names. It returns the load
// that is reported to other hosts, and false if none is.
func (n *Node) updateEntryHosts(now time.Time) (steer.HostLoad, bool) {
	received, sent := n.traffic.Bytes()
	own := n.load.Add(entry.Sample{
		At:       now,
		Received: received,
		Sent:     sent,
		CPU:      processorTime(),
	})
	view := n.follower.View()
	return n.entryHosts.Update(now, n.entryCandidates(view), view.Plan(), own)
}

// receiveLoad records the load of another host.
func (n *Node) receiveLoad(at time.Time, r gossip.LoadReport) {
	n.entryHosts.Receive(at, r.DataCentre, r.Host, r.Load)
}

// processorTime returns the processor time that this process has used, or 0 if the system does not tell.
func processorTime() time.Duration {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
