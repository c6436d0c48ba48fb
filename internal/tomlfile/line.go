package tomlfile

import (
	"fmt"
	"regexp"
	"strings"
)

var (
	tableHeader = regexp.MustCompile(`^\s*(\[\[?)\s*([^\]]+?)\s*\]`)
	assignment  = regexp.MustCompile(`^\s*([A-Za-z0-9_."-]+)\s*=`)
	arrayIndex  = regexp.MustCompile(`\[\d+\]`)
)

// findLine returns the number of the line that assigns a key or opens the table of that name. If there is none, it
// returns the line of the header of the innermost table that the key belongs to, or 0 if that is missing too. An index
// in the key selects an element of an array of tables; a key without indices is looked for in all elements, and the
// first match counts.
func findLine(text []byte, key string) int {
	wanted := newKeyPattern(key)
	tables := tableNames{}
	table := "" // name of the table that contains the line, with indices
	fallbackLine, fallbackLength := 0, 0
	for i, line := range strings.Split(string(text), "\n") {
		if m := tableHeader.FindStringSubmatch(line); m != nil {
			table = tables.name(m[2], m[1] == "[[")
			if wanted.matches(table) {
				return i + 1
			}
			if wanted.isInside(table) && len(table) > fallbackLength {
				fallbackLine, fallbackLength = i+1, len(table)
			}
			continue
		}
		if m := assignment.FindStringSubmatch(line); m != nil && wanted.matches(joinKey(table, m[1])) {
			return i + 1
		}
	}
	return fallbackLine
}

// tableNames holds the number of elements seen so far, by array of tables.
type tableNames map[string]int

// name returns the name of the table under a header, with an index if it is an element of an array of tables.
func (n tableNames) name(header string, isArrayElement bool) string {
	if !isArrayElement {
		return header
	}
	index := n[header]
	n[header]++
	return fmt.Sprintf("%s[%d]", header, index)
}

func joinKey(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

// keyPattern is a key to look for. If it has no indices, those of the table names in the text are ignored.
type keyPattern struct {
	key           string
	ignoreIndices bool
}

func newKeyPattern(key string) keyPattern {
	return keyPattern{
		key:           key,
		ignoreIndices: !arrayIndex.MatchString(key),
	}
}

func (p keyPattern) normalize(key string) string {
	if p.ignoreIndices {
		return arrayIndex.ReplaceAllString(key, "")
	}
	return key
}

func (p keyPattern) matches(key string) bool { return p.normalize(key) == p.key }

func (p keyPattern) isInside(table string) bool {
	return strings.HasPrefix(p.key, p.normalize(table)+".")
}
