package design

import . "goa.design/goa/v3/dsl" //nolint:revive // The goa design language is made to be dot-imported.

// StoreEntry is one entry of the store stand-in.
var StoreEntry = Type("StoreEntry", func() {
	Attribute("key", String, "Key.")
	Attribute("value", Bytes, "Value, at most 1 MB.")
	Attribute("revision", UInt64, "Revision of the last write.")
	Required("key", "value", "revision")
})

var _ = Service("store", func() {
	Description("Stand-in for the platform's key-value service.")
	Error("not-found", ErrorResult, "There is no such key.")
	Error("conflict", ErrorResult, "The revision does not match.")
	Error("lease-lost", ErrorResult, "There is no such lease.")
	Error("unchanged", ErrorResult, "The watched key did not change in time.")
	Error("unavailable", ErrorResult, "The store is down.")
	Error("too-large", ErrorResult, "The value is larger than 1 MB.")
	HTTP(func() {
		Path("/v1/store")
		Response("not-found", StatusNotFound)
		Response("conflict", StatusConflict)
		Response("lease-lost", StatusGone)
		Response("unchanged", StatusRequestTimeout)
		Response("unavailable", StatusServiceUnavailable)
		Response("too-large", StatusRequestEntityTooLarge)
	})
	Method("get", func() {
		Payload(func() {
			Attribute("key", String, "Key.")
			Required("key")
		})
		Result(StoreEntry)
		HTTP(func() {
			GET("/entry")
			Param("key")
			Response(StatusOK)
		})
	})
	Method("swap", func() {
		Payload(func() {
			Attribute("key", String, "Key.")
			Attribute("revision", UInt64, "Expected revision; 0 to create.")
			Attribute("value", Bytes, "New value.")
			Attribute("lease", String, "Lease at whose end the entry is removed; empty for none.")
			Required("key", "revision", "value")
		})
		Result(UInt64)
		HTTP(func() {
			PUT("/entry")
			Param("key")
			Response(StatusOK)
		})
	})
	Method("remove", func() {
		Payload(func() {
			Attribute("key", String, "Key.")
			Attribute("revision", UInt64, "Expected revision.")
			Required("key", "revision")
		})
		HTTP(func() {
			DELETE("/entry")
			Param("key")
			Param("revision")
			Response(StatusNoContent)
		})
	})
	Method("grant", func() {
		Payload(func() {
			Attribute("term-ms", Int64, "Term of the lease, in milliseconds.")
			Required("term-ms")
		})
		Result(String)
		HTTP(func() {
			POST("/leases")
			Response(StatusOK)
		})
	})
	Method("renew", func() {
		Payload(func() {
			Attribute("lease", String, "Lease id.")
			Required("lease")
		})
		HTTP(func() {
			POST("/leases/{lease}")
			Response(StatusNoContent)
		})
	})
	Method("revoke", func() {
		Payload(func() {
			Attribute("lease", String, "Lease id.")
			Required("lease")
		})
		HTTP(func() {
			DELETE("/leases/{lease}")
			Response(StatusNoContent)
		})
	})
	Method("watch", func() {
		Payload(func() {
			Attribute("key", String, "Key.")
			Attribute("after", UInt64, "Answer when the revision is greater than this.")
			Attribute("wait-ms", Int64, "Longest wait, in milliseconds.")
			Required("key", "after", "wait-ms")
		})
		Result(StoreEntry)
		HTTP(func() {
			GET("/watch")
			Param("key")
			Param("after")
			Param("wait-ms")
			Response(StatusOK)
		})
	})
})
