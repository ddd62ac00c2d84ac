package place

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"reflect"
	"slices"
)

// StateHash returns a hash of all that the placer holds, so that tests can tell whether a call has changed anything.
func (p *Placer) StateHash() uint64 {
	h := fnv.New64a()
	writeState(h, reflect.ValueOf(p).Elem(), map[uintptr]bool{})
	return h.Sum64()
}

// writeState writes a value and what it refers to, each pointer once.
func writeState(w io.Writer, v reflect.Value, seen map[uintptr]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || seen[v.Pointer()] {
			return
		}
		seen[v.Pointer()] = true
		writeState(w, v.Elem(), seen)
	case reflect.Struct:
		for i := range v.NumField() {
			writeState(w, v.Field(i), seen)
		}
	case reflect.Slice, reflect.Array:
		_, _ = fmt.Fprint(w, v.Len(), "[")
		for i := range v.Len() {
			writeState(w, v.Index(i), seen)
		}
	case reflect.Map:
		keys := map[string]reflect.Value{}
		for _, key := range v.MapKeys() {
			keys[fmt.Sprint(key)] = key
		}
		for _, name := range slices.Sorted(maps.Keys(keys)) {
			_, _ = fmt.Fprint(w, name, ":")
			writeState(w, v.MapIndex(keys[name]), seen)
		}
	case reflect.Func:
	case reflect.Uint32:
		_, _ = w.Write(binary.LittleEndian.AppendUint32(nil, uint32(v.Uint()))) // Most values are remembered objects.
	default:
		_, _ = fmt.Fprint(w, v, ",")
	}
}
