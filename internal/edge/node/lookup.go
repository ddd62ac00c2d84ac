package node

import (
	"net/netip"
	"time"

	"monsoonhub.example/steer"
)

// lookup returns the addresses of the hosts that a client of a data centre should use, and how long it may keep them.
func (n *Node) lookup(_, region, dataCentre string) ([]netip.AddrPort, time.Duration) {
	view := n.follower.View()
	hosts := make([]steer.HostEntry, 0, len(view.Hosts)+1)
	for _, host := range view.Hosts {
		if host.ID != n.settings.HostID {
			hosts = append(hosts, host)
		}
	}
	if n.Ready() {
		hosts = append(hosts, steer.HostEntry{
			ID:         n.settings.HostID,
			DataCentre: n.settings.DataCentre,
			Region:     n.settings.Region,
			Address:    n.settings.Listen,
		})
	}
	return nearestAddresses(hosts, region, dataCentre), min(n.current.Load().DirectoryTTL(), maxDirectoryTTL)
}

// maxDirectoryTTL bounds the time for which callers are asked to keep an answer of the directory. Some keep it three times as
// long, and a stopping host serves for only a few seconds.
const maxDirectoryTTL = 1500 * time.Millisecond

// maxAddresses bounds the addresses in an answer of the directory.
const maxAddresses = 64

// nearestAddresses returns the addresses of the hosts in a data centre. If there are none it returns those in the region, else
// those of all hosts.
func nearestAddresses(hosts []steer.HostEntry, region, dataCentre string) []netip.AddrPort {
	for _, matches := range []func(h *steer.HostEntry) bool{
		func(h *steer.HostEntry) bool { return h.DataCentre == dataCentre },
		func(h *steer.HostEntry) bool { return h.Region == region },
		func(*steer.HostEntry) bool { return true },
	} {
		var addresses []netip.AddrPort
		for i := range hosts {
			if matches(&hosts[i]) && len(addresses) < maxAddresses {
				addresses = append(addresses, hosts[i].Address)
			}
		}
		if len(addresses) > 0 {
			return addresses
		}
	}
	return nil
}
