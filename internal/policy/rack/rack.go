// Package rack tells which label of a backend server names its rack. It has no side effects.
package rack

import "iter"

// Position returns the index in the labels of the servers of a pool at which they name their
// rack: the one with the most different labels, and the highest one of several. Servers list
// their labels in the same order, for example the kind and then the rack. Servers of one kind are
// in many racks and would look like a rack if any label were taken for one. servers iterates over
// the labels of each server.
func Position(servers iter.Seq[[]string]) int {
	var labels []map[string]bool // by position
	for server := range servers {
		for i, label := range server {
			if i == len(labels) {
				labels = append(labels, map[string]bool{})
			}
			labels[i][label] = true
		}
	}
	position := 0
	for i := range labels {
		if len(labels[i]) >= len(labels[position]) {
			position = i
		}
	}
	return position
}

// At returns the label at an index, or "" for a server with fewer labels.
func At(labels []string, position int) string {
	if position >= len(labels) {
		return ""
	}
	return labels[position]
}
