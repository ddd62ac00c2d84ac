package publ_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/conf/manif"
	"monsoonhub.example/steer/internal/conf/publ"
)

const fleet = `kind: fleet
data-centres:
  - {name: golfo-1, region: golfo}
  - {name: golfo-2, region: golfo}
`

// service is a steering file with one target at the port in the data centre.
func service(name string, port int, centre string) string {
	return fmt.Sprintf(`kind: service
name: %s
routes:
  - {prefix: /}
targets:
  - {id: %s-1, data-centre: %s, address: "127.0.0.1:%d", slots: 9}
`, name, name, centre, port)
}

// operator is one directory of steering files.
type operator struct {
	t   testing.TB
	dir string
}

func newOperator(t testing.TB, texts map[string]string) *operator {
	o := &operator{
		t:   t,
		dir: t.TempDir(),
	}
	for name, text := range texts {
		o.write(name, text)
	}
	return o
}

func (o *operator) write(name, text string) {
	o.t.Helper()
	assert.NilError(o.t, os.WriteFile(filepath.Join(o.dir, name), []byte(text), 0o600))
}

func (o *operator) publish(s steer.Store) publ.Result {
	o.t.Helper()
	result, err := publ.Publish(context.Background(), publ.Config{
		Store: s,
		Dir:   o.dir,
	})
	assert.NilError(o.t, err)
	return result
}

func (o *operator) want(s steer.Store, outcome publ.Outcome) publ.Result {
	o.t.Helper()
	r := o.publish(s)
	assert.Equal(o.t, r.Outcome, outcome, "%+v", r)
	return r
}

// two returns two operators who both hold everything that the store holds.
func two(t testing.TB, s *store) (*operator, *operator) {
	texts := map[string]string{
		"fleet.yaml":    fleet,
		"reservas.yaml": service("reservas", 1001, "golfo-1"),
		"convoyes.yaml": service("convoyes", 1002, "golfo-1"),
	}
	a, b := newOperator(t, texts), newOperator(t, texts)
	a.want(s, publ.Accepted)
	b.want(s, publ.Unchanged)
	return a, b
}

// Operators who change different services must not block or revert each other, although both hold all files.
func TestDifferentServicesBothSucceed(t *testing.T) {
	s := newStore()
	a, b := two(t, s)
	a.write("reservas.yaml", service("reservas", 2001, "golfo-1"))
	b.write("convoyes.yaml", service("convoyes", 2002, "golfo-1"))
	a.want(s, publ.Accepted)
	reservas := s.manifest().Part("service/reservas").Hash
	assert.DeepEqual(t, b.want(s, publ.Accepted).ChangedParts, []string{"service/convoyes"})
	assert.Equal(t, s.manifest().Part("service/reservas").Hash, reservas)
	a.want(s, publ.Unchanged)
	assert.Equal(t, s.manifest().Version, uint64(3))
}

// The later change of the same service must not overwrite the earlier one, and must be told what changed.
func TestSameServiceIsRefused(t *testing.T) {
	s := newStore()
	a, b := two(t, s)
	a.write("reservas.yaml", service("reservas", 2001, "golfo-1"))
	b.write("reservas.yaml", service("reservas", 2002, "golfo-1"))
	first := a.want(s, publ.Accepted)
	for range 2 {
		r := b.want(s, publ.Refused)
		assert.DeepEqual(t, r.Conflicts, []publ.Conflict{
			{
				Part:          "service/reservas",
				Version:       2,
				PublicationID: first.PublicationID,
				Hash:          s.manifest().Part("service/reservas").Hash,
			},
		})
	}
	assert.Equal(t, s.manifest().Version, uint64(2))
}

// A change that is valid in each directory but not in the merged whole must not be published.
func TestMergedWholeIsValidated(t *testing.T) {
	s := newStore()
	a, b := two(t, s)
	a.write("fleet.yaml", strings.Replace(fleet, "  - {name: golfo-2, region: golfo}\n", "", 1))
	a.want(s, publ.Accepted)
	b.write("reservas.yaml", service("reservas", 1001, "golfo-2"))
	r := b.want(s, publ.Refused)
	assert.Equal(t, len(r.Problems), 1)
	got := strings.TrimPrefix(r.Problems[0].String(), b.dir+"/")
	assert.Equal(t, got, `reservas.yaml:6: targets[0].data-centre: data centre "golfo-2" is not in the fleet file`)
	assert.Equal(t, s.manifest().Version, uint64(2))
}

// An operator whose change does not fit a part of another directory must not be told to correct the own files.
func TestPartElsewhereIsNamed(t *testing.T) {
	s := newStore()
	a, _ := two(t, s)
	c := newOperator(t, map[string]string{
		"fleet.yaml": strings.ReplaceAll(fleet, "golfo-1", "golfo-9"),
	})
	r := c.want(s, publ.Refused)
	assert.Equal(t, r.Problems[0].File, "service/convoyes")
	assert.Assert(t, strings.Contains(r.RerunHint, "a part that is not in this directory"), r.RerunHint)
	a.want(s, publ.Unchanged)
}

