package steer

// Mode says when an optional feature of a host is in use.
type Mode string

// Modes of features. The zero value means off.
const (
	ModeOff  Mode = "off"
	ModeOn   Mode = "on"
	ModeAuto Mode = "auto" // In use where the deployment calls for it.
)

// Valid reports whether the mode is one of the defined ones.
func (m Mode) Valid() bool { return m == ModeOff || m == ModeOn || m == ModeAuto }

// Enabled reports whether the feature is in use, given whether the deployment calls for it.
func (m Mode) Enabled(calledFor bool) bool { return m == ModeOn || m == ModeAuto && calledFor }

// Features holds the modes of the optional features of a host on the platform.
type Features struct {
	TargetSpeed    Mode // Learned speed of targets in placement.
	Admission      Mode // Admission by priority and fairness when capacity is short.
	ObjectCopies   Mode // Two candidate targets for each object.
	DemandShares   Mode // Shares of regions by the demand of all regions.
	DirectoryHosts Mode // Directory answers by the capacity of hosts.
}

// Deployment describes load patterns that the platform announces for a deployment.
type Deployment struct {
	ContestedCapacity bool // Callers compete for too little capacity at times.
}
