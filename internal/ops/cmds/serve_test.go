package cmds_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// A host must not start with invalid or missing settings, and the error must name each field.
func TestServeRefusesBadSettings(t *testing.T) {
	assertContains(t, runCommand(t, 2, "serve"), "--settings: is required")
	assertContains(t, runCommand(t, 2, "serve", "--settings", filepath.Join(t.TempDir(), "none.yaml")), "none.yaml")
	path := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, os.WriteFile(path, []byte("host-id: a\nlisten: nowhere\nspeed: 1\n"), 0o600))
	assertContains(t, runCommand(t, 2, "serve", "--settings", path), "settings.yaml:2: listen: must be an IP address and a port",
		"settings.yaml:3: speed: unknown field", "data-centre: is required", "quota-window-s")
}
