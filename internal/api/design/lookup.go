package design

import . "goa.design/goa/v3/dsl" //nolint:revive // The goa design language is made to be dot-imported.

var _ = API("monsoonhub", func() {
	Title("monsoonhub")
	Description("Look-up, operator, store stand-in and target stand-in APIs.")
})

// LookupHost is one entry host of a look-up answer.
var LookupHost = Type("LookupHost", func() {
	Attribute("id", String, "Host id.")
	Attribute("address", String, "IP address and port of the caller listener.")
	Attribute("data-centre", String, "Data centre of the host.")
	Required("id", "address", "data-centre")
})

// LookupAnswer is the answer to a look-up.
var LookupAnswer = Type("LookupAnswer", func() {
	Attribute("service", String, "Service asked for.")
	Attribute("version", UInt64, "Configuration version used.")
	Attribute("hosts", ArrayOf(LookupHost), "Entry hosts, best first.")
	Attribute("ttl-ms", Int64, "Time for which the answer may be cached, in milliseconds.")
	Attribute("ticket", String, "Ticket for one non-idempotent request, when asked for.")
	Required("service", "version", "hosts", "ttl-ms")
})

var _ = Service("lookup", func() {
	Description("Tells callers which entry hosts to use.")
	Error("unavailable", ErrorResult, "No configuration is in force, or no host can serve.")
	Error("bad-request", ErrorResult, "A parameter is not valid.")
	Method("find", func() {
		Payload(func() {
			Attribute("service", String, "Service name.", func() { MaxLength(64) })
			Attribute("client", String, "Client IP address; the address of the connection if empty.", func() { MaxLength(64) })
			Attribute("ticket", Boolean, "Whether to hand out a ticket.", func() { Default(false) })
			Required("service")
		})
		Result(LookupAnswer)
		HTTP(func() {
			GET("/v1/lookup")
			Param("service")
			Param("client")
			Param("ticket")
			Response(StatusOK)
			Response("unavailable", StatusServiceUnavailable)
			Response("bad-request", StatusBadRequest)
		})
	})
})
