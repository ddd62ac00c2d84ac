package files

import (
	"bytes"
	"cmp"
	"errors"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/goccy/go-yaml/ast"
)

// Limits on the files of a directory.
const (
	maxFileBytes       = 256 << 10 // Maximum bytes of a steering file other than blocks.
	maxBlocksFileBytes = 64 << 20  // Maximum bytes of a blocks file; 1 million blocks take about 25 MB.
	maxBlocks          = 4_000_000 // Maximum blocks in all files together.
	maxFiles           = 2000
	maxKindOffset      = 4096 // A blocks file above maxFileBytes must state its kind within this many bytes.
)

// blocksKindPattern finds the kind of a large blocks file without parsing it.
var blocksKindPattern = regexp.MustCompile(`(?m)^kind:[ ]*blocks[ ]*(#.*)?\r?$`)

var newline = []byte("\n")

// blocksFieldPattern finds the start of the text of blocks in a large file, and nextFieldPattern the field after it.
var (
	blocksFieldPattern = regexp.MustCompile(`(?m)^blocks:[ ]*\|[ ]*\r?\n`)
	nextFieldPattern   = regexp.MustCompile(`(?m)^[^ #\r\n]`)
)

// directoryCheck holds the state of one call of Check.
type directoryCheck struct {
	dir      string
	problems []Problem
	parts    Parts
	sources  map[string]*source // File of each part, keyed by part name.
	partSet  partSet

	blocks          []blockEntry
	blockFiles      []string          // Paths of the blocks files.
	blocksRemoval   *source           // File that removes all client blocks; nil if there is none.
	dataCentreNames map[string]string // One copy of each data centre name in blocks, so that equal names share memory.
}

// Check parses and checks all steering files below the directory. It returns the parts, sorted by name, and the problems of
// all files, sorted by file, line and column. The parts may be used only if there are no problems.
func Check(dir string) (Parts, []Problem) {
	c := &directoryCheck{
		dir:             dir,
		sources:         map[string]*source{},
		dataCentreNames: map[string]string{},
	}
	paths := c.listFiles()
	for _, path := range paths {
		c.checkFile(path)
	}
	if len(paths) == 0 && len(c.problems) == 0 {
		c.problem(Problem{
			File:    dir,
			Message: "no steering files (*.yaml) below the directory",
		})
	}
	c.finishBlocks()
	c.crossPartFaults(c.partSet.check())
	slices.SortFunc(c.parts, func(a, b Part) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(c.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return c.parts, c.problems
}

func (c *directoryCheck) problem(p Problem) {
	c.problems = append(c.problems, p)
}

// listFiles returns the paths of the steering files. Files and directories whose names start with a dot, such as the base
// record, are skipped.
func (c *directoryCheck) listFiles() []string {
	var paths []string
	err := filepath.WalkDir(c.dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			c.problem(Problem{
				File:    path,
				Message: "cannot be read: " + errorCause(err),
			})
			return nil
		}
		if strings.HasPrefix(d.Name(), ".") && path != c.dir {
			if d.IsDir() {
				return fs.SkipDir
			}
			return nil
		}
		switch {
		case d.IsDir():
		case strings.HasSuffix(d.Name(), ".yml"):
			c.problem(Problem{
				File:    path,
				Message: "steering files end in .yaml",
			})
		case strings.HasSuffix(d.Name(), ".yaml"):
			paths = append(paths, path)
		}
		return nil
	})
	if err != nil || len(paths) > maxFiles {
		c.problem(Problem{
			File:    c.dir,
			Message: "more than " + strconv.Itoa(maxFiles) + " files, or the directory cannot be read",
		})
		return nil
	}
	return paths
}

// errorCause returns the message of the error without the operation and path of a *fs.PathError.
func errorCause(err error) string {
	var path *fs.PathError
	if errors.As(err, &path) {
		return path.Err.Error()
	}
	return err.Error()
}

