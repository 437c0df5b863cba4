// Package set provides a generic set of comparable values.
//
// # Usage
//
//	s := set.Of("a", "b")
//	s.Add("c")
//	if s.Has("a") { ... }
package set

// Set is a set of values.
type Set[T comparable] map[T]struct{}

// Of returns a set of the given values.
func Of[T comparable](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s.Add(v)
	}
	return s
}

// Add adds a value to the set.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Has reports whether the set contains a value.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}
