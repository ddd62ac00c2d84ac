package design

import . "goa.design/goa/v3/dsl" //nolint:revive // The goa design language is made to be dot-imported.

// MemberStatus is one host as another host sees it.
var MemberStatus = Type("MemberStatus", func() {
	Attribute("id", String, "Host id.")
	Attribute("data-centre", String, "Data centre of the host.")
	Attribute("version", UInt64, "Configuration version in force there.")
	Attribute("stopping", Boolean, "Whether the host is shutting down.")
	Attribute("store-reachable", Boolean, "Whether the host reaches the store.")
	Attribute("heard-ms", Int64, "Time since the last heartbeat, in milliseconds.")
	Attribute("slots", ArrayOf(Int), "Slots held in its data centre.")
	Required("id", "data-centre", "version", "stopping", "store-reachable", "heard-ms", "slots")
})

// DataCentreStatus is one data centre of the configuration in force.
var DataCentreStatus = Type("DataCentreStatus", func() {
	Attribute("name", String, "Data centre.")
	Attribute("region", String, "Region.")
	Attribute("down", Boolean, "Whether the fleet file says that nothing runs there.", func() { Default(false) })
	Attribute("hosts", Int, "Hosts heard from, the answering host included.")
	Attribute("lowest-version", UInt64, "Lowest configuration version in force at these hosts; 0 without hosts.")
	Required("name", "region", "hosts", "lowest-version")
})

// TargetStatus is one target as the host sees it.
var TargetStatus = Type("TargetStatus", func() {
	Attribute("id", String, "Target id.")
	Attribute("service", String, "Service of the target.")
	Attribute("state", String, "State: ready, warming, ejected or leaving.")
	Attribute("in-flight", Int, "Requests of this host in progress there.")
	Attribute("latency-us", Int64, "Latency average, in microseconds.")
	Attribute("reported-load", Float64, "Last load report as a fraction of its slots; -1 without a report.")
	Attribute("report-age-ms", Int64, "Age of the last load report, in milliseconds; -1 without a report.")
	Required("id", "service", "state", "in-flight", "latency-us", "reported-load", "report-age-ms")
})

// QuotaStatus is this host's part of one quota.
var QuotaStatus = Type("QuotaStatus", func() {
	Attribute("name", String, "Quota name.")
	Attribute("level", Float64, "Tokens or units free now.")
	Attribute("cap", Float64, "Largest level.")
	Attribute("rate", Float64, "Tokens per second in force; 0 for units.")
	Attribute("lent", Float64, "Rate or units lent to peers.")
	Attribute("borrowed", Float64, "Rate or units borrowed from peers.")
	Required("name", "level", "cap", "rate", "lent", "borrowed")
})

// HostStatus is the state of one host.
var HostStatus = Type("HostStatus", func() {
	Attribute("id", String, "Host id.")
	Attribute("data-centre", String, "Data centre.")
	Attribute("region", String, "Region.")
	Attribute("version", UInt64, "Configuration version in force; 0 for none.")
	Attribute("isolated", Boolean, "Whether the host refuses keyed requests for lack of fresh evidence.")
	Attribute("evidence-age-ms", Int64, "Age of the freshest evidence on the newest version, in milliseconds.")
	Attribute("store-reachable", Boolean, "Whether the last store call succeeded.")
	Attribute("stopping", Boolean, "Whether the host is shutting down.")
	Attribute("slots", ArrayOf(Int), "Slots held.")
	Attribute("data-centres", ArrayOf(DataCentreStatus), "Data centres of the configuration in force.")
	Attribute("members", ArrayOf(MemberStatus), "Other hosts.")
	Attribute("targets", ArrayOf(TargetStatus), "Targets of the own data centre.")
	Attribute("quotas", ArrayOf(QuotaStatus), "Parts of quotas held.")
	Required("id", "data-centre", "region", "version", "isolated", "evidence-age-ms", "store-reachable", "stopping",
		"slots", "data-centres", "members", "targets", "quotas")
})

// ExplainStep is one step of a decision.
var ExplainStep = Type("ExplainStep", func() {
	Attribute("step", String, "Step: route, key, rate, site, capacity, target or look-up.")
	Attribute("outcome", String, "What was decided.")
	Attribute("reason", String, "Why.")
	Required("step", "outcome", "reason")
})

// Explanation tells how the host would decide on a request now.
var Explanation = Type("Explanation", func() {
	Attribute("host", String, "Host that answered.")
	Attribute("version", UInt64, "Configuration version used.")
	Attribute("steps", ArrayOf(ExplainStep), "Decision steps in order.")
	Required("host", "version", "steps")
})

var _ = Service("operator", func() {
	Description("Read-only state of one host.")
	Error("bad-request", ErrorResult, "A parameter is not valid.")
	Method("status", func() {
		Result(HostStatus)
		HTTP(func() {
			GET("/v1/status")
			Response(StatusOK)
		})
	})
	Method("explain", func() {
		Payload(func() {
			Attribute("service", String, "Service name.", func() { MaxLength(64) })
			Attribute("customer", String, "Customer name; empty for a request without a key.", func() { MaxLength(64) })
			Attribute("client", String, "Client IP address.", func() { MaxLength(64) })
			Attribute("method", String, "HTTP method.", func() { Default("GET"); MaxLength(16) })
			Attribute("path", String, "Path below the service.", func() { Default("/"); MaxLength(1024) })
			Required("service")
		})
		Result(Explanation)
		HTTP(func() {
			GET("/v1/explain")
			Param("service")
			Param("customer")
			Param("client")
			Param("method")
			Param("path")
			Response(StatusOK)
			Response("bad-request", StatusBadRequest)
		})
	})
})
