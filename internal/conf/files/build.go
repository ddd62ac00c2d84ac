package files

import (
	"slices"
	"strings"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/conf/manif"
)

// Builder assembles configurations and reuses the decoded parts of the previous one, so that a change of one part costs
// only that part. A Builder is used by one goroutine at a time.
type Builder struct {
	parts  map[string]decodedPart // By name and hash.
	blocks []steer.Block
	hashes []string // Hashes of the parts in blocks.
}

// decoded is one part except client blocks, which are kept in one slice.
type decodedPart struct {
	fleet     *fleetBody
	customers *customersBody
	service   *serviceBody

	builtCustomers map[string]*steer.Customer
	builtService   *steer.Service
}

// NewBuilder returns a Builder that holds nothing.
func NewBuilder() *Builder {
	return &Builder{}
}

// assembly is the state of one run of Assemble.
type assembly struct {
	previousParts map[string]decodedPart
	parts         map[string]decodedPart
	partSet       partSet
	faults        []fault
	config        *steer.Config
}

// Assemble is like the function Assemble. Customers, services and blocks of unchanged parts are shared with the previous
// configuration of this Builder.
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

func (p Part) hash() string {
	if p.Hash == "" {
		return manif.Hash(p.Body)
	}
	return p.Hash
}

func (a *assembly) fault(part, path, message string) {
	a.faults = append(a.faults, fault{
		part:    part,
		path:    path,
		message: message,
	})
}

// decode returns false after a fault.
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

// add decodes and checks a part, or takes it from the previous run, and puts it into the configuration.
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

// build converts a checked body.
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

// unpack fills the blocks of the configuration.
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

// invalid names the file and line of each fault in a part that came from a file.
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
