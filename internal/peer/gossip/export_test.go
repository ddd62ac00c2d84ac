package gossip

import (
	"time"

	"monsoonhub.example/steer"
)

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

// EncodeSpeeds returns a message with the observations of one host.
func EncodeSpeeds(host string, now time.Time, list []steer.SpeedObservation) ([]byte, error) {
	return encode(&message{
		Host:   host,
		Speeds: []hostSpeeds{newHostSpeeds(host, now, list)},
	})
}
