package setup

import (
	"fmt"
	"net/netip"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/ops/config"
)

// Settings is the content of the settings file of one host on the platform. Times are in seconds.
type Settings struct {
	HostID              string            `yaml:"host-id"`
	DataCentre          string            `yaml:"data-centre"`
	Region              string            `yaml:"region"`
	Regions             map[string]string `yaml:"regions"` // Region of each data centre of the fleet.
	Listen              netip.AddrPort    `yaml:"listen"`
	ReadyListen         netip.AddrPort    `yaml:"ready-listen"`
	DirectoryListen     netip.AddrPort    `yaml:"directory-listen"`
	PeerListen          netip.AddrPort    `yaml:"peer-listen"`
	MetricsListen       netip.AddrPort    `yaml:"metrics-listen"`
	Store               netip.AddrPort    `yaml:"store"`
	HistorySeconds      float64           `yaml:"store-history-s"` // Maximum time for which the store keeps changes.
	StoreSettleSeconds  float64           `yaml:"store-settle-s"`  // From the end of an outage of the store until the directory names no host that ended before.
	MemoryMB            int               `yaml:"memory-mb"`
	LinkMbps            float64           `yaml:"link-mbps"`        // Bandwidth of the link in Mbit/s; 0 if it is unknown.
	CPUShare            float64           `yaml:"cpu-share"`        // Share of the machine's cores that the process may use; 0 if it is unknown.
	Cores               float64           `yaml:"cores"`            // Cores of the machine; 0 if the number is unknown.
	Descriptors         int               `yaml:"max-descriptors"`  // 0 selects the resource limit of the process.
	FileDescriptors     int               `yaml:"file-descriptors"` // Descriptors of the process that are no sockets.
	GraceSeconds        float64           `yaml:"grace-s"`          // From SIGTERM to SIGKILL.
	DirectoryTTLSeconds float64           `yaml:"directory-keep-s"` // Maximum time that callers keep an answer of the directory.
	RetryRatio          float64           `yaml:"retry-ratio"`      // Retries allowed for each request, over all hosts.
	RetrySlack          float64           `yaml:"retry-slack"`      // Retries allowed in addition to the ratio, over all hosts.
	QuotaWindowSeconds  float64           `yaml:"quota-window-s"`   // Quotas hold over any time window of this length.
	QuotaExcessRatio    float64           `yaml:"quota-over"`       // Allowed excess relative to a quota.
	QuotaSlack          float64           `yaml:"quota-slack"`      // Allowed excess in requests, in addition to the ratio.
	LogLevel            string            `yaml:"log-level"`
	Contracts           []string          `yaml:"contracts"` // Rules of the platform that are in force, by the platform's names.
	TargetSpeed         steer.Mode        `yaml:"target-speed"`
	Admission           steer.Mode        `yaml:"admission"`
	ObjectCopies        steer.Mode        `yaml:"object-copies"`
	DemandShares        steer.Mode        `yaml:"demand-shares"`
	DirectoryHosts      steer.Mode        `yaml:"directory-hosts"`
}

// Features returns the modes of the optional features.
func (s *Settings) Features() steer.Features {
	return steer.Features{
		TargetSpeed:    s.TargetSpeed,
		Admission:      s.Admission,
		ObjectCopies:   s.ObjectCopies,
		DemandShares:   s.DemandShares,
		DirectoryHosts: s.DirectoryHosts,
	}
}

// CPUCores returns the number of cores that the process may use, or 0 if it is unknown.
func (s *Settings) CPUCores() float64 { return s.CPUShare * s.Cores }

// defaultStoreSettleSeconds is the shortest time that a deployment has asked for so far.
const defaultStoreSettleSeconds = 3

// defaultFileDescriptors is several times what a host uses: standard streams, the settings file and those of the Go runtime.
const defaultFileDescriptors = 32

// GracePeriod returns the time from SIGTERM to SIGKILL.
func (s *Settings) GracePeriod() time.Duration { return seconds(s.GraceSeconds) }

// DirectoryTTL returns the maximum time for which callers keep an answer of the directory.
func (s *Settings) DirectoryTTL() time.Duration { return seconds(s.DirectoryTTLSeconds) }

// History returns the maximum time for which the store keeps changes.
func (s *Settings) History() time.Duration { return seconds(s.HistorySeconds) }

// Window returns the length of the time window over which quotas hold.
func (s *Settings) Window() time.Duration { return seconds(s.QuotaWindowSeconds) }

