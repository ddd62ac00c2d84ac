package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"monsoonhub.example/steer/internal/ops/config"
)

const validSettings = `host-id: golfo-1-a
data-centre: golfo-1
region: golfo
listen: 127.0.0.1:8080
peer-listen: 127.0.0.1:8081
admin-listen: 127.0.0.1:8082
store: 127.0.0.1:7000
peers:
  - 127.0.0.2:8081
fleet-secret-env: MONSOONHUB_SECRET
shutdown-limit: 20s
`

func TestParseAcceptsValidSettings(t *testing.T) {
	settings, err := config.Parse("host.yaml", []byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, settings.Listen.Port(), uint16(8080))
	assert.Equal(t, settings.ShutdownLimit.Seconds(), 20.0)
	assert.Equal(t, settings.MaxInProgress, 1024)
}

// Each fault must be reported with its field, and with its line where the field is present.
func TestParseReportsFieldAndLine(t *testing.T) {
	for _, c := range []struct {
		name  string
		extra string
		want  string
	}{
		{name: "unknown field", extra: "lisen: 1\n", want: "host.yaml:12: lisen: unknown field"},
		{name: "duration without unit", extra: "header-timeout: 30\n", want: "host.yaml:12: header-timeout: must be a duration"},
		{name: "given twice", extra: "peers: []\n", want: "host.yaml:12: not valid YAML: mapping key"},
		{name: "not a number", extra: "max-body-bytes: 8MB\n", want: "host.yaml:12: max-body-bytes: must be a whole number"},
		{name: "sample not a number", extra: "trace: {sample: all}\n", want: "host.yaml:12: trace.sample: must be a number"},
		{name: "number out of range", extra: "max-connections: 0\n", want: "host.yaml:12: max-connections"},
		{name: "unknown log level", extra: "log-level: loud\n", want: "host.yaml:12: log-level"},
		{name: "both secrets", extra: "fleet-secret-file: x\n", want: "host.yaml:12: fleet-secret-file"},
		{name: "duration out of range", extra: "lookup-ttl: 2h\n", want: "host.yaml:12: lookup-ttl"},
		{name: "otlp without endpoint", extra: "trace: {exporter: otlp}\n", want: "trace.endpoint"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := config.Parse("host.yaml", []byte(validSettings+c.extra))
			assert.Assert(t, cmp.ErrorContains(err, c.want))
		})
	}
}

// For an empty file, the missing required fields must be reported, but not the bounds of fields that have defaults.
func TestParseEmptyFile(t *testing.T) {
	_, err := config.Parse("host.yaml", nil)
	assert.Assert(t, cmp.ErrorContains(err, "host.yaml: host-id: is required"))
	assert.Assert(t, !strings.Contains(err.Error(), "between"), "%v", err)
}

// All faults of a file must be reported in one run, not only the first.
func TestParseReportsAllFaults(t *testing.T) {
	_, err := config.Parse("host.yaml", []byte("host-id: A\nadmin-listen: 10.0.0.1:1\n"))
	for _, want := range []string{"host-id", "data-centre", "region", "listen", "admin-listen", "store", "secret"} {
		assert.Assert(t, cmp.ErrorContains(err, want))
	}
	_, err = config.Parse("host.yaml", []byte("shutdown-limit: 30\nlookup-tll: 5s\nstore: localhost:1\n"))
	for _, want := range []string{"1: shutdown-limit", "2: lookup-tll", "3: store: must be", "host.yaml: host-id: is required"} {
		assert.Assert(t, cmp.ErrorContains(err, want))
	}
	assert.Assert(t, !strings.Contains(err.Error(), "store: is required"), "a fault was reported twice: %v", err)
}

func TestSecretFromFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "secret")
	assert.NilError(t, os.WriteFile(path, []byte("0123456789abcdef\n"), 0o600))
	secret, err := config.Settings{SecretFile: path}.Secret()
	assert.NilError(t, err)
	assert.Equal(t, string(secret), "0123456789abcdef")
}

func TestSecretRefusesShortValue(t *testing.T) {
	t.Setenv("TEST_FLEET_SECRET", "short")
	_, err := config.Settings{SecretEnv: "TEST_FLEET_SECRET"}.Secret()
	assert.Assert(t, cmp.ErrorContains(err, "16"))
	_, err = config.Settings{SecretEnv: "TEST_FLEET_SECRET_UNSET"}.Secret()
	assert.Assert(t, cmp.ErrorContains(err, "fleet-secret-env: environment variable TEST_FLEET_SECRET_UNSET is not set"))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("trace: {sample: .nan}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		settings, err := config.Parse("fuzz.yaml", text)
		if err == nil && !settings.Listen.IsValid() {
			t.Fatal("settings without a listener were accepted")
		}
	})
}
