package files

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Limits on the YAML syntax. The parser recurses into nested collections, so their depth is checked before it runs.
const (
	maxLineBytes  = 1000 // Maximum bytes of a line.
	maxEmptyLines = 100  // Maximum empty lines in a row; the parser's time grows with the square of their number.
	maxFlowDepth  = 16   // Maximum depth of nested [ and {.
)

// position is a line and column of a file, counted from 1. The zero value means that the place is unknown.
type position struct {
	line   int
	column int
}

// source maps the field paths of one file to their positions.
type source struct {
	file string
	at   map[string]position
}

// find returns the position of the field, or of the nearest field that contains it if the field itself has none.
func (s *source) find(path string) position {
	for {
		if p, ok := s.at[path]; ok || path == "" {
			return p
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
}

// reader reads the fields of a file and collects its problems.
type reader struct {
	source
	problems []Problem

	// The text of blocks that cutBlocksText cut out of a large file before parsing.
	literal      string
	cutAfterLine int // Line before the text; 0 if nothing was cut out.
	cutLineCount int // Number of lines of the text.
}

func newReader(file string) *reader {
	return &reader{
		source: source{
			file: file,
			at: map[string]position{
				"": {
					line:   1,
					column: 1,
				},
			},
		},
	}
}

func (r *reader) report(p position, fieldPath, format string, args ...any) {
	r.problems = append(r.problems, Problem{
		File:    r.file,
		Line:    p.line,
		Column:  p.column,
		Field:   fieldPath,
		Message: fmt.Sprintf(format, args...),
	})
}

// tokenPosition returns the token's position in the file, including the lines that were cut out, or the start of the file if
// the token has no position.
func (r *reader) tokenPosition(t *token.Token) position {
	if t == nil || t.Position == nil {
		return position{
			line:   1,
			column: 1,
		}
	}
	line := max(1, t.Position.Line)
	if r.cutAfterLine > 0 && line > r.cutAfterLine {
		line += r.cutLineCount
	}
	return position{
		line:   line,
		column: max(1, t.Position.Column),
	}
}

// parse returns the root object of the file's only YAML document, or nil after reporting a problem.
func (r *reader) parse(data []byte) (root *object) {
	// A panic in the parser must not end the process that checks the operators' files.
	defer func() {
		if e := recover(); e != nil {
			r.report(r.at[""], "", "not valid YAML: the parser failed: %v", e)
			root = nil
		}
	}()
	tokens := lexer.Tokenize(string(data))
	depth := 0
	for _, t := range tokens {
		switch t.Type {
		case token.SequenceStartType, token.MappingStartType:
			depth++
		case token.SequenceEndType, token.MappingEndType:
			depth--
		}
		if depth > maxFlowDepth {
			r.report(r.tokenPosition(t), "", "more than %d nested collections", maxFlowDepth)
			return nil
		}
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.reportSyntaxError(err)
		return nil
	}
	var bodies []ast.Node
	for _, d := range file.Docs {
		if d.Body != nil {
			bodies = append(bodies, d.Body)
		}
	}
	if len(bodies) == 0 {
		r.report(r.at[""], "", "empty; a steering file holds one YAML document that starts with its kind")
		return nil
	}
	if len(bodies) != 1 {
		r.report(r.at[""], "", "%d YAML documents; a steering file holds exactly one", len(bodies))
		return nil
	}
	return r.object("", bodies[0])
}

func (r *reader) reportSyntaxError(err error) {
	var detail yaml.Error
	if !errors.As(err, &detail) {
		r.report(r.at[""], "", "not valid YAML: %v", err)
		return
	}
	message := detail.GetMessage()
	if strings.Contains(message, "'\t'") {
		message = "a line starts with a tab; indent with blanks"
	}
	r.report(r.tokenPosition(detail.GetToken()), "", "not valid YAML: %s", message)
}

// object is a YAML mapping whose fields are read one by one. A value that cannot be read is reported and leaves the
// destination unchanged.
type object struct {
	r      *reader
	path   string
	at     position
	fields map[string]ast.Node
	order  []string        // Names of the fields in the order of the file.
	read   map[string]bool // Fields that the caller asked for, whether present or not.
}

// object returns the mapping n, or nil if n is not a mapping. It reports problems of the mapping and its field names.
func (r *reader) object(path string, n ast.Node) *object {
	o := &object{
		r:      r,
		path:   path,
		at:     r.tokenPosition(n.GetToken()),
		fields: map[string]ast.Node{},
		read:   map[string]bool{},
	}
	var values []*ast.MappingValueNode
	switch m := n.(type) {
	case *ast.MappingNode:
		values = m.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{m}
	default:
		r.report(o.at, path, "must be a mapping of fields to values")
		return nil
	}
	for i, v := range values {
		at := r.tokenPosition(v.Key.GetToken())
		if i == 0 {
			o.at = at
			r.at[path] = at
		}
		name, ok := v.Key.(*ast.StringNode)
		if !ok {
			r.report(at, path, "field names must be plain text")
			continue
		}
		fieldPath := o.fieldPath(name.Value)
		if _, duplicate := o.fields[name.Value]; duplicate {
			r.report(at, fieldPath, "given twice")
			continue
		}
		r.at[fieldPath] = at
		o.fields[name.Value] = v.Value
		o.order = append(o.order, name.Value)
	}
	return o
}

// fieldPath returns the path of the field from the root of the file.
func (o *object) fieldPath(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

func (o *object) reportField(name, format string, args ...any) {
	path := o.fieldPath(name)
	o.r.report(o.r.find(path), path, format, args...)
}

func (o *object) has(name string) bool {
	_, ok := o.fields[name]
	return ok
}

// scalar returns the text of a scalar field and whether it was quoted. A missing field is a problem only if required; ok is
// false if the field is missing or not a scalar.
func (o *object) scalar(name string, required bool, want string) (text string, quoted, ok bool) {
	o.read[name] = true
	n, found := o.fields[name]
	if !found {
		if required {
			o.r.report(o.at, o.fieldPath(name), "missing; must be %s", want)
		}
		return "", false, false
	}
	switch v := n.(type) {
	case *ast.StringNode:
		t := v.Token.Type
		return v.Value, t == token.SingleQuoteType || t == token.DoubleQuoteType, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		return n.GetToken().Value, false, true
	}
	o.reportField(name, "must be %s", want)
	return "", false, false
}

func (o *object) text(name string, required bool, dst *string) {
	if s, _, ok := o.scalar(name, required, "text"); ok {
		*dst = s
	}
}

func (o *object) boolean(name string, dst *bool) {
	const want = "true or false"
	s, quoted, ok := o.scalar(name, false, want)
	if !ok {
		return
	}
	if quoted || (s != "true" && s != "false") {
		o.reportField(name, "must be %s", want)
		return
	}
	*dst = s == "true"
}

func (o *object) number(name string, required bool, dst *float64) {
	const want = "a plain number without a unit"
	s, quoted, ok := o.scalar(name, required, want)
	if !ok {
		return
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || quoted || strings.ContainsAny(s, "xXpP_nN") {
		o.reportField(name, "must be %s", want)
		return
	}
	*dst = f
}

func (o *object) integer(name string, required bool, dst *int) {
	const want = "a whole number"
	s, quoted, ok := o.scalar(name, required, want)
	if !ok {
		return
	}
	i, err := strconv.Atoi(s)
	if err != nil || quoted {
		o.reportField(name, "must be %s", want)
		return
	}
	*dst = i
}

func (o *object) duration(name string, dst *time.Duration) {
	const want = "a duration with a unit, such as 2s or 150ms"
	s, _, ok := o.scalar(name, false, want)
	if !ok {
		return
	}
	d, err := time.ParseDuration(s)
	if err != nil || s == "0" {
		o.reportField(name, "must be %s", want)
		return
	}
	*dst = d
}

// items returns the elements of a list and their paths.
func (o *object) items(name string, required bool) ([]ast.Node, []string) {
	o.read[name] = true
	n, found := o.fields[name]
	if !found {
		if required {
			o.r.report(o.at, o.fieldPath(name), "missing; must be a list")
		}
		return nil, nil
	}
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		o.reportField(name, "must be a list")
		return nil, nil
	}
	paths := make([]string, 0, len(list.Values))
	for i, v := range list.Values {
		path := o.fieldPath(name) + "[" + strconv.Itoa(i) + "]"
		o.r.at[path] = o.r.tokenPosition(v.GetToken())
		paths = append(paths, path)
	}
	return list.Values, paths
}

// texts returns the elements of an optional list of strings. Other elements are reported and left out.
func (o *object) texts(name string) []string {
	var out []string
	nodes, paths := o.items(name, false)
	for i, n := range nodes {
		s, ok := n.(*ast.StringNode)
		if !ok {
			o.r.report(o.r.at[paths[i]], paths[i], "must be text")
			continue
		}
		out = append(out, s.Value)
	}
	return out
}

// readList reads a list of mappings with read. An element that is not a mapping is reported and becomes a zero value, so
// that the indexes of the result match the paths.
func readList[T any](o *object, name string, required bool, read func(*object) T) []T {
	nodes, paths := o.items(name, required)
	out := make([]T, len(nodes))
	for i, n := range nodes {
		item := o.r.object(paths[i], n)
		if item == nil {
			continue
		}
		out[i] = read(item)
		item.reportUnknownFields()
	}
	return out
}

// reportUnknownFields reports the fields that were not read. The message lists the known fields.
func (o *object) reportUnknownFields() {
	known := strings.Join(slices.Sorted(maps.Keys(o.read)), ", ")
	for _, name := range o.order {
		if !o.read[name] {
			o.reportField(name, "unknown field; known here: %s", known)
		}
	}
}
