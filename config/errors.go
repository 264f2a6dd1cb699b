package config

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Errors that Parse wraps in an InvalidError.
var (
	// ErrTooLarge means that a body exceeds MaxBytes or maxElements.
	ErrTooLarge = eris.New("value exceeds the maximum size or the maximum number of YAML elements")
	// ErrAlias means that a body uses a YAML alias or anchor.
	ErrAlias = eris.New("aliases and anchors are not allowed")
	// ErrRevision means that a body and the platform disagree on the revision.
	ErrRevision = eris.New("revision differs from that reported by the platform")
	// ErrName means that no value can have the name, or that the body belongs
	// to a value of another name.
	ErrName = eris.New("no value can have this name")
	// ErrSyntax means that a body isn't one YAML document of the known fields.
	ErrSyntax = eris.New("malformed value")
	// ErrField means that the content of a field is not allowed.
	ErrField = eris.New("invalid field")
)

// InvalidError reports why a value was refused.
type InvalidError struct {
	// Name is the name of the value.
	Name string
	// Field is the path of the field, like routes[2].class, if known.
	Field string
	// Line is the line of the field, counted from 1, or 0 if not known.
	Line int
	// Reason describes the fault without quoting keys.
	Reason string
	// Err is one of the errors of this package.
	Err error
}

// Error implements error.
func (e *InvalidError) Error() string {
	where := e.Name
	if e.Line > 0 {
		where = fmt.Sprintf("%s:%d", where, e.Line)
	}
	if e.Field != "" {
		where = fmt.Sprintf("%s: %s", where, e.Field)
	}
	if e.Reason == "" {
		return fmt.Sprintf("%s: %v", where, e.Err)
	}
	return fmt.Sprintf("%s: %s", where, e.Reason)
}

// Unwrap returns Err.
func (e *InvalidError) Unwrap() error { return e.Err }

// StaleRevisionError means that a view already holds the same or a higher
// revision of a value.
type StaleRevisionError struct {
	Name      string
	Have, Got Revision
}

// Error implements error.
func (e *StaleRevisionError) Error() string {
	return fmt.Sprintf("%s: revision %d is not above %d", e.Name, e.Got, e.Have)
}
