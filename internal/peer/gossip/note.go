package gossip

import (
	"slices"
	"time"

	"monsoonhub.example/steer"
)

// agedNote is a note with the time to which its age refers.
type agedNote struct {
	note steer.TargetObservation
	by   string // ID of the host that saw it.
	at   time.Time
}

// maxNotes bounds the notes that wait for a message: some for each target of a large region.
const maxNotes = 1000

func collect(now time.Time, list []agedNote, by string, notes []steer.TargetObservation) []agedNote {
	for _, n := range notes {
		if len(list) < maxNotes {
			list = append(list, agedNote{
				note: n,
				by:   by,
				at:   now,
			})
		}
	}
	return list
}

func current(now time.Time, list []agedNote) []steer.TargetObservation {
	notes := make([]steer.TargetObservation, 0, len(list))
	for _, a := range list {
		a.note.Age += now.Sub(a.at)
		notes = append(notes, a.note)
	}
	return notes
}

// unseen returns the notes of a message that are not this host's own.
func (t *Gossiper) unseen(m *message) []note {
	return slices.DeleteFunc(m.Notes, func(n note) bool { return n.By == t.config.Host })
}
