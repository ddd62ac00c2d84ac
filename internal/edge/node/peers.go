package node

import (
	"slices"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/belief"
	"monsoonhub.example/steer/internal/edge/setup"
	"monsoonhub.example/steer/internal/peer/gossip"
	"monsoonhub.example/steer/internal/quota/share"
)

// handlePeerStatus passes the report of another host or data centre to the quotas and the follower.
func (n *Node) handlePeerStatus(now time.Time, status gossip.PeerStatus) {
	if status.Leaving {
		n.quotas.RemovePeer(now, status.PeerID)
		return
	}
	if status.PeerID != "" {
		n.quotas.Receive(now, status.ReportedAt, status.PeerID, status.Usage)
	}
	if n.demand.Update(now, n.demandByRegion) {
		n.placer.SetDemand(n.demand.Fractions())
	}
	if !status.PlatformReachable {
		return
	}
	hint := belief.Hint{
		ReachableSince: now.Add(-status.Hint.ReachableFor),
		Emptied:        status.Hint.Emptied,
		Cold:           make(map[string]time.Time, len(status.Hint.Cold)),
	}
	for id, left := range status.Hint.Cold {
		hint.Cold[id] = now.Add(left)
	}
	n.follower.ApplyHint(now, hint)
}

// demandByRegion returns the present requests per second of the regions that this host hears.
func (n *Node) demandByRegion() map[string]float64 {
	rates := map[string]float64{}
	for id, rate := range n.quotas.DemandByPeer() {
		rates[n.regionOfPeer(id)] += rate
	}
	return rates
}

// regionOfPeer returns the region of a data centre that reports as a whole. Any other peer is a host of this data centre.
func (n *Node) regionOfPeer(id string) string {
	for dataCentre, region := range n.settings.Regions {
		if id == gossip.DataCentrePeerID(dataCentre) {
			return region
		}
	}
	return n.settings.Region
}

// relayChanges sends changes that this host watched to the other hosts of the data centre.
func (n *Node) relayChanges(c steer.Changes) {
	if gossiper := n.gossiper.Load(); gossiper != nil {
		gossiper.Relay(c)
	}
}

// handleChanges applies changes that another host of the data centre watched. The first host by id watches for the others.
func (n *Node) handleChanges(now time.Time, from string, c steer.Changes) {
	if n.follower.ApplyRelayed(now, from < n.settings.HostID, c) {
		n.gossiper.Load().AskListing(from)
	}
}

// answerWithListing sends all that this host knows to a host of the data centre that asked for it.
func (n *Node) answerWithListing(host string) {
	if listing, ok := n.follower.Listing(); ok {
		n.gossiper.Load().Answer(host, listing)
	}
}

// setPeers passes the peers of this host to the quotas: each other data centre as a whole, and the hosts of this data centre
// one by one or, if they report through leaders, as a whole.
func (n *Node) setPeers(now time.Time, view *belief.View) {
	usesLeaders := gossip.UsesLeaders(1 + len(localHosts(view.Hosts, &n.settings)))
	peers := quotaPeers(view.Hosts, &n.settings, usesLeaders)
	n.quotas.SetPeers(now, peers, view.LastContact)
	if usesLeaders == n.usesLeaders {
		return
	}
	n.usesLeaders = usesLeaders
	// The peers that the previous way of reporting had must not count in addition to the new ones.
	for _, old := range quotaPeers(view.Hosts, &n.settings, !usesLeaders) {
		if !slices.ContainsFunc(peers, func(p share.Peer) bool { return p.ID == old.ID }) {
			n.quotas.RemovePeer(now, old.ID)
		}
	}
}

// localHosts returns the other hosts of this host's data centre.
func localHosts(hosts []steer.HostEntry, s *setup.Settings) []steer.HostEntry {
	var list []steer.HostEntry
	for _, host := range hosts {
		if host.ID != s.HostID && host.DataCentre == s.DataCentre {
			list = append(list, host)
		}
	}
	return list
}

// quotaPeers returns the peers of this host for the quotas. With leaders, the hosts of this data centre are one peer.
func quotaPeers(hosts []steer.HostEntry, s *setup.Settings, usesLeaders bool) []share.Peer {
	var peers []share.Peer
	hostCounts := map[string]int{}
	for _, host := range hosts {
		switch {
		case host.ID == s.HostID:
		case host.DataCentre == s.DataCentre && !usesLeaders:
			peers = append(peers, share.Peer{
				ID:    host.ID,
				Hosts: 1,
			})
		default:
			hostCounts[host.DataCentre]++
		}
	}
	for name, count := range hostCounts {
		peers = append(peers, share.Peer{
			ID:    gossip.DataCentrePeerID(name),
			Hosts: count,
		})
	}
	return peers
}

// hint returns the hint for hosts that are cut off from the platform. It reports false if this host is cut off as well.
func (n *Node) hint(now time.Time) (gossip.Hint, bool) {
	view := n.follower.View()
	if !view.Reachable {
		return gossip.Hint{}, false
	}
	known := view.Hint(now)
	hint := gossip.Hint{
		ReachableFor: now.Sub(known.ReachableSince),
		Emptied:      known.Emptied,
		Cold:         make(map[string]time.Duration, len(known.Cold)),
	}
	for id, until := range known.Cold {
		hint.Cold[id] = until.Sub(now)
	}
	return hint, true
}
