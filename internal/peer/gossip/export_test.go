package gossip

import (
	"time"

	"monsoonhub.example/steer"
)

// AdmissionSize returns the bytes of a message with reports on admission and nothing else.
func AdmissionSize(reports []steer.AdmissionReport) (int, error) {
	data, err := encode(&message{
		AdmissionSum: toWireAdmission(reports),
	})
	return len(data), err
}

// Receive handles the bytes of one message without the guard against panics.
func (g *Gossiper) Receive(data []byte) error {
	m, err := decode(data)
	if err != nil {
		return err
	}
	g.handleMessage(time.Now(), m)
	return nil
}

// LinkCount returns the number of outgoing links of this host.
func (g *Gossiper) LinkCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, h := range g.hosts {
		if h.link != nil {
			n++
		}
	}
	return n
}

// LoadBytes returns the number of bytes that the load of a host adds to a message.
func LoadBytes(l steer.HostLoad) int {
	size := func(m message) int {
		data, err := encode(&m)
		if err != nil {
			panic(err)
		}
		return len(data)
	}
	return size(message{
		Load: toWireLoad(l),
	}) - size(message{})
}

// EncodeSpeeds returns a message with the observations of one host.
func EncodeSpeeds(host string, now time.Time, list []steer.SpeedObservation) ([]byte, error) {
	return encode(&message{
		Host:   host,
		Speeds: []hostSpeeds{newHostSpeeds(host, now, list)},
	})
}