// loadFile returns the content of a file, or nil after reporting a problem.
func (c *directoryCheck) loadFile(r *reader, path string) []byte {
	info, err := os.Stat(path)
	if err != nil {
		r.report(position{}, "", "cannot be read: %s", errorCause(err))
		return nil
	}
	if !info.Mode().IsRegular() || info.Size() > maxBlocksFileBytes {
		r.report(position{}, "", "must be a regular file of at most %d MB", maxBlocksFileBytes>>20)
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		r.report(position{}, "", "cannot be read: %s", errorCause(err))
		return nil
	}
	if len(data) > maxFileBytes && !blocksKindPattern.Match(data[:maxKindOffset]) {
		r.report(r.at[""], "", "%d bytes; a file other than blocks has at most %d KB", len(data), maxFileBytes>>10)
		return nil
	}
	if !r.checkText(data) {
		return nil
	}
	return data
}

// checkText reports whether the data is valid UTF-8 text without NUL bytes and without lines above maxLineBytes. It reports
// the first violation as a problem.
func (r *reader) checkText(data []byte) bool {
	n := 0
	for line := range bytes.Lines(data) {
		n++
		pos := position{
			line:   n,
			column: 1,
		}
		if !utf8.Valid(line) || bytes.IndexByte(line, 0) >= 0 {
			r.report(pos, "", "not valid UTF-8 text")
			return false
		}
		if len(line) > maxLineBytes {
			r.report(pos, "", "line of %d bytes; at most %d", len(line), maxLineBytes)
			return false
		}
	}
	return true
}

// cutBlocksText cuts the lines between "blocks: |" and the next field out of a large file and stores them in r.literal,
// because the YAML parser needs several times their size in memory. It returns the remaining data, or all data of a file of
// at most maxFileBytes.
func (r *reader) cutBlocksText(data []byte) []byte {
	head := blocksFieldPattern.FindIndex(data)
	if len(data) <= maxFileBytes || head == nil {
		return data
	}
	end := len(data)
	if next := nextFieldPattern.FindIndex(data[head[1]:]); next != nil {
		end = head[1] + next[0]
	}
	r.literal = string(data[head[1]:end])
	r.cutAfterLine = bytes.Count(data[:head[1]], newline)
	r.cutLineCount = strings.Count(r.literal, "\n")
	return slices.Concat(data[:head[1]], data[end:])
}

// checkEmptyLines reports whether the data has at most maxEmptyLines empty lines in a row, and reports a violation as a
// problem.
func (r *reader) checkEmptyLines(data []byte) bool {
	n, empty := 0, 0
	for line := range bytes.Lines(data) {
		n++
		empty++
		if len(bytes.TrimSpace(line)) > 0 {
			empty = 0
		}
		if empty > maxEmptyLines {
			r.report(position{
				line:   n,
				column: 1,
			}, "", "more than %d empty lines in a row", maxEmptyLines)
			return false
		}
	}
	return true
}

// checkFile parses and checks one file and adds its part.
func (c *directoryCheck) checkFile(path string) {
	r := newReader(path)
	defer func() { c.problems = append(c.problems, r.problems...) }()
	data := c.loadFile(r, path)
	if data == nil && len(r.problems) > 0 {
		return
	}
	data = r.cutBlocksText(data)
	if !r.checkEmptyLines(data) {
		return
	}
	root := r.parse(data)
	if root == nil {
		return
	}
	var kind string
	root.text("kind", true, &kind)
	var remove bool
	root.boolean("remove", &remove)
	if remove {
		c.remove(r, root, kind)
		return
	}
	switch kind {
	case kindFleet:
		body := readFleet(root)
		root.reportUnknownFields()
		if c.addPart(r, kindFleet, body, body.check) {
			c.partSet.fleet = body
		}
	case kindCustomers:
		body := readCustomers(root)
		root.reportUnknownFields()
		if c.addPart(r, kindCustomers, body, body.check) {
			c.partSet.customers = body
		}
	case kindService:
		body := readService(root)
		root.reportUnknownFields()
		if c.addPart(r, servicePrefix+body.Name, body, body.check) {
			c.partSet.services = append(c.partSet.services, body)
		}
	case kindBlocks:
		c.readBlocks(r, root)
		root.reportUnknownFields()
	default:
		c.reportUnknownKind(root, kind)
	}
}

