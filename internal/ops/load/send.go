package load

import (
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// sender is one connection of a lane. It records for itself, so that senders share no lock while they send.
type sender struct {
	lane    *lane
	random  *rand.Rand
	latency *hdrhistogram.Histogram
	counts  map[string]int64
	last    time.Time
	failure error
}

func (l *lane) newSender(n int) *sender {
	return &sender{
		lane:    l,
		random:  rand.New(rand.NewPCG(l.config.Seed, uint64(n)+1)),
		latency: hdrhistogram.New(1, longestLatency, digits),
		counts:  map[string]int64{},
	}
}

// send makes one exchange and records its latency from the time at which it was due.
func (s *sender) send(due time.Time) {
	status, err := s.exchange()
	if due.Before(s.lane.from) {
		return
	}
	s.last = time.Now()
	if err != nil {
		s.counts["error"]++
		if s.failure == nil {
			s.failure = err
		}
		return
	}
	s.counts[strconv.Itoa(status)]++
	if status < http.StatusBadRequest {
		_ = s.latency.RecordValue(min(int64(s.last.Sub(due)), longestLatency))
	}
}

func (s *sender) exchange() (status int, err error) {
	r, err := s.request()
	if err != nil {
		return 0, err
	}
	answer, err := s.lane.client.Do(r)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return answer.StatusCode, err
}

func (s *sender) request() (*http.Request, error) {
	c := s.lane.config
	base := "http://" + s.lane.address.String()
	if c.Mode == ModeLookup {
		client := randomClient(s.random, c.ClientPrefix)
		query := "?service=" + url.QueryEscape(c.Service) + "&client=" + client.String()
		return http.NewRequest(http.MethodGet, base+"/v1/lookup"+query, nil)
	}
	r, err := http.NewRequest(c.Method, base+"/s/"+c.Service+c.Path, nil)
	if err == nil && c.Key != "" {
		r.Header.Set("Steering-Key", c.Key)
	}
	return r, err
}

// randomClient draws an address of the prefix. In an IPv6 prefix the last 64 bits and those above are drawn alike.
func randomClient(random *rand.Rand, prefix netip.Prefix) netip.Addr {
	var noise [16]byte
	binary.BigEndian.PutUint64(noise[:8], random.Uint64())
	binary.BigEndian.PutUint64(noise[8:], random.Uint64())
	bytes := prefix.Masked().Addr().AsSlice()
	for i := range bytes {
		free := 8*(i+1) - prefix.Bits() // Bits of this byte and before that the prefix leaves open.
		mask := byte(0xff)
		if free < 8 {
			mask = byte(1<<max(free, 0) - 1)
		}
		bytes[i] |= noise[i] & mask
	}
	address, _ := netip.AddrFromSlice(bytes)
	return address
}

func (s *sender) merge() {
	l := s.lane
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency.Merge(s.latency)
	for name, n := range s.counts {
		l.counts[name] += n
	}
	if s.last.After(l.last) {
		l.last = s.last
	}
	if l.failure == nil {
		l.failure = s.failure
	}
}
