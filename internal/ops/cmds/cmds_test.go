package cmds_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer/internal/conf/publ"
	"monsoonhub.example/steer/internal/ops/cmds"
	"monsoonhub.example/steer/internal/plat/kvhttp"
	"monsoonhub.example/steer/internal/plat/kvmem"
)

const fleetFile = "kind: fleet\ndata-centres:\n  - {name: golfo-1, region: golfo}\n"

// writeFleet writes a fleet file with the given text to a new directory and returns the directory.
func writeFleet(t *testing.T, text string) string {
	t.Helper()
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "fleet.yaml"), []byte(text), 0o600))
	return dir
}

// runCommand runs a command, asserts its exit code and returns its standard output and error.
func runCommand(t *testing.T, code int, args ...string) string {
	t.Helper()
	var out bytes.Buffer
	assert.Equal(t, cmds.Run(t.Context(), args, &out, &out), code, "%v: %s", args, out.String())
	return out.String()
}

func assertContains(t *testing.T, text string, substrings ...string) {
	t.Helper()
	for _, s := range substrings {
		assert.Assert(t, strings.Contains(text, s), "%q is not in:\n%s", s, text)
	}
}

// Invalid arguments must be rejected before anything is published. The error must name the flag and the value it takes.
func TestUsageErrors(t *testing.T) {
	dir := writeFleet(t, fleetFile)
	for args, want := range map[string]string{
		"publish":                         "the directory of the steering files; got 0",
		"publish DIR":                     "--store: is required, as an IP address and a port",
		"publish DIR --store localhost:1": "host names are not resolved",
		"publish DIR --store 127.0.0.1:1 --wait 2s":             "--wait needs --admin, the admin-listen address",
		"publish DIR --store 127.0.0.1:1 --wait 2s --admin x:1": `--admin: "x:1" must be an IP address`,
		"publish DIR --store 127.0.0.1:1 --id a_b":              "--id",
		"status --admin x:1":                                    `--admin: "x:1" must be`,
		"explain --service s --path x":                          `--path: "x" must start with /`,
		"explain --service s --client 10.0.0.1:9":               "an IP address without a port",
		"explain --service s --object 1":                        "--object: needs --metrics",
		"explain --metrics x:1 --class c":                       `--metrics: "x:1" must be an IP address`,
		"explain --metrics 127.0.0.1:1 --host h":                "--host and --path are given together",
		"explain --metrics 127.0.0.1:1":                         "--class or --service is required",
		"explain --metrics 127.0.0.1:1 --class c --method POST": "--method: does not go with --metrics",
	} {
		assertContains(t, runCommand(t, 2, strings.Fields(strings.Replace(args, "DIR", dir, 1))...), want)
	}
}

// A host that is down, or another server at the address, must exit with 1 and a hint at the address, not as an error in the
// operator's files.
func TestUnreachableHostIsNotUsageError(t *testing.T) {
	assertContains(t, runCommand(t, 1, "status", "--admin", "127.0.0.1:1"),
		"ask host at 127.0.0.1:1", "connection refused", "admin-listen")
	other := httptest.NewServer(nil)
	defer other.Close()
	text := runCommand(t, 1, "explain", "--service", "s", "--admin", other.Listener.Addr().String())
	assertContains(t, text, "404", "admin-listen address of the host\n")
}

