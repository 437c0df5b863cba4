// Package set holds a generic set of comparable values.
//
// # Usage
//
//	s := set.Of("a", "b")
//	s.Add("c")
//	if s.Has("a") { ... }
package set

// Set holds each value once.
type Set[T comparable] map[T]struct{}

// Of returns a set of the given values.
func Of[T comparable](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s.Add(v)
	}
	return s
}

// Add puts a value into the set.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Has tells whether the set holds a value.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}
