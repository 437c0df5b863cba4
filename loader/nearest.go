package loader

import "google.golang.org/protobuf/reflect/protoreflect"

// maxDistance is the largest edit distance at which a key is suggested.
const maxDistance = 3

// suggestion returns the most similar known name as a question to append to an error
// message, or an empty string if no name is similar.
func suggestion(name string, known protoreflect.FieldDescriptors) string {
	best, distance := "", maxDistance+1
	for i := range known.Len() {
		candidate := string(known.Get(i).Name())
		if d := editDistance(name, candidate); d < distance {
			best, distance = candidate, d
		}
	}
	if best == "" {
		return ""
	}
	return "; did you mean " + best + "?"
}

// editDistance returns the Levenshtein distance between two names.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := diagonal
			if a[i-1] != b[j-1] {
				cost = 1 + min(diagonal, row[j], row[j-1])
			}
			diagonal, row[j] = row[j], cost
		}
	}
	return row[len(b)]
}
