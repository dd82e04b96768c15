// Package bools orders truth values. It has no side effects.
package bools

// Compare returns -1 if a is false and b is true, 1 for the reverse, and 0 if both are equal.
// As an argument of cmp.Or it puts what is false first.
func Compare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
