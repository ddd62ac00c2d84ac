package gossip

import "time"

// Receive handles the bytes of one message outside of any guard.
func (t *Gossiper) Receive(data []byte) error {
	m, err := decode(data)
	if err != nil {
		return err
	}
	t.take(time.Now(), m)
	return nil
}

// Links returns the number of links that this host keeps.
func (t *Gossiper) Links() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, h := range t.hosts {
		if h.link != nil {
			n++
		}
	}
	return n
}
