// Package poison recognises requests that crash the targets that run them, so that hosts reject them before they take down a
// service.
//
// A target that closes a connection without an answer may have crashed by the request, or by another one that it ran at the
// same time, or for a reason of its own. A Table therefore collects which requests lost which targets, on all hosts, and
// condemns a request that lost several targets whose loss no other condemned request explains, and that no target has
// answered since. Hosts exchange these crashes as reports; what a host alone sees is too little in a large fleet.
package poison
