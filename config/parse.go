package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// MaxBytes is the largest body of a value, in bytes.
const MaxBytes = 1 << 20

// maxElements bounds the number of separators in a body. It bounds the memory
// that decoding takes, which for short elements is many times the size of the
// body.
const maxElements = 100_000

// Parse decodes and validates the body of the named value. Rev is the revision
// that the platform reported; the body must state the same. Every error is an
// *InvalidError.
func Parse(name string, body []byte, rev Revision) (Value, error) {
	value, err := newValue(name)
	if err != nil {
		return nil, err
	}
	if len(body) > MaxBytes || countElements(body) > maxElements {
		return nil, &InvalidError{Name: name, Err: ErrTooLarge}
	}
	root, err := parseTree(name, body)
	if err != nil {
		return nil, err
	}
	if err := decodeStrict(name, body, value); err != nil {
		return nil, err
	}
	f := &fieldChecker{name: name, root: root}
	if value.Name() != name {
		return nil, f.invalid("", "the body names another value", ErrName)
	}
	if value.Rev() != rev {
		return nil, f.invalid("revision", "", ErrRevision)
	}
	value.validate(f)
	if f.err != nil {
		return nil, f.err
	}
	return value, nil
}

func newValue(name string) (Value, error) {
	switch KindOf(name) {
	case KindFleet:
		return &Fleet{}, nil
	case KindService:
		return &Service{}, nil
	case KindInstances:
		return &Instances{}, nil
	case KindKeys:
		return &Keys{}, nil
	default:
		return nil, &InvalidError{Name: name, Err: ErrName}
	}
}

// countElements returns the number of separators in the body. The number of its
// YAML nodes is at most a small multiple of that.
func countElements(body []byte) int {
	count := 0
	for i, c := range body {
		switch c {
		case '\n', '\r', ',', '[', '{', 0xc2, 0xe2: // the last two are the first bytes of Unicode line breaks
			count++
		case '-', '?':
			if i+1 < len(body) && (body[i+1] == ' ' || body[i+1] == '\t') {
				count++
			}
		}
	}
	return count
}

// parseTree returns the root of the tree of YAML nodes. It refuses aliases
// without following them.
func parseTree(name string, body []byte) (*yaml.Node, error) {
	var document yaml.Node
	if err := yaml.Unmarshal(body, &document); err != nil {
		return nil, syntaxError(name, err)
	}
	if len(document.Content) != 1 || document.Content[0].Kind != yaml.MappingNode {
		return nil, &InvalidError{Name: name, Reason: "the document is not a mapping", Err: ErrSyntax}
	}
	if line := aliasLine(&document); line > 0 {
		return nil, &InvalidError{Name: name, Line: line, Err: ErrAlias}
	}
	return document.Content[0], nil
}

// aliasLine returns the line of the first alias or anchor, or 0.
func aliasLine(node *yaml.Node) int {
	if node.Kind == yaml.AliasNode || node.Anchor != "" {
		return node.Line
	}
	for _, child := range node.Content {
		if line := aliasLine(child); line > 0 {
			return line
		}
	}
	return 0
}

func decodeStrict(name string, body []byte, value Value) error {
	decoder := yaml.NewDecoder(bytes.NewReader(body))
	decoder.KnownFields(true)
	if err := decoder.Decode(value); err != nil {
		return syntaxError(name, err)
	}
	var more yaml.Node
	if err := decoder.Decode(&more); !errors.Is(err, io.EOF) {
		return &InvalidError{Name: name, Line: more.Line, Reason: "more than one document", Err: ErrSyntax}
	}
	return nil
}

var (
	linePattern   = regexp.MustCompile(`line (\d+): `)
	fieldPattern  = regexp.MustCompile(`field (\S+) not found|mapping key "([^"]+)" already defined`)
	goTypePattern = regexp.MustCompile(` in type config\.\w+`)
)

// syntaxError converts an error of the YAML library to an InvalidError. It
// removes the names of Go types from the message.
func syntaxError(name string, err error) error {
	text := err.Error()
	var decodeError *yaml.TypeError
	if errors.As(err, &decodeError) && len(decodeError.Errors) > 0 {
		text = decodeError.Errors[0]
	}
	invalid := &InvalidError{Name: name, Reason: goTypePattern.ReplaceAllString(text, ""), Err: ErrSyntax}
	if found := linePattern.FindStringSubmatch(text); found != nil {
		invalid.Line, _ = strconv.Atoi(found[1])
		_, invalid.Reason, _ = strings.Cut(invalid.Reason, found[0])
	}
	if found := fieldPattern.FindStringSubmatch(text); found != nil {
		invalid.Field = found[1] + found[2]
	}
	return invalid
}

// fieldChecker records the first invalid field of a value.
type fieldChecker struct {
	name string
	root *yaml.Node
	err  error
}

func (f *fieldChecker) invalid(field, reason string, err error) error {
	return &InvalidError{Name: f.name, Field: field, Line: lineOf(f.root, field), Reason: reason, Err: err}
}

// check records the field with the reason, unless ok or an earlier field is
// invalid. Format and args give the path of the field.
func (f *fieldChecker) check(ok bool, reason, format string, args ...any) {
	if !ok && f.err == nil {
		f.err = f.invalid(fmt.Sprintf(format, args...), reason, ErrField)
	}
}

// lineOf returns the line of the field, or of its nearest ancestor in the body.
func lineOf(node *yaml.Node, field string) int {
	path := strings.FieldsFunc(field, func(r rune) bool { return r == '.' || r == '[' || r == ']' })
	for _, step := range path {
		next := childOf(node, step)
		if next == nil {
			break
		}
		node = next
	}
	return node.Line
}

func childOf(node *yaml.Node, step string) *yaml.Node {
	if node.Kind == yaml.SequenceNode {
		index, err := strconv.Atoi(step)
		if err != nil || index >= len(node.Content) {
			return nil
		}
		return node.Content[index]
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == step {
			return node.Content[i+1]
		}
	}
	return nil
}
