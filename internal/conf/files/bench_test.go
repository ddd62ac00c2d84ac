package files_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer/internal/conf/files"
)

// fleetFile returns a fleet file with n data centres.
func fleetFile(n int) string {
	var b strings.Builder
	b.WriteString("kind: fleet\ndata-centres:\n")
	for i := range n {
		fmt.Fprintf(&b, "  - {name: dc-%d, region: golfo}\n", i)
	}
	return b.String()
}

// BenchmarkAssembleMillionBlocks measures a first assembly at the size expected in two years.
func BenchmarkAssembleMillionBlocks(b *testing.B) {
	parts, got := checkFiles(b, map[string]string{
		"b.yaml": blocksFile(1_000_000, func(i int) int { return i % 10 }),
		"f.yaml": fleetFile(10),
	})
	assert.Equal(b, got, "")
	b.ReportAllocs()
	for b.Loop() {
		config, err := files.Assemble(1, parts)
		if err != nil || len(config.Blocks) != 1_000_000 {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(parts)-1), "parts")
}

// BenchmarkCheckMillionBlocks measures how long an operator waits for a check, and the memory obtained from the system.
func BenchmarkCheckMillionBlocks(b *testing.B) {
	dir := writeFiles(b, map[string]string{
		"b.yaml": blocksFile(1_000_000, func(i int) int { return i % 10 }),
		"f.yaml": fleetFile(10),
	})
	for b.Loop() {
		parts, problems := files.Check(dir)
		if len(problems) > 0 || len(parts) < 2 {
			b.Fatal(problems)
		}
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.Sys>>20), "MB-sys")
}
