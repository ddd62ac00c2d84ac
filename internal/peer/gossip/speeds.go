package gossip

import (
	"math"
	"slices"
	"time"

	"monsoonhub.example/steer"
)

const (
	// maxSpeedTargets bounds the observations of targets in each of the fields speeds and passed-speeds of a message. A leader of 47 hosts
	// sends them four times a second to 45 others, with 15 to 25 bytes for each.
	maxSpeedTargets = 64

	// maxSpeedSamples bounds the samples of one observation.
	maxSpeedSamples = 8

	// roundReset is how far the round of a host may lie before the last one known. If it is further back, the host has
	// restarted with another clock.
	roundReset = 10 * time.Second

	// A sample takes sampleBytes: the ratio in ratioSteps to a factor of two, the load in loadSteps to a request for each slot, with the
	// highest bit for uncertain, and the age beyond that of the observation in sampleAgeUnit.
	sampleBytes   = 3
	ratioSteps    = 16.0
	loadSteps     = 32.0
	uncertainBit  = 0x80
	sampleAgeUnit = 32 * time.Millisecond
)

// hostSpeeds is the encoding of what one host observed in one round.
type hostSpeeds struct {
	_       struct{} `cbor:",toarray"`
	Host    string
	Round   int64 // Unix time of the round in milliseconds by the clock of the host. It tells copies of one round from the next round.
	Targets []targetSpeeds
}

// targetSpeeds is the encoding of a steer.SpeedObservation.
type targetSpeeds struct {
	_       struct{} `cbor:",toarray"`
	Target  string
	Age     int64  // Of the newest sample, in milliseconds.
	Samples []byte // Of sampleBytes each.
}

// agedSpeeds holds observations with the time at which their ages were correct.
type agedSpeeds struct {
	speeds     hostSpeeds
	receivedAt time.Time
}

// newHostSpeeds encodes the observations of a round.
func newHostSpeeds(host string, now time.Time, list []steer.SpeedObservation) hostSpeeds {
	out := hostSpeeds{
		Host:  host,
		Round: now.UnixMilli(),
	}
	for _, o := range list[:min(len(list), maxSpeedTargets)] {
		if n := min(len(o.Samples), maxSpeedSamples); n > 0 {
			out.Targets = append(out.Targets, newTargetSpeeds(o.Target, o.Samples[:n]))
		}
	}
	return out
}

func newTargetSpeeds(target string, samples []steer.SpeedSample) targetSpeeds {
	age := samples[0].Age
	for _, s := range samples {
		age = min(age, s.Age)
	}
	out := targetSpeeds{
		Target:  target,
		Age:     age.Milliseconds(),
		Samples: make([]byte, 0, sampleBytes*len(samples)),
	}
	for _, s := range samples {
		ratio := math.Round(ratioSteps * math.Log2(s.Ratio))
		load := byte(math.Max(0, math.Min(uncertainBit-1, math.Round(loadSteps*s.LoadPerSlot))))
		if s.Uncertain {
			load |= uncertainBit
		}
		older := min((s.Age-age)/sampleAgeUnit, math.MaxUint8)
		out.Samples = append(out.Samples, byte(int8(math.Max(math.MinInt8, math.Min(math.MaxInt8, ratio)))), load, byte(older))
	}
	return out
}

// observations decodes what a host observed. Observations that no host can have made are left out.
func (s *hostSpeeds) observations() []steer.SpeedObservation {
	out := make([]steer.SpeedObservation, 0, len(s.Targets))
	for _, t := range s.Targets[:min(len(s.Targets), maxSpeedTargets)] {
		if t.Age < 0 || t.Age > math.MaxInt32 || len(t.Samples)%sampleBytes != 0 {
			continue
		}
		o := steer.SpeedObservation{
			Target: t.Target,
		}
		for b := range slices.Chunk(t.Samples[:min(len(t.Samples), sampleBytes*maxSpeedSamples)], sampleBytes) {
			o.Samples = append(o.Samples, steer.SpeedSample{
				Ratio:       math.Exp2(float64(int8(b[0])) / ratioSteps),
				LoadPerSlot: float64(b[1]&^uncertainBit) / loadSteps,
				Uncertain:   b[1]&uncertainBit != 0,
				Age:         time.Duration(t.Age)*time.Millisecond + time.Duration(b[2])*sampleAgeUnit,
			})
		}
		out = append(out, o)
	}
	return out
}

// appendSpeeds appends the observations of a host to a list, up to maxSpeedTargets together.
func appendSpeeds(now time.Time, list []agedSpeeds, speeds hostSpeeds) []agedSpeeds {
	left := maxSpeedTargets
	for _, a := range list {
		left -= len(a.speeds.Targets)
	}
	speeds.Targets = speeds.Targets[:max(0, min(len(speeds.Targets), left))]
	if len(speeds.Targets) == 0 {
		return list
	}
	return append(list, agedSpeeds{
		speeds:     speeds,
		receivedAt: now,
	})
}

// currentSpeeds returns the observations of the hosts that wanted selects, with their ages at the given time.
func currentSpeeds(now time.Time, list []agedSpeeds, wanted func(host string) bool) []hostSpeeds {
	var out []hostSpeeds
	for _, a := range list {
		if !wanted(a.speeds.Host) {
			continue
		}
		a.speeds.Targets = slices.Clone(a.speeds.Targets)
		for i := range a.speeds.Targets {
			a.speeds.Targets[i].Age += now.Sub(a.receivedAt).Milliseconds()
		}
		out = append(out, a.speeds)
	}
	return out
}

func allHosts(string) bool { return true }

// newSpeeds returns those of a message's observations that this host does not know: they are of other hosts, and no copies. Two
// leaders pass on what they hear, and a sample that counts twice looks like two.
func (g *Gossiper) newSpeeds(list []hostSpeeds) []hostSpeeds {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []hostSpeeds
	for _, s := range list {
		last, known := g.speedRounds[s.Host]
		if s.Host == g.config.Host || known && s.Round <= last && last-s.Round < roundReset.Milliseconds() {
			continue
		}
		if len(g.speedRounds) >= maxSpeedHosts {
			clear(g.speedRounds)
		}
		g.speedRounds[s.Host] = s.Round
		out = append(out, s)
	}
	return out
}

// maxSpeedHosts bounds the hosts whose last round is kept. It is several times the hosts of a region.
const maxSpeedHosts = 2048

// passesOn returns the hosts whose observations this leader passes on to the hosts of the data centre. Leaders that hear each other
// share the work, so that a host gets each observation once.
func (g *Gossiper) passesOn(host string) bool {
	if len(g.leaders) == 0 || host == g.config.Host {
		return true
	}
	first := g.config.Host < g.leaders[0].entry.ID
	sum := byte(0)
	for i := range len(host) {
		sum += host[i]
	}
	return first == (sum%maxLeaders == 0)
}
