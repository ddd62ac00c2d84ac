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

// heard takes what another host tells.
func (n *Node) heard(now time.Time, news gossip.PeerStatus) {
	if news.Leaving {
		n.quotas.RemovePeer(now, news.PeerID)
		return
	}
	if news.PeerID != "" {
		n.quotas.Receive(now, news.ReportedAt, news.PeerID, news.Usage)
	}
	if !news.PlatformReachable {
		return
	}
	hint := belief.Hint{
		ReachableSince: now.Add(-news.Hint.ReachableFor),
		Emptied:        news.Hint.Emptied,
		Cold:           make(map[string]time.Time, len(news.Hint.Cold)),
	}
	for id, left := range news.Hint.Cold {
		hint.Cold[id] = now.Add(left)
	}
	n.follower.ApplyHint(now, hint)
}

// relay tells the other hosts of the data centre what this one watched.
func (n *Node) relay(c steer.Changes) {
	if teller := n.teller.Load(); teller != nil {
		teller.Relay(c)
	}
}

// changes takes what another host of the data centre watched. The first one by id watches for the others.
func (n *Node) changes(now time.Time, from string, c steer.Changes) {
	n.follower.ApplyRelayed(now, from < n.settings.HostID, c)
}

// setPeers hands the other hosts to the quotas: each other data centre as a whole, and the hosts of the own one as they report.
func (n *Node) setPeers(now time.Time, view *belief.View) {
	grouped := gossip.UsesLeaders(1 + len(mates(view.Hosts, &n.settings)))
	peers := peersOf(view.Hosts, &n.settings, grouped)
	n.quotas.SetPeers(now, peers, view.LastContact)
	if grouped == n.grouped {
		return
	}
	n.grouped = grouped
	// Those that reported otherwise before leave nothing behind.
	for _, old := range peersOf(view.Hosts, &n.settings, !grouped) {
		if !slices.ContainsFunc(peers, func(p share.Peer) bool { return p.ID == old.ID }) {
			n.quotas.RemovePeer(now, old.ID)
		}
	}
}

// mates returns the other hosts of the own data centre.
func mates(hosts []steer.HostEntry, s *setup.Settings) []steer.HostEntry {
	var list []steer.HostEntry
	for _, host := range hosts {
		if host.ID != s.HostID && host.DataCentre == s.DataCentre {
			list = append(list, host)
		}
	}
	return list
}

func peersOf(hosts []steer.HostEntry, s *setup.Settings, grouped bool) []share.Peer {
	var peers []share.Peer
	centres := map[string]int{}
	for _, host := range hosts {
		switch {
		case host.ID == s.HostID:
		case host.DataCentre == s.DataCentre && !grouped:
			peers = append(peers, share.Peer{
				ID:    host.ID,
				Hosts: 1,
			})
		default:
			centres[host.DataCentre]++
		}
	}
	for name, count := range centres {
		peers = append(peers, share.Peer{
			ID:    gossip.DataCentrePeerID(name),
			Hosts: count,
		})
	}
	return peers
}

// hint returns what this host can tell those that do not reach the platform.
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
	for id, till := range known.Cold {
		hint.Cold[id] = till.Sub(now)
	}
	return hint, true
}
