package links

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/coder/websocket"
	"github.com/go-kit/log/level"
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second

	// greaterIDDialDelay is the time that the host with the greater id waits before it dials a new member, so that the other
	// host dials first.
	greaterIDDialDelay = time.Second

	// contactLifetime is the time for which the address of a removed member is still dialled. It covers a connection loss
	// between regions, which can last an hour.
	contactLifetime = 3 * time.Hour

	// selfDialInterval is the time until an address that turned out to be this host is dialled again.
	selfDialInterval = time.Minute

	// idleLinkLifetime is the time after the last call for which a link that was opened for calls is kept.
	idleLinkLifetime = time.Minute
)

// contact is an address to which this host may open a link.
type contact struct {
	address    netip.AddrPort
	seed       bool
	hostID     string                      // Empty until known.
	dataCentre string                      // Empty until known.
	dialling   bool                        // A dial is in progress.
	nextDial   time.Time                   // Earliest time of the next dial.
	lastMember time.Time                   // Last time that the address belonged to a member.
	lastDemand time.Time                   // Last time that a call needed a link to it.
	backoff    *backoff.ExponentialBackOff // Has no jitter; Mesh.jitter adds it.
}

func newContact(address netip.AddrPort) *contact {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minBackoff
	b.MaxInterval = maxBackoff
	b.RandomizationFactor = 0
	b.Reset()
	return &contact{
		address: address,
		backoff: b,
	}
}

// startDials starts the dials that are due and deletes contacts that have expired. The caller holds the lock of the mesh.
func (m *Mesh) startDials(now time.Time) {
	wantedAddresses := m.wantedAddresses(now)
	for address, c := range m.contacts {
		if !wantedAddresses[address] {
			if !c.seed && !c.dialling && now.Sub(c.lastMember) > contactLifetime {
				delete(m.contacts, address)
			}
			continue
		}
		if c.dialling || now.Before(c.nextDial) || m.links[c.hostID] != nil {
			continue
		}
		c.dialling = true
		m.goroutines.Go(func() { m.dial(c) })
	}
}

// wantedAddresses returns the addresses to which this host should have a link. The caller holds the lock of the mesh.
func (m *Mesh) wantedAddresses(now time.Time) map[netip.AddrPort]bool {
	wantedAddresses := map[netip.AddrPort]bool{}
	remote := map[string][]*entry{}
	for id, e := range m.table.members {
		c := m.contactOf(e, now)
		switch {
		case c == nil:
		case now.Sub(c.lastDemand) < idleLinkLifetime:
			wantedAddresses[c.address] = true
		case m.config.RemoteLinks == 0 || e.identity.DataCentre == m.own.DataCentre:
			wantedAddresses[c.address] = true
		case m.links[id] == nil && !e.suspect && (c.dialling || !now.Before(c.nextDial)):
			remote[e.identity.DataCentre] = append(remote[e.identity.DataCentre], e)
		}
	}
	linkCounts := m.linkCounts()
	for dataCentre, list := range remote {
		if linkCounts[dataCentre] < m.config.RemoteLinks {
			wantedAddresses[m.pickByRendezvousHash(list).identity.PeerAddress] = true
		}
	}
	m.addLostAddresses(wantedAddresses, linkCounts)
	return wantedAddresses
}

// addLostAddresses adds the addresses of seeds and of members that were removed without having left. If the links to other
// data centres are limited, it adds one member of each of those at a time.
func (m *Mesh) addLostAddresses(wantedAddresses map[netip.AddrPort]bool, linkCounts map[string]int) {
	remote := map[string]*contact{}
	for address, c := range m.contacts {
		e := m.table.members[c.hostID]
		if e != nil && !e.left && e.identity.PeerAddress == address {
			continue
		}
		if c.seed || m.config.RemoteLinks == 0 || c.dataCentre == m.own.DataCentre {
			wantedAddresses[address] = true
			continue
		}
		if old := remote[c.dataCentre]; old == nil || c.nextDial.Before(old.nextDial) {
			remote[c.dataCentre] = c
		}
	}
	for dataCentre, c := range remote {
		if linkCounts[dataCentre] < m.config.RemoteLinks {
			wantedAddresses[c.address] = true
		}
	}
}

