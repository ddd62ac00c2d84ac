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

// service returns a steering file of a service with one target at the port in the data centre.
func service(name string, port int, dataCentre string) string {
	return fmt.Sprintf(`kind: service
name: %s
routes:
  - {prefix: /}
targets:
  - {id: %s-1, data-centre: %s, address: "127.0.0.1:%d", slots: 9}
`, name, name, dataCentre, port)
}

// operator publishes from its own directory of steering files.
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

// expectOutcome publishes the directory and checks the outcome.
func (o *operator) expectOutcome(s steer.Store, outcome publ.Outcome) publ.Result {
	o.t.Helper()
	r := o.publish(s)
	assert.Equal(o.t, r.Outcome, outcome, "%+v", r)
	return r
}

// twoOperators returns two operators whose directories both hold all parts of the store.
func twoOperators(t testing.TB, s *store) (*operator, *operator) {
	texts := map[string]string{
		"fleet.yaml":    fleet,
		"reservas.yaml": service("reservas", 1001, "golfo-1"),
		"convoyes.yaml": service("convoyes", 1002, "golfo-1"),
	}
	a, b := newOperator(t, texts), newOperator(t, texts)
	a.expectOutcome(s, publ.Accepted)
	b.expectOutcome(s, publ.Unchanged)
	return a, b
}

// Operators who change different services must not block or revert each other, although both directories hold all files.
func TestDifferentServicesBothSucceed(t *testing.T) {
	s := newStore()
	a, b := twoOperators(t, s)
	a.write("reservas.yaml", service("reservas", 2001, "golfo-1"))
	b.write("convoyes.yaml", service("convoyes", 2002, "golfo-1"))
	a.expectOutcome(s, publ.Accepted)
	reservas := s.manifest().Part("service/reservas").Hash
	assert.DeepEqual(t, b.expectOutcome(s, publ.Accepted).ChangedParts, []string{"service/convoyes"})
	assert.Equal(t, s.manifest().Part("service/reservas").Hash, reservas)
	a.expectOutcome(s, publ.Unchanged)
	assert.Equal(t, s.manifest().Version, uint64(3))
}

// The later change of a service must not overwrite the earlier one. It must be refused with a description of that change.
func TestSameServiceIsRefused(t *testing.T) {
	s := newStore()
	a, b := twoOperators(t, s)
	a.write("reservas.yaml", service("reservas", 2001, "golfo-1"))
	b.write("reservas.yaml", service("reservas", 2002, "golfo-1"))
	first := a.expectOutcome(s, publ.Accepted)
	for range 2 {
		r := b.expectOutcome(s, publ.Refused)
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

// Two changes that are valid in their own directories must not be published if the merged configuration is not valid.
func TestMergedConfigurationIsValidated(t *testing.T) {
	s := newStore()
	a, b := twoOperators(t, s)
	a.write("fleet.yaml", strings.Replace(fleet, "  - {name: golfo-2, region: golfo}\n", "", 1))
	a.expectOutcome(s, publ.Accepted)
	b.write("reservas.yaml", service("reservas", 1001, "golfo-2"))
	r := b.expectOutcome(s, publ.Refused)
	assert.Equal(t, len(r.Problems), 1)
	got := strings.TrimPrefix(r.Problems[0].String(), b.dir+"/")
	assert.Equal(t, got, `reservas.yaml:6: targets[0].data-centre: data centre "golfo-2" is not in the fleet file`)
	assert.Equal(t, s.manifest().Version, uint64(2))
}

// If a change does not fit a part of another directory, the operator must not be told to correct the files in this one.
func TestProblemInOtherDirectoryIsNamed(t *testing.T) {
	s := newStore()
	a, _ := twoOperators(t, s)
	c := newOperator(t, map[string]string{
		"fleet.yaml": strings.ReplaceAll(fleet, "golfo-1", "golfo-9"),
	})
	r := c.expectOutcome(s, publ.Refused)
	assert.Equal(t, r.Problems[0].File, "service/convoyes")
	assert.Assert(t, strings.Contains(r.RerunHint, "a part that is not in this directory"), r.RerunHint)
	a.expectOutcome(s, publ.Unchanged)
}

// A directory that holds one service must not change the parts of other directories, and must be able to remove its own.
func TestPartialDirectoryAndRemoval(t *testing.T) {
	s := newStore()
	twoOperators(t, s)
	c := newOperator(t, map[string]string{
		"turnos.yaml": service("turnos", 1003, "golfo-2"),
	})
	assert.DeepEqual(t, c.expectOutcome(s, publ.Accepted).ChangedParts, []string{"service/turnos"})
	assert.Equal(t, len(s.manifest().LiveParts()), 4)
	c.write("turnos.yaml", "kind: service\nname: turnos\nremove: true\n")
	c.expectOutcome(s, publ.Accepted)
	assert.Equal(t, len(s.manifest().LiveParts()), 3)
	c.expectOutcome(s, publ.Unchanged)
	c.write("fleet.yaml", "kind: fleet\nremove: true\n")
	c.expectOutcome(s, publ.Refused)
}

// loseNextAnswer lets the next manifest swap take effect, calls f and then drops the answer of the swap.
func loseNextAnswer(s *store, f func()) {
	s.after = func(_, key string) error {
		if key != manif.Key {
			return nil
		}
		s.after = nil
		f()
		return steer.ErrUnknown
	}
}

// A publication whose answer was lost must be reported as accepted if the manifest lists it, even after a second operator
// has published on top of it.
func TestLostAnswerRacedBySecondOperator(t *testing.T) {
	s := newStore()
	a, b := twoOperators(t, s)
	a.write("reservas.yaml", service("reservas", 2001, "golfo-1"))
	b.write("convoyes.yaml", service("convoyes", 2002, "golfo-1"))
	loseNextAnswer(s, func() { b.expectOutcome(s, publ.Accepted) })
	r := a.expectOutcome(s, publ.Accepted)
	assert.Equal(t, r.Version, uint64(2))
	assert.Equal(t, s.manifest().Version, uint64(3))
	a.expectOutcome(s, publ.Unchanged)
}

// If the store goes down after a lost answer, the outcome must be unknown, and a later run must find out that the change was
// accepted. A second operator must be refused throughout, and no change may be reverted.
func TestLostAnswerRacedThenStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		a, b := twoOperators(t, s)
		a.write("reservas.yaml", service("reservas", 2001, "golfo-1"))
		b.write("reservas.yaml", service("reservas", 2002, "golfo-1"))
		loseNextAnswer(s, func() {
			r := b.expectOutcome(s, publ.Refused)
			assert.Equal(t, r.Conflicts[0].Version, uint64(2))
			s.before = func(string, string) error { return steer.ErrDown }
		})
		a.expectOutcome(s, publ.Unknown)
		b.expectOutcome(s, publ.Refused)
		s.before = nil
		a.expectOutcome(s, publ.Unchanged)
		r := b.expectOutcome(s, publ.Refused)
		assert.Equal(t, len(r.Conflicts), 1)
		assert.Equal(t, s.manifest().Version, uint64(2))
	})
}