// After losing a race, an operator must get the hash to enter in the base record, and publishing must succeed with it.
func TestConflictCanBeResolvedByHand(t *testing.T) {
	server := httptest.NewServer(kvhttp.Handler(kvmem.New(kvmem.Config{})))
	defer server.Close()
	store := server.Listener.Addr().String()
	loser, winner := writeFleet(t, fleetFile), writeFleet(t, fleetFile)
	assertContains(t, runCommand(t, 0, "publish", loser, "--store", store), "accepted: version 1", "changed: fleet")
	assertContains(t, runCommand(t, 0, "publish", winner, "--store", store), "unchanged: version 1\n")
	changeWeight := func(dir, weight string) {
		text := strings.Replace(fleetFile, "golfo}", "golfo, weight: "+weight+"}", 1)
		assert.NilError(t, os.WriteFile(filepath.Join(dir, "fleet.yaml"), []byte(text), 0o600))
	}
	changeWeight(winner, "2")
	changeWeight(loser, "3")
	runCommand(t, 0, "publish", winner, "--store", store)
	text := runCommand(t, 1, "publish", loser, "--store", store)
	assertContains(t, text, "conflict: fleet was changed in version 2 by publication ", "; its hash is ", "refused: publication ")
	assert.Assert(t, !strings.Contains(text, "version 0"), text)

	_, hash, _ := strings.Cut(text, "its hash is ")
	hash, _, _ = strings.Cut(hash, "\n")
	base := filepath.Join(loser, publ.BaseFile)
	record, err := os.ReadFile(base)
	assert.NilError(t, err)
	old := string(record[bytes.LastIndex(record, []byte("fleet: ")):])
	assert.NilError(t, os.WriteFile(base, []byte(strings.Replace(string(record), old, "fleet: "+hash+"\n", 1)), 0o600))
	assertContains(t, runCommand(t, 0, "publish", loser, "--store", store), "accepted: version 3")
}

// Settings that do not match the fleet file leave a host idle. Only the status command shows why.
func TestStatusWarnsOfSettingsMismatch(t *testing.T) {
	const self = `"id":"h","isolated":false,"evidence-age-ms":1,"store-reachable":true,"stopping":false,"slots":[],` +
		`"targets":[],"quotas":[],"data-centres":[{"name":"a1","region":"a","hosts":1,"lowest-version":1},` +
		`{"name":"b1","region":"b","hosts":0,"lowest-version":0}]`
	member := func(heardMs string) string {
		return `"members":[{"id":"m","data-centre":"b1","version":1,"stopping":false,"store-reachable":true,"slots":[],"heard-ms":` +
			heardMs + `}]`
	}
	for _, c := range []struct {
		location, member, want string
	}{
		{location: `"version":0,"data-centre":"a1","region":"b"`, member: "10", want: "isolated false, no evidence,"},
		{location: `"data-centre":"a1","region":"a"`, member: "10", want: ""},
		{location: `"data-centre":"x1","region":"a"`, member: "10", want: "data centre x1 of the settings is not in the fleet file"},
		{location: `"data-centre":"a1","region":"b"`, member: "10", want: "region b of the settings is a in the fleet file"},
		{location: `"data-centre":"a1","region":"a"`, member: "5000", want: "no other host is heard"},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(w, `{"version":1,`+self+","+c.location+","+member(c.member)+"}")
		}))
		text := runCommand(t, 0, "status", "--admin", server.Listener.Addr().String())
		server.Close()
		assertContains(t, text, c.want)
		assert.Equal(t, strings.Contains(text, "warning:"), c.want != "", text)
	}
}

// publish --wait must not wait for a data centre that is marked down, since no host there will ever report the version.
func TestWaitSkipsDownDataCentre(t *testing.T) {
	store := httptest.NewServer(kvhttp.Handler(kvmem.New(kvmem.Config{})))
	defer store.Close()
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"id":"h","data-centre":"a1","region":"a","version":1,"isolated":false,"evidence-age-ms":1,`+
			`"store-reachable":true,"stopping":false,"slots":[],"members":[],"targets":[],"quotas":[],"data-centres":[`+
			`{"name":"a1","region":"a","hosts":1,"lowest-version":1},`+
			`{"name":"b1","region":"b","down":true,"hosts":0,"lowest-version":0}]}`)
	}))
	defer host.Close()
	text := runCommand(t, 0, "publish", writeFleet(t, fleetFile), "--store", store.Listener.Addr().String(), "--wait", "2s",
		"--admin", host.Listener.Addr().String())
	assertContains(t, text, "in force everywhere")
}
