package entry

// This file checks the headers of requests against the published limit.

import "ivyridge/verdict"

// lineOverhead is the least that a header line has besides its name and value: a colon and a line break.
const lineOverhead = len(":\r\n")

// checkHeader rejects a request with more bytes of headers than are allowed. The connection rejects
// most of them before they are parsed, but not one whose begin was read ahead with the request before.
func (ex *exchange) checkHeader() *verdict.Error {
	limit := ex.proxy.State.View().Catalog.Limits().MaxHeaderBytes
	if limit <= 0 || ex.forwarded != nil {
		return nil // a forwarded request has headers of the instance too, and was checked there
	}
	size := 0
	for name, values := range ex.r.Header {
		for _, value := range values {
			size += len(name) + len(value) + lineOverhead
		}
	}
	if size > limit {
		return verdict.Refuse(verdict.HeaderTooLarge, "the headers have %d bytes, %d are allowed", size, limit)
	}
	return nil
}