// A publication whose swap may still arrive must not be reported as refused, and must not take effect twice.
func TestDelayedSwapTakesEffectOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		a, _ := twoOperators(t, s)
		a.write("reservas.yaml", service("reservas", 2001, "golfo-1"))
		lostCalls := 0
		s.before = func(op, key string) error {
			if op == "swap" && key == manif.Key && lostCalls < 3 {
				lostCalls++
				return steer.ErrUnknown
			}
			return nil
		}
		assert.Equal(t, a.expectOutcome(s, publ.Accepted).Version, uint64(2))
		assert.Equal(t, len(s.history), 2)
	})
}

// Calls to a store that is down must be retried within the timeout. If the store stays down, the publication must be refused.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		a, _ := twoOperators(t, s)
		a.write("reservas.yaml", service("reservas", 2001, "golfo-1"))
		s.before = func(string, string) error { return steer.ErrDown }
		start := time.Now()
		r := a.expectOutcome(s, publ.Refused)
		assert.ErrorIs(t, r.Cause, steer.ErrDown)
		assert.Assert(t, time.Since(start) <= 31*time.Second)
		end := time.Now().Add(5 * time.Second)
		s.before = func(string, string) error {
			if time.Now().Before(end) {
				return steer.ErrDown
			}
			return nil
		}
		a.expectOutcome(s, publ.Accepted)
	})
}

// A publication must wait for the repair of a store that was restored to an older copy. If it did not, the later versions
// would be lost.
func TestOlderStoreIsNotOverwritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		a, _ := twoOperators(t, s)
		old := s.entries[manif.Key]
		a.write("reservas.yaml", service("reservas", 2001, "golfo-1"))
		a.expectOutcome(s, publ.Accepted)
		newer := s.entries[manif.Key]
		s.entries[manif.Key] = old
		a.write("reservas.yaml", service("reservas", 2002, "golfo-1"))
		a.expectOutcome(s, publ.Refused)
		time.AfterFunc(time.Second, func() {
			_, err := s.swap(manif.Key, old.Revision, newer.Value)
			assert.Check(t, err)
		})
		assert.Equal(t, a.expectOutcome(s, publ.Accepted).Version, uint64(3))
	})
}

// A base record that cannot be read must not be treated as missing, because that would overwrite the changes of others.
func TestBrokenBaseRecord(t *testing.T) {
	s := newStore()
	a, _ := twoOperators(t, s)
	a.write(publ.BaseFile, "version: x\n")
	r, err := publ.Publish(context.Background(), publ.Config{
		Store: s,
		Dir:   a.dir,
	})
	assert.ErrorContains(t, err, filepath.Join(a.dir, publ.BaseFile)+":1: ")
	assert.Equal(t, r.Outcome, publ.Refused)
	assert.Assert(t, strings.Contains(r.RerunHint, "overwrites"), r.RerunHint)
}