func (c *directoryCheck) reportUnknownKind(root *object, kind string) {
	if root.has("kind") {
		root.reportField("kind", "%q must be fleet, customers, service or blocks", truncate(kind))
	}
}

// remove adds a part that removes the fleet, the customers, all client blocks or the named service.
func (c *directoryCheck) remove(r *reader, root *object, kind string) {
	name := kind
	switch kind {
	case kindFleet, kindCustomers:
	case kindBlocks:
		c.blocksRemoval = &r.source
	case kindService:
		var service string
		root.text("name", true, &service)
		check := &checker{}
		check.name("name", service)
		c.reportFaults(r, check.faults)
		name = servicePrefix + service
	default:
		c.reportUnknownKind(root, kind)
		return
	}
	for _, field := range root.order {
		if !root.read[field] {
			root.reportField(field, "not allowed with remove")
		}
	}
	if c.claimPart(r, name) {
		c.parts = append(c.parts, Part{
			Name:   name,
			Remove: true,
			source: &r.source,
		})
	}
}

// claimPart records that the part comes from this file. If another file has the same part, it reports a problem and returns
// false.
func (c *directoryCheck) claimPart(r *reader, name string) bool {
	if first, duplicate := c.sources[name]; duplicate {
		r.report(r.find("name"), "", "%s is given twice, first in %s", name, first.file)
		return false
	}
	c.sources[name] = &r.source
	return true
}

// addPart checks the body of one file and adds its part. It returns false if another file has the same part.
func (c *directoryCheck) addPart(r *reader, name string, body any, check func(*checker)) bool {
	bodyChecker := &checker{}
	check(bodyChecker)
	c.reportFaults(r, bodyChecker.faults)
	if !c.claimPart(r, name) {
		return false
	}
	part, err := newPart(name, body)
	if err != nil {
		r.report(r.at[""], "", "%v", err)
		return true
	}
	part.source = &r.source
	c.parts = append(c.parts, part)
	return true
}

// reportFaults reports the faults of one file as problems, except for fields that already have a problem because they could
// not be read.
func (c *directoryCheck) reportFaults(r *reader, faults []fault) {
	reported := map[string]bool{}
	for _, p := range r.problems {
		reported[p.Field] = true
	}
	for _, f := range faults {
		if f.path == "" || !reported[f.path] {
			r.report(r.find(f.path), f.path, "%s", f.message)
		}
	}
}

// crossPartFaults reports faults between parts as problems, except for fields that already have a problem.
func (c *directoryCheck) crossPartFaults(crossPartFaults []fault) {
	reported := map[string]bool{}
	for _, p := range c.problems {
		reported[p.File+" "+p.Field] = true
	}
	for _, f := range crossPartFaults {
		p := f.problem(c.sources[f.part])
		if !reported[p.File+" "+p.Field] {
			c.problem(p)
		}
	}
}

// problem converts the fault to a Problem. The source gives the file and position; it is nil if the part was not read from a
// file.
func (f fault) problem(s *source) Problem {
	p := Problem{
		File:    f.part,
		Field:   f.path,
		Message: f.message,
	}
	if s != nil {
		pos := s.find(f.path)
		p.File = s.file
		p.Line = pos.line
		p.Column = pos.column
	}
	return p
}