// contactOf returns the contact of a member and creates it if needed. It returns nil, and deletes a contact that is not a
// seed, if the member has left. It returns nil for an address that is invalid or that of this host.
func (m *Mesh) contactOf(e *entry, now time.Time) *contact {
	address := e.identity.PeerAddress
	c := m.contacts[address]
	if e.left {
		if c != nil && !c.seed {
			delete(m.contacts, address)
		}
		return nil
	}
	if !address.IsValid() || address == m.own.PeerAddress {
		return nil
	}
	if c == nil {
		c = newContact(address)
		if m.own.HostID > e.identity.HostID {
			c.nextDial = now.Add(greaterIDDialDelay)
		}
		m.contacts[address] = c
	}
	c.hostID = e.identity.HostID
	c.dataCentre = e.identity.DataCentre
	c.lastMember = now
	return c
}

// pickByRendezvousHash picks a member by rendezvous hashing, so that the hosts of one data centre spread their links over
// the hosts of another.
func (m *Mesh) pickByRendezvousHash(list []*entry) *entry {
	var best *entry
	var highestHash uint64
	for _, e := range list {
		h := xxhash.Sum64String(m.own.HostID + "/" + e.identity.HostID)
		if best == nil || h > highestHash {
			best, highestHash = e, h
		}
	}
	return best
}

// dial opens a link to a contact and serves it until it ends.
func (m *Mesh) dial(c *contact) {
	s, err := m.openSession(m.ctx, c.address)
	var l *link
	if err == nil {
		if l, err = m.addLink(s); err != nil {
			_ = s.conn.CloseNow()
		}
	}
	m.mu.Lock()
	c.dialling = false
	if err == nil {
		c.backoff.Reset()
		c.hostID = s.peer.HostID
		c.dataCentre = s.peer.DataCentre
	}
	c.nextDial = time.Now().Add(m.jitter(c.backoff.NextBackOff()))
	if errors.Is(err, errSelf) {
		c.hostID = m.own.HostID
		c.nextDial = time.Now().Add(selfDialInterval)
	}
	m.mu.Unlock()
	if err != nil {
		m.logDialFailure(c.address, err)
		return
	}
	m.serveLink(l)
}

// logDialFailure counts and logs a failed dial. It warns of faults in the settings, which no retry mends: a wrong secret or
// a host id that is used twice.
func (m *Mesh) logDialFailure(address netip.AddrPort, err error) {
	if m.ctx.Err() != nil {
		return
	}
	m.metrics.dialFailures.Inc(1)
	switch {
	case errors.Is(err, errWrongSecret):
		level.Warn(m.logger).Log("msg", "The fleet secret differs from that of a peer.", "address", address)
	case errors.Is(err, errSelf) && address != m.own.PeerAddress:
		level.Warn(m.logger).Log("msg", "Another process uses the host id of this host.", "address", address)
	default:
		level.Debug(m.logger).Log("msg", "Opening a link failed.", "address", address, "err", err)
	}
}

// jitter returns a random duration, uniform between half and one and a half times d. The caller holds the lock of the mesh.
func (m *Mesh) jitter(d time.Duration) time.Duration {
	factor := 0.5
	if m.config.Random != nil {
		factor += m.config.Random.Float64()
	} else {
		factor += rand.Float64()
	}
	return time.Duration(float64(d) * factor)
}

// openSession dials an address and does the handshake.
func (m *Mesh) openSession(ctx context.Context, address netip.AddrPort) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+address.String()+Path, &websocket.DialOptions{
		HTTPClient: m.client,
	})
	if err != nil {
		return nil, err
	}
	return handshake(ctx, conn, m.dialHandshake)
}

// handshake does one side of the handshake and closes the connection if that fails.
func handshake(
	ctx context.Context, conn *websocket.Conn, exchange func(context.Context, messageConn) (*session, error),
) (*session, error) {
	conn.SetReadLimit(maxHandshakeMessage)
	s, err := exchange(ctx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	s.conn = conn
	return s, nil
}
