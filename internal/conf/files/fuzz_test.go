package files_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer/internal/conf/files"
)

// FuzzCheck guards against inputs that crash the check, cause a problem without a line, or produce a part that a host
// refuses.
func FuzzCheck(f *testing.F) {
	paths, _ := filepath.Glob("../../../examples/*/*.yaml")
	for _, path := range paths {
		data, err := os.ReadFile(path)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Add([]byte(fleet))
	f.Add([]byte(service))
	f.Add([]byte("kind: blocks\nblocks: |\n  ::/0 golfo-1\n"))
	dir := f.TempDir()
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 64<<10 {
			return
		}
		assert.NilError(t, os.WriteFile(filepath.Join(dir, "x.yaml"), data, 0o600))
		parts, problems := files.Check(dir)
		for _, p := range problems {
			assert.Assert(t, p.Line > 0 && !strings.Contains(p.String(), "parser failed"), "%v", p)
		}
		if len(problems) > 0 || len(parts) == 0 || parts[0].Remove {
			return
		}
		_, err := files.Assemble(1, parts)
		if err != nil {
			assert.Assert(t, strings.Contains(err.Error(), "fleet file") && !strings.Contains(err.Error(), "decoded"), "%v", err)
		}
	})
}

// FuzzAssemble guards against a crash of a host by part bodies from a peer or the store.
func FuzzAssemble(f *testing.F) {
	for _, team := range []string{"rompehielos", "ente"} {
		parts, _ := files.Check("../../../examples/" + team)
		for _, p := range parts {
			f.Add(p.Name, p.Body)
		}
	}
	base, _ := files.Check("../../../examples/ente")
	f.Fuzz(func(t *testing.T, name string, body []byte) {
		all := files.Parts{
			{
				Name: name,
				Body: body,
			},
		}
		for _, p := range base {
			if p.Name != name {
				all = append(all, p)
			}
		}
		config, err := files.Assemble(1, all)
		assert.Equal(t, config == nil, err != nil)
	})
}
