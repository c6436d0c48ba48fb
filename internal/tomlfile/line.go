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

// findLine returns the number of the line that has a key, else of the header of the innermost table that would hold
// it, else 0. An index in the key counts the headers of an array of tables; a key without indices is found in the
// first table that has it.
func findLine(text []byte, key string) int {
	wanted := newKeyPattern(key)
	tables := tableNames{}
	table := "" // that the line is in, with indices
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

// tableNames counts the headers of each array of tables.
type tableNames map[string]int

// name returns the name of a table, with its index where it is an element of an array.
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

// keyPattern is a key to be found. Where it has no indices, those of the text do not count.
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
