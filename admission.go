package steer

// AdmissionReport is what hosts of a data centre tell each other about the admission to one pool: a service and the region in
// which its requests run.
type AdmissionReport struct {
	Service   string
	Region    string
	Samples   float64   // Recent samples of what requests found, with older ones counting less.
	Sum       float64   // Sum of the samples: 0 for a request that found a free slot, 3 for another that was placed, 4 for one that was refused.
	Arriving  float64   // Requests per second.
	Placed    float64   // Requests per second for which a target was found.
	Demand    []float64 // Requests per second that can be answered in time, by priority.
	Late      []float64 // Requests per second that cannot, by priority.
	Admitted  []float64 // Admitted requests per second, by priority.
	Customers []CustomerDemand
}

// CustomerDemand is the demand of a customer for a pool.
type CustomerDemand struct {
	ID       uint32 // Hash of the customer's name.
	Priority int
	Demand   float64 // Requests per second.
	Admitted float64 // Admitted requests per second.
}
