package main_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const customerKey = "key-of-naviera"

// buildPrograms compiles the programs with the race detector and returns the directory of the binaries.
func buildPrograms(t *testing.T) string {
	t.Helper()
	directory := t.TempDir()
	command := exec.Command("go", "build", "-race", "-o", directory+"/", "../monsoonhub", "../mhstore", "../mhtarget")
	output, err := command.CombinedOutput()
	assert.NilError(t, err, string(output))
	return directory
}

// process is a running program. When it was ready, it printed its addresses as one JSON line.
type process struct {
	*exec.Cmd
	addresses map[string]string
}

// startProcess starts a program, waits until it is ready, and kills it at the end of the test. The test fails if the program
// reported a data race.
func startProcess(t *testing.T, path string, args ...string) *process {
	t.Helper()
	p := &process{
		Cmd:       exec.Command(path, args...),
		addresses: map[string]string{},
	}
	p.Env = append(os.Environ(), "TEST_FLEET_SECRET=secret-of-the-test-fleet")
	logs, err := os.Create(filepath.Join(t.TempDir(), "log"))
	assert.NilError(t, err)
	p.Stderr = logs
	stdout, err := p.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, p.Start())
	t.Cleanup(func() {
		_ = p.Process.Kill()
		_ = p.Wait()
		text, _ := os.ReadFile(logs.Name())
		if t.Failed() || strings.Contains(string(text), "DATA RACE") {
			t.Errorf("log of %s:\n%s", filepath.Base(path), text)
		}
	})
	lines := bufio.NewReader(stdout)
	line, err := lines.ReadString('\n')
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal([]byte(line), &p.addresses), line)
	go func() { _, _ = io.Copy(io.Discard, lines) }()
	return p
}

func writeFiles(t *testing.T, files map[string]string) string {
	t.Helper()
	directory := t.TempDir()
	for name, text := range files {
		assert.NilError(t, os.WriteFile(filepath.Join(directory, name), []byte(text), 0o600))
	}
	return directory
}

func steeringFiles(t *testing.T, targets ...string) string {
	t.Helper()
	service := "kind: service\nname: reservas\ntimeout: 2s\nroutes:\n  - prefix: /open\n    open: true\n" +
		"  - prefix: /slots\ntargets:\n"
	for i, address := range targets {
		service += fmt.Sprintf("  - id: t%d\n    data-centre: golfo-%d\n    address: %s\n    slots: 8\n", i, i%2+1, address)
	}
	return writeFiles(t, map[string]string{
		"fleet.yaml": "kind: fleet\ndata-centres:\n  - {name: golfo-1, region: golfo, weight: 1, slots: 1}\n" +
			"  - {name: golfo-2, region: golfo, weight: 1, slots: 1}\n",
		"customers.yaml": fmt.Sprintf("kind: customers\ncustomers:\n  - name: naviera\n    rate: 1000\n    burst: 500\n"+
			"    keys:\n      - {id: k1, digest: %x}\n", sha256.Sum256([]byte(customerKey))),
		"reservas.yaml": service,
	})
}

func settingsFile(t *testing.T, number int, store, peer string) string {
	t.Helper()
	text := fmt.Sprintf("host-id: host-%d\ndata-centre: golfo-%d\nregion: golfo\nlisten: 127.0.0.1:0\n"+
		"peer-listen: 127.0.0.1:0\nadmin-listen: 127.0.0.1:0\nstore: %s\nfleet-secret-env: TEST_FLEET_SECRET\n"+
		"lookup-ttl: 1s\ntrace: {exporter: stdout, sample: 1}\n", number, number, store)
	if peer != "" {
		text += "peers: [\"" + peer + "\"]\n"
	}
	return filepath.Join(writeFiles(t, map[string]string{
		"host.yaml": text,
	}), "host.yaml")
}

type lookupAnswer struct {
	Hosts []struct {
		ID      string `json:"id"`
		Address string `json:"address"`
	} `json:"hosts"`
	Ticket string `json:"ticket"`
}

func getJSON(t *testing.T, url string, into any) int {
	t.Helper()
	response, err := http.Get(url)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK {
		assert.NilError(t, json.NewDecoder(response.Body).Decode(into))
	}
	return response.StatusCode
}

func sendRequest(t *testing.T, method, url, key, ticket string) *http.Response {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader("body"))
	assert.NilError(t, err)
	request.Header.Set("Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	if key != "" {
		request.Header.Set("Steering-Key", key)
	}
	if ticket != "" {
		request.Header.Set("Steering-Ticket", ticket)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response
}

