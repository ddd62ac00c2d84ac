package node

import (
	"net/netip"
	"time"

	"monsoonhub.example/steer"
)

// lookup returns the hosts that a client of a data centre should use.
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
	return nearest(hosts, region, dataCentre), min(n.current.Load().DirectoryTTL(), directoryKeep)
}

// directoryKeep is the time for which callers keep an answer of the directory, if they may keep it so long: some keep it
// three times as long, and a stopping host serves for some seconds only.
const directoryKeep = 1500 * time.Millisecond

// maxAddresses bounds the addresses of one answer of the directory.
const maxAddresses = 64

// nearest returns the addresses of the hosts of a data centre, else of its region, else of all.
func nearest(hosts []steer.HostEntry, region, dataCentre string) []netip.AddrPort {
	for _, near := range []func(h *steer.HostEntry) bool{
		func(h *steer.HostEntry) bool { return h.DataCentre == dataCentre },
		func(h *steer.HostEntry) bool { return h.Region == region },
		func(*steer.HostEntry) bool { return true },
	} {
		var addresses []netip.AddrPort
		for i := range hosts {
			if near(&hosts[i]) && len(addresses) < maxAddresses {
				addresses = append(addresses, hosts[i].Address)
			}
		}
		if len(addresses) > 0 {
			return addresses
		}
	}
	return nil
}