// readBlocks reads the text of the field blocks, which has one block in each line, written as "prefix data-centre". Empty
// lines and lines that start with # are skipped.
func (c *directoryCheck) readBlocks(r *reader, root *object) {
	const want = "a text of lines, each a prefix and a data centre (blocks: |)"
	root.read["blocks"] = true
	n, found := root.fields["blocks"]
	if !found {
		r.report(root.at, "blocks", "missing; must be %s", want)
		return
	}
	literal, ok := n.(*ast.LiteralNode)
	if !ok || literal.Start == nil || !strings.HasPrefix(literal.Start.Value, "|") {
		root.reportField("blocks", "must be %s", want)
		return
	}
	line := r.tokenPosition(literal.Start).line
	file := int32(len(c.blockFiles))
	c.blockFiles = append(c.blockFiles, r.file)
	lines := literal.Value.Value
	if r.literal != "" {
		lines = r.literal
	}
	for text := range strings.SplitSeq(lines, "\n") {
		line++
		text = strings.TrimSpace(text)
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		if len(c.blocks) >= maxBlocks {
			r.report(position{
				line:   line,
				column: 1,
			}, "blocks", "more than %d blocks", maxBlocks)
			return
		}
		c.readBlock(r, text, file, line)
	}
}

// readBlock parses one line of the field blocks. The file is an index into c.blockFiles.
func (c *directoryCheck) readBlock(r *reader, text string, file int32, line int) {
	pos := position{
		line:   line,
		column: 1,
	}
	prefix, dataCentreName, _ := strings.Cut(text, " ")
	dataCentreName = strings.TrimSpace(dataCentreName)
	p, err := netip.ParsePrefix(prefix)
	switch {
	case err != nil:
		r.report(pos, "blocks", "%q must be an address prefix such as 10.2.0.0/16", truncate(prefix))
		return
	case p != p.Masked() || p.Addr().Is4In6():
		r.report(pos, "blocks", "%v has bits set after its prefix length; write %v", p, p.Masked())
		return
	case !namePattern.MatchString(dataCentreName):
		r.report(pos, "blocks", "%q must be the name of a data centre", truncate(dataCentreName))
		return
	}
	name, ok := c.dataCentreNames[dataCentreName]
	if !ok {
		name = strings.Clone(dataCentreName)
		c.dataCentreNames[dataCentreName] = name
	}
	c.blocks = append(c.blocks, blockEntry{
		prefix:         p,
		dataCentreName: name,
		file:           file,
		line:           int32(line),
	})
}

// finishBlocks checks the blocks of all files together and divides them into parts.
func (c *directoryCheck) finishBlocks() {
	if c.blocksRemoval != nil && len(c.blockFiles) > 0 {
		c.problem(Problem{
			File:    c.blocksRemoval.file,
			Line:    1,
			Column:  1,
			Field:   "remove",
			Message: "blocks are given in " + c.blockFiles[0] + " too",
		})
	}
	slices.SortFunc(c.blocks, func(a, b blockEntry) int {
		return cmp.Or(a.prefix.Compare(b.prefix), cmp.Compare(a.file, b.file), cmp.Compare(a.line, b.line))
	})
	for i := 1; i < len(c.blocks); i++ {
		if a, b := c.blocks[i-1], c.blocks[i]; a.prefix == b.prefix {
			c.addBlockProblem(b, b.prefix.String()+" is given twice, first at "+c.blockFiles[a.file]+":"+strconv.Itoa(int(a.line)))
		}
	}
	c.checkBlockReferences()
	if len(c.problems) > 0 {
		return
	}
	parts, err := splitBlocks(c.blocks)
	if err != nil {
		c.problem(Problem{
			File:    c.blockFiles[0],
			Field:   "blocks",
			Message: err.Error(),
		})
		return
	}
	c.parts = append(c.parts, parts...)
}

func (c *directoryCheck) addBlockProblem(e blockEntry, message string) {
	c.problem(Problem{
		File:    c.blockFiles[e.file],
		Line:    int(e.line),
		Column:  1,
		Field:   "blocks",
		Message: message,
	})
}

// checkBlockReferences reports blocks whose data centre is not in the fleet file, if the directory has a fleet file.
func (c *directoryCheck) checkBlockReferences() {
	if c.partSet.fleet == nil {
		return
	}
	known := map[string]bool{}
	for _, d := range c.partSet.fleet.DataCentres {
		known[d.Name] = true
	}
	for _, e := range c.blocks {
		if !known[e.dataCentreName] {
			c.addBlockProblem(e, "data centre "+strconv.Quote(e.dataCentreName)+" is not in the fleet file")
		}
	}
}
