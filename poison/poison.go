// Package poison finds the requests that end the endpoints which run them, so that they are
// not run any more.
//
// A request may be one under which an endpoint's process ends: it meets a fault that no other
// request does. Its caller sends it again, under a new ID and at any instance, and each time
// an endpoint is lost with all that it runs. The field calls it a poison request, or a query
// of death.
package poison
