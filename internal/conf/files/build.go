package files

import (
	"slices"
	"strings"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/conf/manif"
)

// Builder assembles configurations. It reuses what it built from unchanged parts of the previous configuration, so that a
// change of one part costs only that part. Client blocks are reused together, if none of their parts changed. A Builder is
// not safe for concurrent use.
type Builder struct {
	parts  map[string]decodedPart // Keyed by "name hash".
	blocks []steer.Block
	hashes []string // "name hash" of each part in blocks.
}

// decodedPart is a decoded part other than client blocks, which Builder keeps in one slice. One of fleet, customers and
// service is set.
type decodedPart struct {
	fleet     *fleetBody
	customers *customersBody
	service   *serviceBody

	// Set by convert.
	builtCustomers map[string]*steer.Customer
	builtService   *steer.Service
}

// NewBuilder returns a Builder without a previous configuration.
func NewBuilder() *Builder {
	return &Builder{}
}

// assembly holds the state of one call of Builder.Assemble.
type assembly struct {
	previousParts map[string]decodedPart
	parts         map[string]decodedPart
	partSet       partSet
	faults        []fault
	config        *steer.Config
}

// Assemble is like the function Assemble, but the customers, services and blocks of unchanged parts are shared with the
// previous configuration of this Builder. An error leaves the Builder unchanged.
func (b *Builder) Assemble(version uint64, parts Parts) (*steer.Config, error) {
	a := &assembly{
		previousParts: b.parts,
		parts:         map[string]decodedPart{},
		config: &steer.Config{
			Version:   version,
			Customers: map[string]*steer.Customer{},
			Services:  map[string]*steer.Service{},
		},
	}
	var hashes []string
	for _, p := range parts {
		switch {
		case p.Remove:
		case strings.HasPrefix(p.Name, blocksPrefix):
			hashes = append(hashes, p.Name+" "+p.hash())
			a.decodeBlocks(p)
		default:
			a.addPart(p)
		}
	}
	if a.partSet.fleet == nil {
		a.fault(kindFleet, "", "the configuration has no fleet file")
	}
	a.faults = append(a.faults, a.partSet.check()...)
	blocksUnchanged := b.hashes != nil && slices.Equal(hashes, b.hashes)
	a.config.Blocks = b.blocks
	if !blocksUnchanged {
		a.unpack()
	}
	if len(a.faults) > 0 {
		return nil, a.invalidError(parts)
	}
	b.parts = a.parts
	b.blocks = a.config.Blocks
	b.hashes = hashes
	return a.config, nil
}

// hash returns the part's hash and computes it if Hash is empty.
func (p Part) hash() string {
	if p.Hash == "" {
		return manif.Hash(p.Body)
	}
	return p.Hash
}

// fault records a fault of the part. The path is empty if the fault does not concern a single field.
func (a *assembly) fault(part, path, message string) {
	a.faults = append(a.faults, fault{
		part:    part,
		path:    path,
		message: message,
	})
}

// decode decodes the part into body. If that fails, it records a fault and returns false.
func (a *assembly) decode(p Part, body any) bool {
	if len(p.Body) > manif.MaxPartSize {
		a.fault(p.Name, "", "the part is too large")
		return false
	}
	if err := manif.Unmarshal(p.Body, body); err != nil {
		a.fault(p.Name, "", "the part cannot be decoded: "+err.Error())
		return false
	}
	return true
}

// addPart decodes and checks a part, or reuses it from the previous run, and puts it into the configuration.
func (a *assembly) addPart(p Part) {
	d, reused := a.previousParts[p.Name+" "+p.hash()]
	if !reused {
		c := &checker{
			part: p.Name,
		}
		var ok bool
		if d, ok = a.decodeAndCheck(p, c); !ok {
			return
		}
		if a.faults = append(a.faults, c.faults...); len(c.faults) > 0 {
			return
		}
		d.convert()
	}
	a.parts[p.Name+" "+p.hash()] = d
	switch {
	case d.fleet != nil:
		a.partSet.fleet = d.fleet
		a.config.Fleet = d.fleet.config()
	case d.customers != nil:
		a.partSet.customers = d.customers
		a.config.Customers = d.builtCustomers
	case d.service != nil:
		a.partSet.services = append(a.partSet.services, d.service)
		a.config.Services[d.service.Name] = d.builtService
	}
}

// decodeAndCheck decodes the part and checks it with c. It returns false if the part is unknown or cannot be decoded.
func (a *assembly) decodeAndCheck(p Part, c *checker) (decodedPart, bool) {
	var d decodedPart
	switch {
	case p.Name == kindFleet:
		d.fleet = &fleetBody{}
		if !a.decode(p, d.fleet) {
			return d, false
		}
		d.fleet.check(c)
	case p.Name == kindCustomers:
		d.customers = &customersBody{}
		if !a.decode(p, d.customers) {
			return d, false
		}
		d.customers.check(c)
	case strings.HasPrefix(p.Name, servicePrefix):
		d.service = &serviceBody{}
		if !a.decode(p, d.service) {
			return d, false
		}
		d.service.check(c)
		if servicePrefix+d.service.Name != p.Name {
			c.addFault("name", "%q does not match the name of the part", truncate(d.service.Name))
		}
	default:
		a.fault(p.Name, "", "unknown part")
		return d, false
	}
	return d, true
}

// convert builds the customers or the service of the configuration from a checked body.
func (d *decodedPart) convert() {
	if d.customers != nil {
		d.builtCustomers = map[string]*steer.Customer{}
		for i := range d.customers.Customers {
			u := &d.customers.Customers[i]
			d.builtCustomers[u.Name] = u.config()
		}
	}
	if d.service != nil {
		d.builtService = d.service.config()
	}
}

func (a *assembly) decodeBlocks(p Part) {
	b := &blockPart{
		name: p.Name,
		body: &blocksBody{},
	}
	if a.decode(p, b.body) {
		a.partSet.blocks = append(a.partSet.blocks, b)
	}
}

// unpack sets the blocks of the configuration from the decoded parts.
func (a *assembly) unpack() {
	a.config.Blocks = nil
	if outer, inner, ok := findNestedParts(a.partSet.blocks); ok {
		a.fault(inner, "", "overlaps the part "+outer)
		return
	}
	n := 0
	for _, b := range a.partSet.blocks {
		n += b.body.len()
	}
	blocks := make([]steer.Block, 0, n)
	for _, b := range a.partSet.blocks {
		var err error
		if blocks, err = b.unpack(blocks); err != nil {
			a.fault(b.name, "", "the part cannot be decoded: "+err.Error())
			return
		}
	}
	a.config.Blocks = blocks
}

// invalidError returns the faults as an *InvalidError. Faults in parts that were read from files have a file and a line.
func (a *assembly) invalidError(parts Parts) error {
	sources := map[string]*source{}
	for _, p := range parts {
		sources[p.Name] = p.source
	}
	out := &InvalidError{}
	for _, f := range a.faults {
		out.Problems = append(out.Problems, f.problem(sources[f.part]))
	}
	return out
}
