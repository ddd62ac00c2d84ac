package slots

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// slotTakenRequest is the slot-taken message. The link identifies its sender.
type slotTakenRequest struct {
	Slot       int    `cbor:"slot"`
	Generation uint64 `cbor:"generation"`
}

// slotTakenAnswer is the answer to slot-taken.
type slotTakenAnswer struct {
	Incarnation       uint64        `cbor:"incarnation"`        // Incarnation of the answering process.
	KnownGeneration   uint64        `cbor:"known"`              // Highest generation that the answering process knows.
	Holder            string        `cbor:"holder"`             // Id of the host that claims that generation.
	HolderIncarnation uint64        `cbor:"holder-incarnation"` // Incarnation of the process that claims it.
	LoansRemaining    time.Duration `cbor:"remaining"`          // Until the answering process's last loan ends.
}

func (a slotTakenAnswer) owner() owner {
	return owner{
		Holder:      a.Holder,
		Incarnation: a.HolderIncarnation,
	}
}

func decodeRequest(data []byte) (slotTakenRequest, error) {
	var t slotTakenRequest
	if err := cbor.Unmarshal(data, &t); err != nil {
		return slotTakenRequest{}, eris.Wrap(err, "slot-taken")
	}
	if t.Slot < 0 || t.Slot >= maxSlots || t.Generation == 0 {
		return slotTakenRequest{}, eris.Errorf("slot-taken: no slot %d with generation %d", t.Slot, t.Generation)
	}
	return t, nil
}

func decodeAnswer(data []byte) (slotTakenAnswer, error) {
	var a slotTakenAnswer
	if err := cbor.Unmarshal(data, &a); err != nil {
		return slotTakenAnswer{}, eris.Wrap(err, "slot-taken answer")
	}
	return a, nil
}
