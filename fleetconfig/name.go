package fleetconfig

import "regexp"

// namePattern restricts names to characters that are safe in row keys, paths and log lines.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$`)

func (c *checker) requireValidName() {
	if !namePattern.MatchString(c.name) {
		c.add("", "the name is invalid", "use 1 to 127 letters, digits, dots, dashes or underscores, starting with a letter or digit")
	}
}
