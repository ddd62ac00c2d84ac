package config

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// decode sets the fields of a struct one by one, so that one run reports the faults of all fields. The prefix is the
// path of the struct in the file with a trailing dot, or empty for the top level.
func (c *Checker) decode(prefix string, node ast.Node, into reflect.Value) {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		c.addDecodeError(strings.TrimSuffix(prefix, "."), node, "must be a list of fields with values")
		return
	}
	for entries := mapping.MapRange(); entries.Next(); {
		key := entries.Key()
		name := prefix + key.String()
		if token := key.GetToken(); token != nil {
			name = prefix + token.Value
		}
		field, ok := fieldByTag(into, strings.TrimPrefix(name, prefix))
		switch {
		case !ok:
			c.addDecodeError(name, key, "unknown field; docs/settings.md lists all fields")
		case field.Kind() == reflect.Struct && field.Type() == reflect.TypeFor[Trace]():
			c.decode(name+".", entries.Value(), field)
		default:
			err := recoverPanic(func() error {
				return yaml.NodeToValue(entries.Value(), field.Addr().Interface(), yaml.Strict())
			})
			if err != nil {
				c.addDecodeError(name, key, "must be "+expectedValue(field.Interface()))
			}
		}
	}
}

// recoverPanic returns a panic of call as an error. The YAML library panics on some texts, such as a sequence with a tag.
func recoverPanic(call func() error) (err error) {
	defer func() {
		if e := recover(); e != nil {
			err = fmt.Errorf("the YAML library failed: %v", e)
		}
	}()
	return call()
}

func fieldByTag(s reflect.Value, name string) (reflect.Value, bool) {
	for i := range s.NumField() {
		if s.Type().Field(i).Tag.Get("yaml") == name {
			return s.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// expectedValue describes the values that a field of the type of value accepts, for an error message.
func expectedValue(value any) string {
	switch value.(type) {
	case time.Duration:
		return "a duration with a unit, such as 30s or 150ms"
	case netip.AddrPort:
		return "an IP address and a port, such as 10.1.2.3:8080; host names are not resolved"
	case []netip.AddrPort:
		return "a list of IP addresses with ports, such as [10.1.2.3:8081]; host names are not resolved"
	case bool:
		return "true or false"
	case int, int64:
		return "a whole number"
	case float64:
		return "a number"
	case map[string]string:
		return "a list of names with values"
	default:
		return "text"
	}
}

// addDecodeError adds a fault of a field that could not be decoded, at the line of node.
func (c *Checker) addDecodeError(field string, node ast.Node, message string) {
	c.undecoded[field] = true
	line := 0
	if token := node.GetToken(); token != nil {
		line = token.Position.Line
	}
	c.problems = append(c.problems, &Problem{
		File:    c.name,
		Line:    line,
		Field:   field,
		Message: message,
	})
}
