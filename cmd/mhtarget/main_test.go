package main_test

import (
	"bufio"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// The command must print its address as one JSON line, serve at that address, and exit without an error on SIGTERM.
func TestCommand(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "mhtarget")
	build := exec.Command("go", "build", "-o", binary, ".")
	build.Stderr = os.Stderr
	assert.NilError(t, build.Run())
	cmd := exec.Command(binary, "--slots", "3", "--service-time", "1ms", "--seed", "2")
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	line, err := bufio.NewReader(out).ReadBytes('\n')
	assert.NilError(t, err)
	var text struct{ Address string }
	assert.NilError(t, json.Unmarshal(line, &text))
	resp, err := http.Get("http://" + text.Address + "/target/load")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, cmd.Wait())
}
