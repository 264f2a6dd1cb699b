package settings

import (
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// yamlFieldName returns the name of a field in the file, for validation errors.
func yamlFieldName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

// lineOf returns the line of the field with the dotted path, or of its closest
// parent in the file.
func lineOf(data []byte, path string) int {
	var document yaml.Node
	if yaml.Unmarshal(data, &document) != nil || len(document.Content) == 0 {
		return 1
	}
	node, line := document.Content[0], 1
	for _, name := range strings.Split(path, ".") {
		key, value := lookup(node, name)
		if key == nil {
			return line
		}
		node, line = value, key.Line
	}
	return line
}

func lookup(mapping *yaml.Node, name string) (key, value *yaml.Node) {
	if mapping.Kind != yaml.MappingNode {
		return nil, nil
	}
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == name {
			return mapping.Content[i], mapping.Content[i+1]
		}
	}
	return nil, nil
}

// typeMismatch matches the YAML library's message about a value that can't be
// decoded into the type of its field. The library truncates long values and
// appends dots.
var typeMismatch = regexp.MustCompile("^line (\\d+): cannot unmarshal \\S+ `([^`]*?)(?:\\.\\.\\.)?` into (\\S+)")

// addFieldPath adds the field's path to a message that matches typeMismatch,
// which contains only the line.
func addFieldPath(data []byte, message string) string {
	match := typeMismatch.FindStringSubmatch(message)
	var document yaml.Node
	if match == nil || yaml.Unmarshal(data, &document) != nil || len(document.Content) == 0 {
		return message
	}
	line, _ := strconv.Atoi(match[1])
	path := scalarPath(document.Content[0], line, match[2])
	if path == "" {
		return message
	}
	return "line " + match[1] + ": field " + path + ": not a valid " + match[3]
}

// scalarPath returns the dotted path of the scalar on a line whose value starts
// with prefix, or an empty string if there is none.
func scalarPath(mapping *yaml.Node, line int, prefix string) string {
	for i := 0; mapping.Kind == yaml.MappingNode && i+1 < len(mapping.Content); i += 2 {
		name, value := mapping.Content[i].Value, mapping.Content[i+1]
		if value.Kind == yaml.ScalarNode && value.Line == line && strings.HasPrefix(value.Value, prefix) {
			return name
		}
		if inner := scalarPath(value, line, prefix); inner != "" {
			return name + "." + inner
		}
	}
	return ""
}
