package design

import . "goa.design/goa/v3/dsl" //nolint:revive // The goa design language is made to be dot-imported.

// TargetHealth is the health answer of a target.
var TargetHealth = Type("TargetHealth", func() {
	Attribute("state", String, "State: ready, draining or failing.")
	Required("state")
})

// TargetLoad is the load answer of a target.
var TargetLoad = Type("TargetLoad", func() {
	Attribute("busy", Int, "Slots in use.")
	Attribute("queued", Int, "Requests that wait for a slot.")
	Attribute("slots", Int, "Slots in all.")
	Required("busy", "queued", "slots")
})

// TargetRun is one entry of the run record of the target stand-in.
var TargetRun = Type("TargetRun", func() {
	Attribute("request-id", String, "Id of the request.")
	Attribute("customer", String, "Customer named by the host.")
	Attribute("method", String, "HTTP method.")
	Attribute("path", String, "Path and query.")
	Attribute("started-ms", Int64, "Start, in milliseconds of Unix time.")
	Attribute("finished", Boolean, "Whether the answer was written whole.")
	Required("request-id", "customer", "method", "path", "started-ms", "finished")
})

var _ = Service("target", func() {
	Description("Control and report endpoints of a target.")
	Method("health", func() {
		Result(TargetHealth)
		HTTP(func() {
			GET("/target/health")
			Response(StatusOK)
		})
	})
	Method("load", func() {
		Result(TargetLoad)
		HTTP(func() {
			GET("/target/load")
			Response(StatusOK)
		})
	})
	Method("runs", func() {
		Result(ArrayOf(TargetRun))
		HTTP(func() {
			GET("/target/runs")
			Response(StatusOK)
		})
	})
	Method("control", func() {
		Payload(func() {
			Attribute("mode", String, "Behaviour from now on.", func() {
				Enum("normal", "drain", "shed", "hang", "half", "slow", "lie-health", "lie-load")
			})
			Required("mode")
		})
		HTTP(func() {
			POST("/target/control")
			Response(StatusNoContent)
		})
	})
})
