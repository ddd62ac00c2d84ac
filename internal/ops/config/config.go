package config

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"monsoonhub.example/steer/internal/conf/files"
)

// Limits of the settings file and its values.
const (
	maxFileSize   = 64 << 10         // Bytes.
	minSecretSize = 16               // Bytes.
	maxSecretSize = 4096             // Bytes.
	maxTimeout    = 10 * time.Minute // Of shutdown-limit and body-timeout.
	maxHeaderSize = 1 << 20          // Bytes.
	maxBodySize   = 1 << 30          // Bytes.
	maxNameLength = 64
	maxPeers      = 64
)

// Settings holds the settings file of one host. Sizes are in bytes.
type Settings struct {
	HostID         string           `yaml:"host-id"`
	DataCentre     string           `yaml:"data-centre"`
	Region         string           `yaml:"region"`
	Listen         netip.AddrPort   `yaml:"listen"`
	PeerListen     netip.AddrPort   `yaml:"peer-listen"`
	AdminListen    netip.AddrPort   `yaml:"admin-listen"`
	AdminPublic    bool             `yaml:"admin-public"` // Allows an admin-listen address that is not a loopback address.
	Store          netip.AddrPort   `yaml:"store"`
	Peers          []netip.AddrPort `yaml:"peers"`
	PeerLinks      int              `yaml:"links-per-data-centre"` // 0 opens links to all hosts.
	SecretFile     string           `yaml:"fleet-secret-file"`
	SecretEnv      string           `yaml:"fleet-secret-env"`
	ShutdownLimit  time.Duration    `yaml:"shutdown-limit"`
	LookupTTL      time.Duration    `yaml:"lookup-ttl"`
	MaxHeaderBytes int              `yaml:"max-header-bytes"`
	MaxBodyBytes   int64            `yaml:"max-body-bytes"`
	MaxConnections int              `yaml:"max-connections"`
	MaxInProgress  int              `yaml:"max-requests-in-progress"`
	HeaderTimeout  time.Duration    `yaml:"header-timeout"` // Maximum time for a caller to send the header.
	BodyTimeout    time.Duration    `yaml:"body-timeout"`   // Maximum time without receiving a byte of the body.
	LogLevel       string           `yaml:"log-level"`
	Trace          Trace            `yaml:"trace"`
}

// Trace configures the export of spans.
type Trace struct {
	Exporter    string         `yaml:"exporter"` // One of none, stdout, otlp.
	Endpoint    netip.AddrPort `yaml:"endpoint"` // OTLP over HTTP; used only by the exporter otlp.
	SampleRatio float64        `yaml:"sample"`   // Fraction traced of the requests without a sampled traceparent, 0 to 1.
}

// Problem is one fault of a settings file.
type Problem struct {
	File    string
	Line    int    // 0 when the field is missing.
	Field   string // Empty when the fault is not in one field.
	Message string
}

// Error implements error. The text has the form file:line: field: message and leaves out what is not known.
func (p *Problem) Error() string {
	return files.Problem{
		File:    p.File,
		Line:    p.Line,
		Field:   p.Field,
		Message: p.Message,
	}.String()
}

// defaults returns the values of the fields that the file doesn't set.
func defaults() Settings {
	return Settings{
		ShutdownLimit:  30 * time.Second,
		LookupTTL:      5 * time.Second,
		MaxHeaderBytes: 32 << 10,
		MaxBodyBytes:   8 << 20,
		MaxConnections: 4096,
		MaxInProgress:  1024,
		HeaderTimeout:  5 * time.Second,
		BodyTimeout:    30 * time.Second,
		LogLevel:       "info",
		Trace: Trace{
			Exporter:    "none",
			SampleRatio: 0.01,
		},
	}
}

