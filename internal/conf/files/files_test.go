package files_test

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/conf/files"
)

// The fixed seed makes CI runs reproducible. The flag -rapid.seed selects another seed.
func init() { _ = flag.Set("rapid.seed", "1") }

const (
	fleet = `kind: fleet
data-centres:
  - {name: golfo-1, region: golfo}
  - {name: pacifico-1, region: pacifico, weight: 2, slots: 3}
links:
  - {from: golfo, to: pacifico, delay: 20ms, rate: 100, burst: 10}
`
	service = `kind: service
name: reservas
routes:
  - {prefix: /}
targets:
  - {id: a, data-centre: golfo-1, address: "127.0.0.1:1001", slots: 9}
`
	digest = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
)

// writeFiles writes the files below a new temporary directory, which it returns.
func writeFiles(t testing.TB, texts map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range texts {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	return dir
}

// checkFiles returns the parts of the files and their problems, one per line, with paths relative to the directory.
func checkFiles(t testing.TB, texts map[string]string) (files.Parts, string) {
	t.Helper()
	dir := writeFiles(t, texts)
	parts, problems := files.Check(dir)
	var lines []string
	for _, p := range problems {
		lines = append(lines, strings.TrimPrefix(p.String(), dir+"/"))
	}
	return parts, strings.Join(lines, "\n")
}

// Each case guards against a mistake in a steering file that is not reported, or that is reported at the wrong place.
func TestCheckReportsMistakes(t *testing.T) {
	replace := func(text, old, replacement string) string { return strings.Replace(text, old, replacement, 1) }
	run := func(name, text, want string) {
		t.Run(name, func(t *testing.T) {
			dir := writeFiles(t, map[string]string{
				"fleet.yaml": fleet,
				"s.yaml":     text,
			})
			_, problems := files.Check(dir)
			var lines []string
			for _, p := range problems {
				assert.Assert(t, p.Column > 0, "no column: %v", p)
				lines = append(lines, strings.ReplaceAll(strings.TrimPrefix(p.String(), dir+"/"), dir, "DIR"))
			}
			assert.Equal(t, strings.Join(lines, "\n"), want)
		})
	}
	run("unknown field", service+"timeut: 2s\n", "s.yaml:7: timeut: unknown field; known here: hedge, kind, name, "+
		"queue-limit, ramp, remove, routes, shifts, targets, timeout, when-isolated")
	run("empty", "# nothing\n", "s.yaml:1: empty; a steering file holds one YAML document that starts with its kind")
	run("tab", "kind: service\n\tname: a\n", "s.yaml:2: not valid YAML: a line starts with a tab; indent with blanks")
	run("no unit", service+"timeout: 2\n", "s.yaml:7: timeout: must be a duration with a unit, such as 2s or 150ms")
	run("bounds", service+"timeout: 2h\n", "s.yaml:7: timeout: 2h0m0s is out of bounds; must be 10ms to 10m0s")
	run("given twice", service+"name: x\n", "s.yaml:7: name: given twice")
	run("class", replace(service, "{prefix: /}", "{prefix: /, class: bulk}"),
		`s.yaml:4: routes[0].class: "bulk" must be normal or archive`)
	run("missing", replace(service, "id: a, ", ""), "s.yaml:6: targets[0].id: missing; must be text")
	run("unknown data centre", replace(service, "golfo-1", "golfo-9"),
		`s.yaml:6: targets[0].data-centre: data centre "golfo-9" is not in the fleet file`)
	run("unknown region", service+"shifts:\n  - {name: s, from: noa, to: golfo, part: 0.1, rate: 1, burst: 1}\n",
		`s.yaml:8: shifts[0].from: region "noa" has no data centre in the fleet file`)
	run("address twice", service+`  - {id: b, data-centre: golfo-1, address: "127.0.0.1:1001", slots: 9}`+"\n",
		`s.yaml:7: targets[1].address: address "127.0.0.1:1001" is used twice, first at service/reservas targets[0].address`)
	run("overlapping shifts", service+`shifts:
  - {name: s, from: golfo, to: pacifico, part: 0.1, rate: 1, burst: 1}
  - {name: u, from: golfo, to: pacifico, part: 0.95, rate: 1, burst: 1}
`,
		`s.yaml:9: shifts[1].to: overlapping shifts: move from "golfo to pacifico" is used twice, first at shifts[0].to
s.yaml:9: shifts[1].part: overlapping shifts: the parts moved out of golfo add up to 1.05; at most 1`)
	run("shift without link", service+"shifts:\n  - {name: s, from: pacifico, to: golfo, part: 1, rate: 1, burst: 1}\n",
		"s.yaml:8: shifts[0].to: the fleet file has no link with a rate from pacifico to golfo")
	run("not a number", service+"shifts:\n  - {name: s, from: golfo, to: pacifico, part: .nan, rate: 1/s, burst: 1}\n",
		`s.yaml:8: shifts[0].part: must be a plain number without a unit
s.yaml:8: shifts[0].rate: must be a plain number without a unit`)
	run("syntax", "kind: service\nname: [a\nb: c\n", "s.yaml:3: not valid YAML: ',' or ']' must be specified")
	run("alias", service+"ramp: &r 1s\n", "s.yaml:7: ramp: must be a duration with a unit, such as 2s or 150ms")
	run("two documents", service+"---\n"+service, "s.yaml:1: 2 YAML documents; a steering file holds exactly one")
	run("nesting", "kind: "+strings.Repeat("[", 900)+"\n", "s.yaml:1: more than 16 nested collections")
	run("size", service+strings.Repeat("# "+strings.Repeat("x", 900)+"\n", 300),
		"s.yaml:1: 271033 bytes; a file other than blocks has at most 256 KB")
	run("second fleet", fleet, "s.yaml:1: fleet is given twice, first in DIR/fleet.yaml")
	run("empty lines", "kind: blocks\nblocks: |\n"+strings.Repeat("\n", 200_000), "s.yaml:103: more than 100 empty lines in a row")
	run("kind", "kind: rule\n", `s.yaml:1: kind: "rule" must be fleet, customers, service or blocks`)
	run("weights", replace(replace(fleet, "region: golfo}", "region: golfo, weight: 0}"), "weight: 2", "weight: 0"),
		"s.yaml:1: fleet is given twice, first in DIR/fleet.yaml\n"+
			"s.yaml:2: data-centres: the weights of all data centres are 0, so that no quota can be divided\n"+
			"s.yaml:6: links[0].from: the weights of all data centres of region \"golfo\" are 0, so that the rate cannot be divided")
	run("blocks", "kind: blocks\nblocks: |\n  # comment\n  10.0.0.1/8 golfo-1\n\n  10.0.0.0/8 golfo-1\n  10.0.0.0/8 golfo-2\n",
		`s.yaml:4: blocks: 10.0.0.1/8 has bits set after its prefix length; write 10.0.0.0/8
s.yaml:7: blocks: 10.0.0.0/8 is given twice, first at DIR/s.yaml:6
s.yaml:7: blocks: data centre "golfo-2" is not in the fleet file`)
	run("remove with fields", "kind: service\nname: a\nremove: true\nramp: 1s\n", "s.yaml:4: ramp: not allowed with remove")
}

// Guards against messages that contain a plain-text key, which would end up in terminals and logs.
func TestCheckNeverShowsAPlainKey(t *testing.T) {
	for _, field := range []string{"digest: hunter2secret", "key: hunter2secret", "digest: " + strings.ToUpper(digest)} {
		_, got := checkFiles(t, map[string]string{
			"c.yaml": "kind: customers\ncustomers:\n  - name: a\n    rate: 1\n    burst: 1\n    keys:\n      - id: k\n        " +
				field + "\n",
		})
		assert.Assert(t, strings.Contains(got, "c.yaml:8: ") && strings.Contains(got, "plain key must not be in a steering file"), got)
		assert.Assert(t, !strings.Contains(got, "hunter2"), got)
	}
}

// Guards against a check that reports only some of the files, so that the operator has to repeat it for each mistake.
func TestCheckReportsAllFiles(t *testing.T) {
	_, got := checkFiles(t, map[string]string{
		"a.yaml":              "kind: [",
		"sub/b.yaml":          service + "x: 1\ny: 2\n",
		"c.yml":               "",
		".steering-base.yaml": "not a steering file",
	})
	assert.Equal(t, len(strings.Split(got, "\n")), 4, got)
}

func TestCheckOfEmptyDirectory(t *testing.T) {
	_, problems := files.Check(t.TempDir())
	assert.Equal(t, len(problems), 1)
}

// Operators copy the examples, so these must have no problems and the sizes given in docs/design.md.
func TestExamples(t *testing.T) {
	sizes := map[string]map[string]int{
		"rompehielos": {
			"reservas": 14,
			"convoyes": 12,
		},
		"ente": {
			"portal-avisos":  22,
			"gestion-turnos": 14,
		},
	}
	for team, services := range sizes {
		parts, problems := files.Check(filepath.Join("../../../examples", team))
		assert.Equal(t, len(problems), 0, "%v", problems)
		config, err := files.Assemble(7, parts)
		assert.NilError(t, err)
		assert.Equal(t, config.Version, uint64(7))
		assert.Equal(t, len(config.Fleet.DataCentres), 6)
		assert.Equal(t, len(config.Customers), 8)
		for name, n := range services {
			assert.Equal(t, len(config.Services[name].Targets), n)
		}
	}
}

// Check cannot verify references into the fleet if the directory has no fleet file, so Assemble must verify them in the
// merged configuration.
func TestAssembleChecksReferences(t *testing.T) {
	parts, got := checkFiles(t, map[string]string{
		"s.yaml": strings.Replace(service, "golfo-1", "golfo-9", 1),
	})
	assert.Equal(t, got, "")
	_, err := files.Assemble(1, parts)
	assert.ErrorContains(t, err, "no fleet file")
	fleetParts, _ := checkFiles(t, map[string]string{
		"f.yaml": fleet,
	})
	_, err = files.Assemble(1, append(parts, fleetParts...))
	assert.ErrorContains(t, err, `s.yaml:6: targets[0].data-centre: data centre "golfo-9" is not in the fleet file`)
}

// Defaults must be written into the part. Otherwise a later release with other defaults would change a published
// configuration.
func TestDefaultsAndValues(t *testing.T) {
	parts, got := checkFiles(t, map[string]string{
		"f.yaml": fleet,
		"s.yaml": service + "when-isolated: 5s\n",
		"c.yaml": "kind: customers\ncustomers:\n  - {name: a, rate: 1.5, burst: 2, keys: [{id: k, digest: " + digest + "}]}\n",
	})
	assert.Equal(t, got, "")
	config, err := files.Assemble(1, parts)
	assert.NilError(t, err)
	s := config.Services["reservas"]
	assert.Equal(t, fmt.Sprintln(s.Timeout, s.QueueLimit, s.Ramp, s.WhenIsolated, s.Routes[0].Class), "10s 200ms 10s 5s normal\n")
	assert.Equal(t, s.Targets[0].Address, netip.MustParseAddrPort("127.0.0.1:1001"))
	assert.Equal(t, config.Fleet.DataCentres[0], steer.DataCentre{
		Name:   "golfo-1",
		Region: "golfo",
		Weight: 1,
		Slots:  2,
	})
	assert.Equal(t, fmt.Sprintf("%x", config.Customers["a"].Keys[0].Digest), digest)
}

// Consumers of a configuration compare service pointers to see what changed, so an unchanged part must not be decoded again.
func TestBuilderSharesUnchangedParts(t *testing.T) {
	b := files.NewBuilder()
	texts := map[string]string{
		"f.yaml": fleet,
		"s.yaml": service,
		"b.yaml": "kind: blocks\nblocks: |\n  10.0.0.0/8 golfo-1\n",
	}
	parts, _ := checkFiles(t, texts)
	first, err := b.Assemble(1, parts)
	assert.NilError(t, err)
	texts["u.yaml"] = strings.NewReplacer("reservas", "convoyes", "id: a", "id: b", "1001", "1002").Replace(service)
	parts, _ = checkFiles(t, texts)
	second, err := b.Assemble(2, parts)
	assert.NilError(t, err)
	assert.Equal(t, len(second.Services), 2)
	assert.Assert(t, first.Services["reservas"] == second.Services["reservas"])
	assert.Assert(t, &first.Blocks[0] == &second.Blocks[0])
}

// blocksFile returns a blocks file with n blocks of different prefix lengths. Block i is in data centre dc-<dataCentre(i)>.
func blocksFile(n int, dataCentre func(i int) int) string {
	var b strings.Builder
	b.WriteString("kind: blocks\nblocks: |\n")
	for i := range n {
		// The odd multiplier makes the prefixes differ and spreads them over the address space.
		a := uint32(i) * 2654435761 &^ 0xff
		fmt.Fprintf(&b, "  %d.%d.%d.0/%d dc-%d\n", a>>24, a>>16&255, a>>8&255, 24+i>>24, dataCentre(i))
	}
	return b.String()
}

// A change of one block must change only its part. Otherwise all hosts would have to fetch all parts.
func TestChangeOfOneBlockChangesOnePart(t *testing.T) {
	const n = 200_000
	texts := map[string]string{
		"b.yaml": blocksFile(n, func(i int) int { return i % 6 }),
	}
	before, got := checkFiles(t, texts)
	assert.Equal(t, got, "")
	assert.Assert(t, len(before) > 1 && len(before) < 8, "%d parts", len(before))
	texts["b.yaml"] = blocksFile(n, func(i int) int {
		if i == 1234 {
			return 5
		}
		return i % 6
	})
	after, _ := checkFiles(t, texts)
	changed := 0
	for i := range before {
		assert.Equal(t, before[i].Name, after[i].Name)
		if before[i].Hash != after[i].Hash {
			changed++
		}
	}
	assert.Equal(t, changed, 1)
}

// The text of a large blocks file bypasses the YAML parser. The blocks and the positions of problems must be the same as in a
// small file.
func TestLargeBlocksFile(t *testing.T) {
	text := blocksFile(12_000, func(i int) int { return i % 6 })
	first, got := checkFiles(t, map[string]string{
		"b.yaml": text,
	})
	assert.Equal(t, got, "")
	half := strings.LastIndex(text[:len(text)/2], "\n") + 1
	second, got := checkFiles(t, map[string]string{
		"a.yaml": "kind: blocks\nblocks: |\n" + text[half:],
		"b.yaml": text[:half],
	})
	assert.Equal(t, got, "")
	assert.Equal(t, len(first), 1)
	assert.Equal(t, first[0].Hash, second[0].Hash)
	_, got = checkFiles(t, map[string]string{
		"b.yaml": text + "# comment\n  10.0.0.0/7 x y\n\nother: 1\n",
	})
	assert.Equal(t, got, "b.yaml:12004: blocks: \"x y\" must be the name of a data centre\nb.yaml:12006: other: unknown field; "+
		"known here: blocks, kind, remove")
}

// Check and Assemble must preserve every set of blocks, however it is divided into parts.
func TestBlocksRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := map[string]string{}
		var b strings.Builder
		b.WriteString("kind: blocks\nblocks: |\n  fe00::/7 golfo-1\n")
		want["fe00::/7"] = "golfo-1"
		for range rapid.IntRange(0, 20).Draw(t, "blocks") {
			size := rapid.SampledFrom([]int{4, 16}).Draw(t, "size")
			a, _ := netip.AddrFromSlice(rapid.SliceOfN(rapid.Byte(), size, size).Draw(t, "address"))
			p, _ := a.Prefix(rapid.IntRange(0, 8*size).Draw(t, "bits"))
			if _, twice := want[p.String()]; twice || p.Addr().Is4In6() {
				continue
			}
			want[p.String()] = rapid.SampledFrom([]string{"golfo-1", "pacifico-1"}).Draw(t, "centre")
			fmt.Fprintf(&b, "  %v %s\n", p, want[p.String()])
		}
		dir, err := os.MkdirTemp("", "blocks")
		assert.NilError(t, err)
		defer os.RemoveAll(dir)
		assert.NilError(t, os.WriteFile(filepath.Join(dir, "b.yaml"), []byte(b.String()), 0o600))
		assert.NilError(t, os.WriteFile(filepath.Join(dir, "f.yaml"), []byte(fleet), 0o600))
		parts, problems := files.Check(dir)
		assert.Equal(t, len(problems), 0, "%v", problems)
		config, err := files.Assemble(1, parts)
		assert.NilError(t, err)
		got := map[string]string{}
		for _, b := range config.Blocks {
			got[b.Prefix.String()] = b.DataCentre
		}
		assert.DeepEqual(t, got, want)
	})
}
