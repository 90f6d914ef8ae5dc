package document

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"
)

const durationMessage = "google.protobuf.Duration"

// convertTable checks a TOML table against the fields of a message and returns it in the form of its JSON encoding.
func (d *Document) convertTable(path string, t map[string]any, m protoreflect.MessageDescriptor) (map[string]any, error) {
	r := make(map[string]any, len(t))
	for _, k := range sortedKeys(t) {
		p := joinPath(path, k)
		f := m.Fields().ByJSONName(k)
		if f == nil {
			return nil, &UnknownKeyError{Position: d.Position(p), Expected: fieldNames(m)}
		}
		v, err := d.convertField(p, t[k], f)
		if err != nil {
			return nil, err
		}
		r[k] = v
	}
	return r, nil
}

func (d *Document) convertField(path string, v any, f protoreflect.FieldDescriptor) (any, error) {
	if !f.IsList() {
		return d.convertValue(path, v, f)
	}
	var l []any
	switch x := v.(type) {
	case []any:
		l = x
	case []map[string]any:
		for _, e := range x {
			l = append(l, e)
		}
	default:
		return nil, d.newTypeError(path, "an array", v)
	}
	r := make([]any, 0, len(l))
	for i, e := range l {
		c, err := d.convertValue(fmt.Sprintf("%s[%d]", path, i), e, f)
		if err != nil {
			return nil, err
		}
		r = append(r, c)
	}
	return r, nil
}

func (d *Document) convertValue(path string, v any, f protoreflect.FieldDescriptor) (any, error) {
	switch f.Kind() {
	case protoreflect.StringKind:
		return checkType[string](d, path, "a string", v)
	case protoreflect.BoolKind:
		return checkType[bool](d, path, "a boolean", v)
	case protoreflect.Int32Kind, protoreflect.Int64Kind:
		return d.convertInteger(path, v, f.Kind())
	case protoreflect.DoubleKind:
		if i, ok := v.(int64); ok {
			return i, nil
		}
		return checkType[float64](d, path, "a number", v)
	case protoreflect.MessageKind:
		return d.convertMessage(path, v, f.Message())
	default:
		return nil, d.newTypeError(path, f.Kind().String(), v)
	}
}

func (d *Document) convertInteger(path string, v any, k protoreflect.Kind) (any, error) {
	i, ok := v.(int64)
	if !ok {
		return nil, d.newTypeError(path, "an integer", v)
	}
	if k == protoreflect.Int32Kind && int64(int32(i)) != i {
		return nil, d.NewRangeError(path, "an integer of 32 bits", strconv.FormatInt(i, 10))
	}
	return i, nil
}

func (d *Document) convertMessage(path string, v any, m protoreflect.MessageDescriptor) (any, error) {
	if m.FullName() == durationMessage {
		return d.convertDuration(path, v)
	}
	t, ok := v.(map[string]any)
	if !ok {
		return nil, d.newTypeError(path, "a table", v)
	}
	return d.convertTable(path, t, m)
}

func (d *Document) convertDuration(path string, v any) (any, error) {
	s, ok := v.(string)
	if !ok {
		return nil, d.newTypeError(path, `a duration such as "1.5s"`, v)
	}
	t, err := time.ParseDuration(s)
	if err != nil {
		return nil, d.NewRangeError(path, `a duration such as "1.5s"`, s)
	}
	return strconv.FormatFloat(t.Seconds(), 'f', 9, 64) + "s", nil
}

func checkType[T any](d *Document, path, expected string, v any) (any, error) {
	if _, ok := v.(T); !ok {
		return nil, d.newTypeError(path, expected, v)
	}
	return v, nil
}

func (d *Document) newTypeError(path, expected string, v any) error {
	return &TypeError{Position: d.Position(path), Expected: expected, Found: describeValue(v)}
}

func describeValue(v any) string {
	switch x := v.(type) {
	case string:
		return fmt.Sprintf("the string %q", x)
	case int64:
		return fmt.Sprintf("the integer %d", x)
	case float64:
		return fmt.Sprintf("the number %g", x)
	case bool:
		return fmt.Sprintf("the boolean %t", x)
	case map[string]any:
		return "a table"
	case []any, []map[string]any:
		return "an array"
	default:
		return "a date or time"
	}
}

func sortedKeys(t map[string]any) []string {
	l := make([]string, 0, len(t))
	for k := range t {
		l = append(l, k)
	}
	sort.Strings(l)
	return l
}

func fieldNames(m protoreflect.MessageDescriptor) string {
	f := m.Fields()
	l := make([]string, 0, f.Len())
	for i := range f.Len() {
		l = append(l, f.Get(i).JSONName())
	}
	sort.Strings(l)
	return strings.Join(l, ", ")
}