// A directory that holds one service must not touch the parts of other directories, and can take its own out.
func TestPartialDirectoryAndRemoval(t *testing.T) {
	s := newStore()
	two(t, s)
	c := newOperator(t, map[string]string{
		"turnos.yaml": service("turnos", 1003, "golfo-2"),
	})
	assert.DeepEqual(t, c.want(s, publ.Accepted).ChangedParts, []string{"service/turnos"})
	assert.Equal(t, len(s.manifest().LiveParts()), 4)
	c.write("turnos.yaml", "kind: service\nname: turnos\nremove: true\n")
	c.want(s, publ.Accepted)
	assert.Equal(t, len(s.manifest().LiveParts()), 3)
	c.want(s, publ.Unchanged)
	c.write("fleet.yaml", "kind: fleet\nremove: true\n")
	c.want(s, publ.Refused)
}

// loseAnswers makes the next manifest swap take effect without an answer, and then calls f.
func loseAnswers(s *store, f func()) {
	s.after = func(_, key string) error {
		if key != manif.Key {
			return nil
		}
		s.after = nil
		f()
		return steer.ErrUnknown
	}
}

// A publication whose answer was lost must be reported as accepted when it can be found, even after a second operator
// has published on top of it.
func TestLostAnswerRacedBySecondOperator(t *testing.T) {
	s := newStore()
	a, b := two(t, s)
	a.write("reservas.yaml", service("reservas", 2001, "golfo-1"))
	b.write("convoyes.yaml", service("convoyes", 2002, "golfo-1"))
	loseAnswers(s, func() { b.want(s, publ.Accepted) })
	r := a.want(s, publ.Accepted)
	assert.Equal(t, r.Version, uint64(2))
	assert.Equal(t, s.manifest().Version, uint64(3))
	a.want(s, publ.Unchanged)
}

// With the store down after the lost answer, the outcome must be unknown, the rerun must settle it, and the second
// operator must be told the truth. Nothing may revert.
func TestLostAnswerRacedThenStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		a, b := two(t, s)
		a.write("reservas.yaml", service("reservas", 2001, "golfo-1"))
		b.write("reservas.yaml", service("reservas", 2002, "golfo-1"))
		loseAnswers(s, func() {
			r := b.want(s, publ.Refused)
			assert.Equal(t, r.Conflicts[0].Version, uint64(2))
			s.before = func(string, string) error { return steer.ErrDown }
		})
		a.want(s, publ.Unknown)
		b.want(s, publ.Refused)
		s.before = nil
		a.want(s, publ.Unchanged)
		r := b.want(s, publ.Refused)
		assert.Equal(t, len(r.Conflicts), 1)
		assert.Equal(t, s.manifest().Version, uint64(2))
	})
}

// A swap that may still arrive must not be reported as refused, and must not take effect twice.
func TestDelayedSwapTakesEffectOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		a, _ := two(t, s)
		a.write("reservas.yaml", service("reservas", 2001, "golfo-1"))
		lost := 0
		s.before = func(op, key string) error {
			if op == "swap" && key == manif.Key && lost < 3 {
				lost++
				return steer.ErrUnknown
			}
			return nil
		}
		assert.Equal(t, a.want(s, publ.Accepted).Version, uint64(2))
		assert.Equal(t, len(s.history), 2)
	})
}

// A slow or failing store must be retried within the limit, and a store that stays down must give a true refusal.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		a, _ := two(t, s)
		a.write("reservas.yaml", service("reservas", 2001, "golfo-1"))
		s.before = func(string, string) error { return steer.ErrDown }
		start := time.Now()
		r := a.want(s, publ.Refused)
		assert.ErrorIs(t, r.Cause, steer.ErrDown)
		assert.Assert(t, time.Since(start) <= 31*time.Second)
		end := time.Now().Add(5 * time.Second)
		s.before = func(string, string) error {
			if time.Now().Before(end) {
				return steer.ErrDown
			}
			return nil
		}
		a.want(s, publ.Accepted)
	})
}

// Publishing on top of a store restored to an older copy would lose the later versions for good.
func TestOlderStoreIsNotPublishedUpon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		a, _ := two(t, s)
		old := s.entries[manif.Key]
		a.write("reservas.yaml", service("reservas", 2001, "golfo-1"))
		a.want(s, publ.Accepted)
		newer := s.entries[manif.Key]
		s.entries[manif.Key] = old
		a.write("reservas.yaml", service("reservas", 2002, "golfo-1"))
		a.want(s, publ.Refused)
		time.AfterFunc(time.Second, func() {
			_, err := s.swap(manif.Key, old.Revision, newer.Value)
			assert.Check(t, err)
		})
		assert.Equal(t, a.want(s, publ.Accepted).Version, uint64(3))
	})
}

// A broken base record must not be taken for a missing one, which would overwrite the changes of others.
func TestBrokenBaseRecord(t *testing.T) {
	s := newStore()
	a, _ := two(t, s)
	a.write(publ.BaseFile, "version: x\n")
	r, err := publ.Publish(context.Background(), publ.Config{
		Store: s,
		Dir:   a.dir,
	})
	assert.ErrorContains(t, err, filepath.Join(a.dir, publ.BaseFile)+":1: ")
	assert.Equal(t, r.Outcome, publ.Refused)
	assert.Assert(t, strings.Contains(r.RerunHint, "overwrites"), r.RerunHint)
}
