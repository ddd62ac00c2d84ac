package node

import (
	"net/netip"
	"slices"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/belief"
)

// lookup returns the addresses of the hosts that a client of a data centre should use, and how long it may keep them.
func (n *Node) lookup(_, region, dataCentre string) ([]netip.AddrPort, time.Duration) {
	view := n.follower.View()
	addresses := n.entryHosts.Addresses(time.Now(), n.entryCandidates(view), view.Plan(), region, dataCentre)
	return addresses, min(n.current.Load().DirectoryTTL(), maxDirectoryTTL)
}

// entryCandidates returns the hosts that the directory may name: the registered ones, and this host while it is ready. It does not
// depend on its own registration, since it serves also while it is cut off from the platform.
func (n *Node) entryCandidates(view *belief.View) []*steer.HostEntry {
	hosts := make([]*steer.HostEntry, 0, len(view.Hosts)+1)
	for i := range view.Hosts {
		if view.Hosts[i].ID != n.settings.HostID {
			hosts = append(hosts, &view.Hosts[i])
		}
	}
	if n.Ready() {
		hosts = append(hosts, &n.ownEntry)
	}
	return hosts
}

// registrationMissing reports whether the platform is known to lack the registration of this process.
func (n *Node) registrationMissing() bool {
	view := n.follower.View()
	return view.Listed && view.Reachable && !slices.ContainsFunc(view.Hosts, func(h steer.HostEntry) bool {
		return h.ID == n.ownEntry.ID && h.Incarnation == n.ownEntry.Incarnation
	})
}

// maxDirectoryTTL bounds the time for which callers are asked to keep an answer of the directory. Some keep it three times as
// long, and a stopping host serves for only a few seconds.
const maxDirectoryTTL = 1500 * time.Millisecond
