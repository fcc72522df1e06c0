package jsonc

import "bytes"

// excessDepthLine returns the first line on which the nesting exceeds maxDepth,
// or 0. Brackets in strings and comments are ignored.
func excessDepthLine(text []byte) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '[', '{':
			depth++
			if depth > maxDepth {
				return 1 + bytes.Count(text[:i], []byte("\n"))
			}
		case ']', '}':
			depth--
		case '"':
			i = endOfString(text, i)
		case '/':
			i = endOfComment(text, i)
		}
	}
	return 0
}

// endOfString returns the index of the closing quote of the string at start, or
// the length of text.
func endOfString(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}

// endOfComment returns the index of the last byte of the comment at start. It
// returns start if there is no comment, and the length of text if the comment
// has no end.
func endOfComment(text []byte, start int) int {
	rest := text[start:]
	var end []byte
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end = []byte("\n")
	case bytes.HasPrefix(rest, []byte("/*")):
		end = []byte("*/")
	default:
		return start
	}
	i := bytes.Index(rest[2:], end)
	if i < 0 {
		return len(text)
	}
	return start + 2 + i + len(end) - 1
}
