package files

import "monsoonhub.example/steer"

func readFleet(o *object) *fleetBody {
	return &fleetBody{
		DataCentres: readList(o, "data-centres", true, readDataCentre),
		Links:       readList(o, "links", false, readLink),
	}
}

func readDataCentre(o *object) dataCentre {
	d := dataCentre{
		Weight: defaultWeight,
		Slots:  defaultHostSlots,
	}
	o.text("name", true, &d.Name)
	o.text("region", true, &d.Region)
	o.number("weight", false, &d.Weight)
	o.integer("slots", false, &d.Slots)
	o.boolean("down", &d.Down)
	return d
}

func readLink(o *object) link {
	var l link
	o.text("from", true, &l.From)
	o.text("to", true, &l.To)
	o.duration("delay", &l.Delay)
	o.number("rate", true, &l.Rate)
	o.number("burst", l.Rate > 0, &l.Burst)
	return l
}

func readCustomers(o *object) *customersBody {
	return &customersBody{
		Customers: readList(o, "customers", true, readCustomer),
	}
}

func readCustomer(o *object) customer {
	var c customer
	o.text("name", true, &c.Name)
	o.number("rate", true, &c.Rate)
	o.number("burst", true, &c.Burst)
	o.duration("when-isolated", &c.WhenIsolated)
	c.Keys = readList(o, "keys", false, readKey)
	return c
}

// readKey never includes a field's value in a message, because the value may be a plain-text key.
func readKey(o *object) key {
	var k key
	o.text("id", true, &k.ID)
	for _, name := range []string{"key", "plain", "secret", "value"} {
		if o.has(name) {
			o.read[name] = true
			o.reportField(name, "a plain key must not be in a steering file; give its SHA-256 as digest")
		}
	}
	o.text("digest", true, &k.Digest)
	o.boolean("withdrawn", &k.Withdrawn)
	return k
}

func readService(o *object) *serviceBody {
	b := &serviceBody{
		Timeout:    defaultTimeout,
		QueueLimit: defaultQueueLimit,
		Ramp:       defaultRamp,
	}
	o.text("name", true, &b.Name)
	o.duration("timeout", &b.Timeout)
	if !o.has("queue-limit") {
		b.QueueLimit = min(defaultQueueLimit, b.Timeout)
	}
	o.duration("queue-limit", &b.QueueLimit)
	o.duration("ramp", &b.Ramp)
	o.duration("when-isolated", &b.WhenIsolated)
	o.boolean("hedge", &b.Hedge)
	b.Routes = readList(o, "routes", true, readRoute)
	b.Targets = readList(o, "targets", true, readTarget)
	b.Shifts = readList(o, "shifts", false, readShift)
	return b
}

func readRoute(o *object) route {
	r := route{
		Class: string(steer.ClassNormal),
	}
	r.Methods = o.texts("methods")
	o.text("prefix", true, &r.Prefix)
	o.boolean("open", &r.Open)
	if o.has("idempotent") {
		r.Idempotent = new(bool)
		o.boolean("idempotent", r.Idempotent)
	}
	o.text("class", false, &r.Class)
	return r
}

func readTarget(o *object) target {
	var t target
	o.text("id", true, &t.ID)
	o.text("data-centre", true, &t.DataCentre)
	o.text("address", true, &t.Address)
	o.integer("slots", true, &t.Slots)
	o.boolean("leaving", &t.Leaving)
	return t
}

func readShift(o *object) shift {
	var s shift
	o.text("name", true, &s.Name)
	o.text("from", true, &s.From)
	o.text("to", true, &s.To)
	o.number("part", true, &s.Fraction)
	o.number("rate", true, &s.Rate)
	o.number("burst", true, &s.Burst)
	return s
}
