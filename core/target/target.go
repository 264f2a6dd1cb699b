// Package target derives the order in which classes of requests are served
// from the targets that operators set. There are no weights: a class that must
// complete a larger share of its requests ranks first, and among equals the
// class that must complete sooner.
package target

import (
	"sort"
	"time"
)

// Rank is the position of a class in the order of service. Zero is served
// first and shed last.
type Rank uint8

// MaxClasses is the largest number of classes a fleet may define.
const MaxClasses = 64

// Target is the service level objective of a class, set by the operator.
type Target struct {
	// Completion is the share of requests that must complete, from 0 to 1.
	Completion float64
	// Within is the time by which a request must have completed.
	Within time.Duration
}

// Class is a named class of requests with its target.
type Class struct {
	Name   string
	Target Target
}

// Order holds the rank of every class of a fleet. It is immutable.
type Order struct {
	ranks   map[string]Rank
	classes []Class
}

// NewOrder ranks the classes by their targets; equal targets are ordered by
// name, so that all instances derive the same order.
func NewOrder(classes []Class) *Order {
	sorted := make([]Class, len(classes))
	copy(sorted, classes)
	sort.Slice(sorted, func(i, j int) bool { return before(sorted[i], sorted[j]) })
	ranks := make(map[string]Rank, len(sorted))
	for i, c := range sorted {
		ranks[c.Name] = Rank(i)
	}
	return &Order{ranks: ranks, classes: sorted}
}

func before(a, b Class) bool {
	if a.Target.Completion != b.Target.Completion {
		return a.Target.Completion > b.Target.Completion
	}
	if a.Target.Within != b.Target.Within {
		return a.Target.Within < b.Target.Within
	}
	return a.Name < b.Name
}

// Rank returns the rank of the named class. An unknown class has the last
// rank and ok is false.
func (o *Order) Rank(class string) (rank Rank, ok bool) {
	rank, ok = o.ranks[class]
	if !ok {
		return Rank(len(o.classes)), false
	}
	return rank, true
}

// Class returns the class that holds the rank.
func (o *Order) Class(rank Rank) (Class, bool) {
	if int(rank) >= len(o.classes) {
		return Class{}, false
	}
	return o.classes[rank], true
}

// Len returns the number of classes.
func (o *Order) Len() int { return len(o.classes) }
