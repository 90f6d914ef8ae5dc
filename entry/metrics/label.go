package metrics

// Other is the label value that stands for all names beyond the limit of a Label.
const Other = "other"

// Label bounds the number of values of a label whose names come from a configuration. It keeps the names that it meets
// first, since a metric with a label value exists until the process ends. It is not safe for concurrent use.
type Label struct {
	limit int
	known map[string]bool
}

// NewLabel returns a label with at most limit values besides Other.
func NewLabel(limit int) *Label {
	return &Label{limit: limit, known: map[string]bool{}}
}

// Value returns the value for a name: the name itself, or Other if the limit is reached.
func (l *Label) Value(name string) string {
	if l.known[name] {
		return name
	}
	if len(l.known) >= l.limit {
		return Other
	}
	l.known[name] = true
	return name
}
