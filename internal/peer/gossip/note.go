package gossip

import (
	"slices"
	"time"

	"monsoonhub.example/steer"
)

// agedNote is a note, an observation of a target, with the time at which its age was correct.
type agedNote struct {
	note       steer.TargetObservation
	hostID     string // ID of the host that saw it.
	receivedAt time.Time
}

// maxNotes bounds the notes that wait for the next message. It allows several for each target of a large region.
const maxNotes = 1000

// appendNotes appends the notes of a host to a list, up to maxNotes.
func appendNotes(now time.Time, list []agedNote, hostID string, notes []steer.TargetObservation) []agedNote {
	for _, n := range notes {
		if len(list) < maxNotes {
			list = append(list, agedNote{
				note:       n,
				hostID:     hostID,
				receivedAt: now,
			})
		}
	}
	return list
}

// currentNotes returns the notes with their ages at the given time.
func currentNotes(now time.Time, list []agedNote) []steer.TargetObservation {
	notes := make([]steer.TargetObservation, 0, len(list))
	for _, a := range list {
		a.note.Age += now.Sub(a.receivedAt)
		notes = append(notes, a.note)
	}
	return notes
}

// notesOfOthers returns the notes of a message without those that this host made. It reuses the list of the message.
func (g *Gossiper) notesOfOthers(m *message) []note {
	return slices.DeleteFunc(m.Notes, func(n note) bool { return n.HostID == g.config.Host })
}