// Load reads and checks a settings file. If the file has faults, the error joins one *Problem for each.
func Load(path string) (Settings, error) {
	text, err := Read(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(path, text)
}

// Read returns the text of a settings file. It fails if the file is larger than 64 KB.
func Read(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	if info.Size() > maxFileSize {
		return nil, fmt.Errorf("settings %s: larger than %d bytes", path, maxFileSize)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return text, nil
}

// Parse decodes and checks the text of a settings file. The name is used only in errors. The error joins one *Problem
// for each fault.
func Parse(name string, text []byte) (Settings, error) {
	settings := defaults()
	c, err := Decode(name, text, &settings)
	if err != nil {
		return Settings{}, err
	}
	c.check(settings)
	if err := c.Err(); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

// Decode sets the fields of the struct that into points to from the text of a settings file. The name is used only in
// errors. It fails if the text is not valid YAML. Faults of single fields are returned by Err of the Checker, along with
// those that the caller adds.
func Decode(name string, text []byte, into any) (*Checker, error) {
	var file *ast.File
	err := recoverPanic(func() (err error) {
		file, err = parser.ParseBytes(text, 0)
		return err
	})
	if err != nil {
		return nil, syntaxProblem(name, err)
	}
	c := &Checker{
		name:      name,
		file:      file,
		undecoded: map[string]bool{},
	}
	for _, document := range file.Docs {
		if document.Body != nil {
			c.decode("", document.Body, reflect.ValueOf(into).Elem())
		}
	}
	return c, nil
}

// syntaxProblem returns a *Problem for text that is not valid YAML, with the line if the parser gives it.
func syntaxProblem(name string, err error) error {
	problem := &Problem{
		File:    name,
		Message: "not valid YAML: " + err.Error(),
	}
	var located yaml.Error
	if errors.As(err, &located) {
		problem.Message = "not valid YAML: " + located.GetMessage()
		if located.GetToken() != nil {
			problem.Line = located.GetToken().Position.Line
		}
	}
	return problem
}

// Checker collects the faults of one settings file and finds their lines.
type Checker struct {
	name      string
	file      *ast.File
	undecoded map[string]bool // Fields that could not be decoded; faults added for them are ignored.
	problems  []error
}

// Err returns an error that joins one *Problem for each fault, or nil if there are none.
func (c *Checker) Err() error { return errors.Join(c.problems...) }

func (c *Checker) check(s Settings) {
	c.checkName("host-id", s.HostID)
	c.checkName("data-centre", s.DataCentre)
	c.checkName("region", s.Region)
	c.checkAddresses(s)
	c.checkSecret(s)
	c.checkBounds(s)
	c.checkTrace(s)
}

func (c *Checker) checkName(field, value string) {
	switch {
	case value == "":
		c.Add(field, "is required")
	case len(value) > maxNameLength:
		c.Add(field, fmt.Sprintf("is longer than %d characters", maxNameLength))
	case strings.Trim(value, "abcdefghijklmnopqrstuvwxyz0123456789-") != "":
		c.Add(field, "may have lower-case letters, digits and hyphens only")
	}
}

func (c *Checker) checkAddresses(s Settings) {
	for _, a := range []struct {
		field   string
		address netip.AddrPort
	}{
		{field: "listen", address: s.Listen},
		{field: "peer-listen", address: s.PeerListen},
		{field: "admin-listen", address: s.AdminListen},
		{field: "store", address: s.Store},
	} {
		if !a.address.IsValid() {
			c.Add(a.field, "is required, as an IP address and a port")
		}
	}
	if s.AdminListen.IsValid() && !s.AdminListen.Addr().IsLoopback() && !s.AdminPublic {
		c.Add("admin-listen", "is not a loopback address; set admin-public to allow this")
	}
	if len(s.Peers) > maxPeers {
		c.Add("peers", fmt.Sprintf("has more than %d addresses", maxPeers))
	}
	if s.PeerLinks < 0 {
		c.Add("links-per-data-centre", "is negative")
	}
}

func (c *Checker) checkSecret(s Settings) {
	if (s.SecretFile == "") == (s.SecretEnv == "") {
		c.Add("fleet-secret-file", "exactly one of fleet-secret-file and fleet-secret-env is required")
	}
}

func (c *Checker) checkBounds(s Settings) {
	c.checkDuration("shutdown-limit", s.ShutdownLimit, time.Second, maxTimeout)
	c.checkDuration("lookup-ttl", s.LookupTTL, 100*time.Millisecond, time.Minute)
	c.checkDuration("header-timeout", s.HeaderTimeout, 100*time.Millisecond, time.Minute)
	c.checkDuration("body-timeout", s.BodyTimeout, 100*time.Millisecond, maxTimeout)
	c.checkNumber("max-header-bytes", int64(s.MaxHeaderBytes), 1<<10, maxHeaderSize)
	c.checkNumber("max-body-bytes", s.MaxBodyBytes, 0, maxBodySize)
	c.checkNumber("max-connections", int64(s.MaxConnections), 1, 1<<20)
	c.checkNumber("max-requests-in-progress", int64(s.MaxInProgress), 1, 1<<20)
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		c.Add("log-level", "is none of debug, info, warn, error")
	}
}

func (c *Checker) checkTrace(s Settings) {
	switch s.Trace.Exporter {
	case "none", "stdout":
	case "otlp":
		if !s.Trace.Endpoint.IsValid() {
			c.Add("trace.endpoint", "is required with the exporter otlp")
		}
	default:
		c.Add("trace.exporter", "is none of none, stdout, otlp")
	}
	if !(s.Trace.SampleRatio >= 0 && s.Trace.SampleRatio <= 1) {
		c.Add("trace.sample", "is not between 0 and 1")
	}
}

func (c *Checker) checkDuration(field string, value, low, high time.Duration) {
	if value < low || value > high {
		c.Add(field, fmt.Sprintf("is %v, not between %v and %v", value, low, high))
	}
}

func (c *Checker) checkNumber(field string, value, low, high int64) {
	if value < low || value > high {
		c.Add(field, fmt.Sprintf("is %d, not between %d and %d", value, low, high))
	}
}

// Add adds a fault of a field. It does nothing if the field could not be decoded, since its value is then the default.
func (c *Checker) Add(field, message string) {
	if c.undecoded[field] {
		return
	}
	c.problems = append(c.problems, &Problem{
		File:    c.name,
		Line:    c.lineOf(field),
		Field:   field,
		Message: message,
	})
}

// lineOf returns the line of a field in the file, or 0 if the file doesn't set the field.
func (c *Checker) lineOf(field string) int {
	path, err := yaml.PathString("$." + field)
	if err != nil {
		return 0
	}
	var node ast.Node
	err = recoverPanic(func() (err error) {
		node, err = path.FilterFile(c.file)
		return err
	})
	if err != nil || node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

// Secret reads the fleet secret from the file or environment variable named in the settings and trims white space.
// Errors name the field of the settings and never contain the secret.
func (s Settings) Secret() ([]byte, error) {
	text, found := os.LookupEnv(s.SecretEnv)
	source := "fleet-secret-env: environment variable " + s.SecretEnv
	if s.SecretFile != "" {
		content, err := os.ReadFile(s.SecretFile)
		if err != nil {
			return nil, fmt.Errorf("fleet-secret-file: %w", err)
		}
		text, found = string(content), true
		source = "fleet-secret-file: file " + s.SecretFile
	}
	if !found {
		return nil, fmt.Errorf("%s is not set", source)
	}
	secret := []byte(strings.TrimSpace(text))
	if len(secret) < minSecretSize || len(secret) > maxSecretSize {
		return nil, fmt.Errorf("%s holds %d bytes; the fleet secret must have %d to %d", source, len(secret), minSecretSize,
			maxSecretSize)
	}
	return secret, nil
}
