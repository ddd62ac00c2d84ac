package setup_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/setup"
)

const validSettings = `host-id: "front-golfo-a-1"
data-centre: "golfo-a"
region: "golfo"
regions: {"golfo-a":"golfo","pacifico-a":"pacifico"}
listen: "127.0.0.1:1"
ready-listen: "127.0.0.1:2"
directory-listen: "127.0.0.1:3"
peer-listen: "127.0.0.1:4"
metrics-listen: "127.0.0.1:5"
store: "127.0.0.1:6"
store-history-s: 20
memory-mb: 284
grace-s: 6
directory-keep-s: 5
retry-ratio: 0.2
retry-slack: 56
quota-window-s: 5
quota-over: 0.1
quota-slack: 20
`

func TestParse(t *testing.T) {
	s, err := setup.Parse("settings.yaml", []byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.HostID, "front-golfo-a-1")
	assert.Equal(t, s.GracePeriod(), 6*time.Second)
	assert.Equal(t, s.Regions["pacifico-a"], "pacifico")
	assert.Equal(t, s.LogLevel, "info")
	assert.Equal(t, s.Features().Admission, steer.ModeOff)
}

// Guards against a misspelt mode of a feature that is silently taken for off.
func TestModesOfFeatures(t *testing.T) {
	for _, field := range []string{"target-speed", "admission", "object-copies", "demand-shares", "directory-hosts"} {
		for _, mode := range []string{"off", "on", "auto"} {
			_, err := setup.Parse("settings.yaml", []byte(validSettings+field+": "+mode+"\n"))
			assert.NilError(t, err)
		}
		_, err := setup.Parse("settings.yaml", []byte(validSettings+field+": yes please\n"))
		assert.ErrorContains(t, err, field)
	}
}

// Guards against a capacity that is computed from one of its factors, and against a host that does not start because its platform does not
// tell them.
func TestCapacity(t *testing.T) {
	s, err := setup.Parse("settings.yaml", []byte(validSettings+"link-mbps: 200\ncpu-share: 0.1\ncores: 8\n"))
	assert.NilError(t, err)
	assert.Equal(t, s.LinkMbps, 200.0)
	assert.Equal(t, s.CPUCores(), 0.8)
	for _, text := range []string{"", "link-mbps: \ncpu-share: \ncores: \n", "link-mbps: 0\ncores: 8\n", "cpu-share: 0.5\n"} {
		s, err := setup.Parse("settings.yaml", []byte(validSettings+text))
		assert.NilError(t, err)
		assert.Equal(t, s.LinkMbps, 0.0)
		assert.Equal(t, s.CPUCores(), 0.0)
	}
	for _, field := range []string{"link-mbps", "cpu-share", "cores"} {
		for _, value := range []string{"-1", "1e9", ".nan", "wide"} {
			_, err := setup.Parse("settings.yaml", []byte(validSettings+field+": "+value+"\n"))
			assert.ErrorContains(t, err, field)
		}
	}
}

// Guards against leases of registrations that end too late after an outage, and against a host that does not start because its platform does
// not tell the time.
func TestStoreSettleTime(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"":                      3 * time.Second,
		"store-settle-s: \n":    3 * time.Second,
		"store-settle-s: 4\n":   4 * time.Second,
		"store-settle-s: 2.5\n": 2500 * time.Millisecond,
	} {
		s, err := setup.Parse("settings.yaml", []byte(validSettings+text))
		assert.NilError(t, err)
		assert.Equal(t, s.StoreSettle(), want, text)
	}
	for _, value := range []string{"0", "-1", "1e9", ".nan", "long"} {
		_, err := setup.Parse("settings.yaml", []byte(validSettings+"store-settle-s: "+value+"\n"))
		assert.ErrorContains(t, err, "store-settle-s")
	}
}

// Guards against invalid settings that are accepted, or rejected without naming the field.
func TestInvalidSettingsNameTheField(t *testing.T) {
	for _, line := range strings.Split(strings.TrimSpace(validSettings), "\n") {
		field, _, _ := strings.Cut(line, ":")
		t.Run(field, func(t *testing.T) {
			// These fields may be zero: a quota may allow no excess, a fleet no retries, and a store may keep no history.
			switch field {
			case "quota-over", "quota-slack", "retry-ratio", "retry-slack", "store-history-s":
			default:
				_, err := setup.Parse("settings.yaml", []byte(strings.Replace(validSettings, line+"\n", "", 1)))
				assert.ErrorContains(t, err, field)
			}
			_, err := setup.Parse("settings.yaml", []byte(strings.Replace(validSettings, line, field+": [1, {}]", 1)))
			assert.ErrorContains(t, err, field)
		})
	}
	_, err := setup.Parse("settings.yaml", []byte(validSettings+"no-such-field: 1\n"))
	assert.ErrorContains(t, err, "no-such-field")
	_, err = setup.Parse("settings.yaml", []byte(validSettings+"log-level: loud\n"))
	assert.ErrorContains(t, err, "log-level")
	_, err = setup.Parse("settings.yaml", []byte(strings.Replace(validSettings, "grace-s: 6", "grace-s: -6", 1)))
	assert.ErrorContains(t, err, "grace-s")
}

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	_, err := setup.Load(path)
	assert.ErrorIs(t, err, os.ErrNotExist)
	assert.NilError(t, os.WriteFile(path, []byte(validSettings), 0o600))
	_, err = setup.Load(path)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(path, make([]byte, 1<<20), 0o600))
	_, err = setup.Load(path)
	assert.ErrorContains(t, err, "larger than")
}
