package document

import (
	"fmt"
	"regexp"
	"strings"
)

var (
	tablePattern = regexp.MustCompile(`^\s*\[([A-Za-z0-9_.-]+)\]`)
	arrayPattern = regexp.MustCompile(`^\s*\[\[([A-Za-z0-9_.-]+)\]\]`)
	keyPattern   = regexp.MustCompile(`^\s*([A-Za-z0-9_-]+)\s*=`)
)

// lineIndex maps the path of each table and key to the line that sets it, counted from 1. It contains only unquoted keys at
// the start of a line, so keys in inline tables have no line.
type lineIndex map[string]int

func newLineIndex(text string) lineIndex {
	x := lineIndex{}
	counts := map[string]int{}
	prefix := ""
	for i, l := range strings.Split(text, "\n") {
		if m := arrayPattern.FindStringSubmatch(l); m != nil {
			prefix = fmt.Sprintf("%s[%d]", m[1], counts[m[1]])
			counts[m[1]]++
			x[prefix] = i + 1
			continue
		}
		if m := tablePattern.FindStringSubmatch(l); m != nil {
			prefix = m[1]
			x[prefix] = i + 1
			continue
		}
		if m := keyPattern.FindStringSubmatch(l); m != nil {
			x[joinPath(prefix, m[1])] = i + 1
		}
	}
	return x
}

func joinPath(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}
