package query

const maxIDBytes = 64

// ValidID reports whether an id can be written in a line of a frame to a node: 1 to 64 ASCII letters, digits, hyphens and underscores.
func ValidID(id string) bool {
	for i := range len(id) {
		if !validIDByte(id[i]) {
			return false
		}
	}
	return id != "" && len(id) <= maxIDBytes
}

func validIDByte(c byte) bool {
	digit := c >= '0' && c <= '9'
	lower := c >= 'a' && c <= 'z'
	upper := c >= 'A' && c <= 'Z'
	return digit || lower || upper || c == '-' || c == '_'
}