// Publication, look-up, requests and a planned stop must work between separate processes: store, targets and two hosts. Only
// this test detects an error in the wiring, the settings or the programs.
func TestWholePath(t *testing.T) {
	bin := buildPrograms(t)
	store := startProcess(t, bin+"/mhstore", "--listen", "127.0.0.1:0").addresses["address"]
	first := startProcess(t, bin+"/mhtarget", "--listen", "127.0.0.1:0").addresses["address"]
	second := startProcess(t, bin+"/mhtarget", "--listen", "127.0.0.1:0").addresses["address"]
	steering := steeringFiles(t, first, second)
	run(t, bin, 0, "ok", "check", steering)
	run(t, bin, 0, "accepted: version 1", "publish", steering, "--store", store)

	hostA := startProcess(t, bin+"/monsoonhub", "host", "--settings", settingsFile(t, 1, store, ""))
	hostB := startProcess(t, bin+"/monsoonhub", "host", "--settings", settingsFile(t, 2, store, hostA.addresses["peer-listen"]))
	run(t, bin, 0, "in force everywhere", "publish", steering, "--store", store, "--wait", "20s", "--admin",
		hostB.addresses["admin-listen"])
	var found lookupAnswer
	eventually(t, "both hosts in the look-up answer", func() bool {
		url := "http://" + hostB.addresses["listen"] + "/v1/lookup?service=reservas&ticket=true"
		return getJSON(t, url, &found) == http.StatusOK && len(found.Hosts) == 2
	})
	assert.Equal(t, found.Hosts[0].ID, "host-2")

	base := "http://" + found.Hosts[0].Address + "/s/reservas"
	eventually(t, "an answer to a request with a key", func() bool {
		return sendRequest(t, "GET", base+"/slots/1", customerKey, "").StatusCode == http.StatusOK
	})
	booked := sendRequest(t, "POST", base+"/slots", customerKey, found.Ticket)
	assert.Equal(t, booked.StatusCode, http.StatusOK)
	assert.Equal(t, booked.Header.Get("Steering-Verdict"), "ran")
	repeated := sendRequest(t, "POST", base+"/slots", customerKey, found.Ticket)
	assert.Equal(t, repeated.Header.Get("Steering-Repeat-Of"), booked.Header.Get("Steering-Request-Id"))
	assert.Equal(t, countRuns(t, first, second, booked.Header.Get("Steering-Request-Id")), 1)
	refused := sendRequest(t, "GET", base+"/slots/1", "other-key", "")
	assert.Equal(t, refused.StatusCode, http.StatusUnauthorized)
	assert.Equal(t, refused.Header.Get("Steering-Verdict"), "not-run")
	assert.Equal(t, sendRequest(t, "GET", base+"/open", "", "").StatusCode, http.StatusOK)
	run(t, bin, 0, "target", "explain", "--admin", hostB.addresses["admin-listen"], "--service", "reservas", "--customer",
		"naviera", "--path", "/slots/1", "--client", "127.0.0.1")
	run(t, bin, 0, "golfo-2", "status", "--admin", hostA.addresses["admin-listen"])

	assert.NilError(t, hostB.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, hostB.Wait())
}

// Bad usage and bad input must exit with code 2 and name the field.
func TestExitCodes(t *testing.T) {
	bin := buildPrograms(t)
	bad := writeFiles(t, map[string]string{
		"service.yaml": "kind: service\nname: reservas\ntimeot: 2s\n",
		"host.yaml":    "host-id: A\n",
	})
	run(t, bin, 2, "service.yaml:3", "check", bad)
	run(t, bin, 2, "host.yaml:1: host-id", "host", "--settings", filepath.Join(bad, "host.yaml"))
	run(t, bin, 2, "--settings", "host")
	run(t, bin, 2, "unknown", "publsh")
	run(t, bin, 2, "--outptu", "status", "--outptu", "json")
	run(t, bin, 1, "ask host", "status", "--admin", "127.0.0.1:1")
}

// run runs a monsoonhub command, asserts its exit code and that its output contains want.
func run(t *testing.T, bin string, code int, want string, args ...string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	output, err := exec.CommandContext(ctx, bin+"/monsoonhub", args...).CombinedOutput()
	got := 0
	if err != nil {
		exit, ok := err.(*exec.ExitError)
		assert.Assert(t, ok, "%v", err)
		got = exit.ExitCode()
	}
	assert.Equal(t, got, code, string(output))
	assert.Assert(t, strings.Contains(string(output), want), string(output))
}

// countRuns returns how often the targets ran the request with the id.
func countRuns(t *testing.T, first, second, id string) int {
	t.Helper()
	count := 0
	for _, address := range []string{first, second} {
		var runs []struct {
			ID string `json:"request-id"`
		}
		assert.Equal(t, getJSON(t, "http://"+address+"/target/runs", &runs), http.StatusOK)
		for _, r := range runs {
			if r.ID == id {
				count++
			}
		}
	}
	return count
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !done() {
		assert.Assert(t, time.Now().Before(deadline), "not reached: %s", what)
		time.Sleep(50 * time.Millisecond)
	}
}