// StoreSettle returns the time after an outage of the store after which the directory must not name hosts that ended before.
func (s *Settings) StoreSettle() time.Duration { return seconds(s.StoreSettleSeconds) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and validates a settings file. The error joins one error for each invalid field and names the file and the field.
func Load(path string) (Settings, error) {
	text, err := config.Read(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(path, text)
}

// Parse decodes and validates the text of a settings file. The name is used only in errors.
func Parse(name string, text []byte) (Settings, error) {
	settings := Settings{
		StoreSettleSeconds: defaultStoreSettleSeconds,
		FileDescriptors:    defaultFileDescriptors,
		LogLevel:           "info",
		TargetSpeed:        steer.ModeOff,
		Admission:          steer.ModeOff,
		ObjectCopies:       steer.ModeOff,
		DemandShares:       steer.ModeOff,
		DirectoryHosts:     steer.ModeOff,
	}
	checker, err := config.Decode(name, text, &settings)
	if err != nil {
		return Settings{}, err
	}
	settings.check(checker.Add)
	if err := checker.Err(); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

// check validates the fields and calls addError for each invalid one.
func (s *Settings) check(addError func(field, message string)) {
	for _, f := range []struct{ field, value string }{
		{field: "host-id", value: s.HostID},
		{field: "data-centre", value: s.DataCentre},
		{field: "region", value: s.Region},
	} {
		if f.value == "" {
			addError(f.field, "is required")
		}
	}
	if s.Regions[s.DataCentre] != s.Region {
		addError("regions", fmt.Sprintf("must map data centre %q to region %q", s.DataCentre, s.Region))
	}
	for _, f := range []struct {
		field string
		value netip.AddrPort
	}{
		{field: "listen", value: s.Listen},
		{field: "ready-listen", value: s.ReadyListen},
		{field: "directory-listen", value: s.DirectoryListen},
		{field: "peer-listen", value: s.PeerListen},
		{field: "metrics-listen", value: s.MetricsListen},
		{field: "store", value: s.Store},
	} {
		if !f.value.IsValid() {
			addError(f.field, "is required, as an IP address and a port")
		}
	}
	for _, f := range []struct {
		field     string
		value     float64
		low, high float64
	}{
		{field: "memory-mb", value: float64(s.MemoryMB), low: 32, high: 1 << 20},
		{field: "link-mbps", value: s.LinkMbps, low: 0, high: 1e7},
		{field: "cpu-share", value: s.CPUShare, low: 0, high: 1024},
		{field: "cores", value: s.Cores, low: 0, high: 1 << 16},
		{field: "max-descriptors", value: float64(s.Descriptors), low: 0, high: 1 << 24},
		{field: "file-descriptors", value: float64(s.FileDescriptors), low: 0, high: 1 << 20},
		{field: "grace-s", value: s.GraceSeconds, low: 1, high: 600},
		{field: "directory-keep-s", value: s.DirectoryTTLSeconds, low: 0.1, high: 600},
		{field: "retry-ratio", value: s.RetryRatio, low: 0, high: 1},
		{field: "store-history-s", value: s.HistorySeconds, low: 0, high: 86400},
		{field: "store-settle-s", value: s.StoreSettleSeconds, low: 1, high: 600},
		{field: "retry-slack", value: s.RetrySlack, low: 0, high: 1e9},
		{field: "quota-window-s", value: s.QuotaWindowSeconds, low: 0.1, high: 600},
		{field: "quota-over", value: s.QuotaExcessRatio, low: 0, high: 10},
		{field: "quota-slack", value: s.QuotaSlack, low: 0, high: 1e9},
	} {
		if !(f.value >= f.low && f.value <= f.high) {
			addError(f.field, fmt.Sprintf("is %v, not between %v and %v", f.value, f.low, f.high))
		}
	}
	for _, f := range []struct {
		field string
		mode  steer.Mode
	}{
		{field: "target-speed", mode: s.TargetSpeed},
		{field: "admission", mode: s.Admission},
		{field: "object-copies", mode: s.ObjectCopies},
		{field: "demand-shares", mode: s.DemandShares},
		{field: "directory-hosts", mode: s.DirectoryHosts},
	} {
		if !f.mode.Valid() {
			addError(f.field, "is none of off, on, auto")
		}
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		addError("log-level", "is none of debug, info, warn, error")
	}
}
