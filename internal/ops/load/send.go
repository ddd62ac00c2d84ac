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

// sender sends on one connection to an endpoint, one request at a time. It keeps its own records, so that senders share
// no lock while they send, and merges them at the end.
type sender struct {
	endpoint     *endpoint
	random       *rand.Rand
	latency      *hdrhistogram.Histogram
	statusCounts map[string]int64
	lastEnd      time.Time
	firstError   error
}

func (e *endpoint) newSender(n int) *sender {
	return &sender{
		endpoint:     e,
		random:       rand.New(rand.NewPCG(e.config.Seed, uint64(n)+1)),
		latency:      hdrhistogram.New(1, maxLatency, significantDigits),
		statusCounts: map[string]int64{},
	}
}

// send makes one exchange and records its status, and its latency from the time at which it was due.
func (s *sender) send(due time.Time) {
	status, err := s.exchange()
	if due.Before(s.endpoint.recordFrom) {
		return
	}
	s.lastEnd = time.Now()
	if err != nil {
		s.statusCounts["error"]++
		if s.firstError == nil {
			s.firstError = err
		}
		return
	}
	s.statusCounts[strconv.Itoa(status)]++
	if status < http.StatusBadRequest {
		_ = s.latency.RecordValue(min(int64(s.lastEnd.Sub(due)), maxLatency))
	}
}

// exchange sends one request and reads the whole answer.
func (s *sender) exchange() (status int, err error) {
	r, err := s.request()
	if err != nil {
		return 0, err
	}
	answer, err := s.endpoint.client.Do(r)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return answer.StatusCode, err
}

func (s *sender) request() (*http.Request, error) {
	c := s.endpoint.config
	base := "http://" + s.endpoint.address.String()
	if c.Mode == ModeLookup {
		client := randomClientAddress(s.random, c.ClientPrefix)
		query := "?service=" + url.QueryEscape(c.Service) + "&client=" + client.String()
		return http.NewRequest(http.MethodGet, base+"/v1/lookup"+query, nil)
	}
	r, err := http.NewRequest(c.Method, base+"/s/"+c.Service+c.Path, nil)
	if err == nil && c.Key != "" {
		r.Header.Set("Steering-Key", c.Key)
	}
	return r, err
}

// randomClientAddress draws an address from the prefix, IPv4 or IPv6, with uniformly random host bits.
func randomClientAddress(random *rand.Rand, prefix netip.Prefix) netip.Addr {
	var randomBits [16]byte
	binary.BigEndian.PutUint64(randomBits[:8], random.Uint64())
	binary.BigEndian.PutUint64(randomBits[8:], random.Uint64())
	bytes := prefix.Masked().Addr().AsSlice()
	for i := range bytes {
		hostBits := 8*(i+1) - prefix.Bits() // Host bits up to the end of this byte; negative or zero if there are none.
		mask := byte(0xff)
		if hostBits < 8 {
			mask = byte(1<<max(hostBits, 0) - 1)
		}
		bytes[i] |= randomBits[i] & mask
	}
	address, _ := netip.AddrFromSlice(bytes)
	return address
}

// merge adds the records of the sender to those of its endpoint.
func (s *sender) merge() {
	e := s.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	e.latency.Merge(s.latency)
	for name, n := range s.statusCounts {
		e.statusCounts[name] += n
	}
	if s.lastEnd.After(e.lastEnd) {
		e.lastEnd = s.lastEnd
	}
	if e.firstError == nil {
		e.firstError = s.firstError
	}
}
