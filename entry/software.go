package entry

// This file keeps a stream at the software version that began it, in one response and over the requests
// with which its caller takes it up. What two versions write does not fit together, and endpoints do
// not check it.

import (
	"context"
	"encoding/binary"
	"time"

	"go.uber.org/zap"

	"ivyridge/catalog"
	"ivyridge/forward"
	"ivyridge/resume"
	"ivyridge/verdict"
)

// Streams knows which software versions began streams. Implementations must be safe for concurrent use.
type Streams interface {
	// RecordStream records that software began a stream, for ttl; zero: it is not known for sure.
	RecordStream(stream resume.StreamID, software catalog.SoftwareID, ttl time.Duration)
	// StreamSoftware returns the version that began a stream of a service; zero: it is not known.
	StreamSoftware(ctx context.Context, stream resume.StreamID, service string) catalog.SoftwareID
	// ContentSoftware returns the version that began the streams of all requests with a content, which
	// began up to ttl ago; zero: there may have been several, or none is known.
	ContentSoftware(ctx context.Context, content resume.StreamID, service string, ttl time.Duration) catalog.SoftwareID
}

// A streamOrigin is what is known of the stream that a request begins or takes up.
type streamOrigin struct {
	ids      []resume.StreamID  // by which it is recorded
	resumed  bool               // the caller takes up a stream that it has a part of
	software catalog.SoftwareID // version that began the stream; zero: none yet, or not known
	from     *endpointProcess   // that the latest response comes from; nil: none, or another instance ran the request
}

// An endpointProcess is one process of an endpoint.
type endpointProcess struct{ id, incarnation string }

// initStream finds out which version began the stream that the request takes up. The request is refused
// if nobody knows.
func (ex *exchange) initStream(ctx context.Context) *verdict.Error {
	if ex.route.Kind != catalog.Stream || ex.call.LastEventID == "" {
		return nil
	}
	ex.stream.resumed = true
	if ex.forwarded != nil && ex.forwarded.Software != 0 {
		ex.stream.software = ex.forwarded.Software
		return nil
	}
	ex.findSoftware(ctx)
	if ex.stream.software == 0 {
		return verdict.Refuse(verdict.SoftwareUnknown, "no instance knows which software version began the stream").WithRetryAfter(retryAfterLong)
	}
	return nil
}

// findSoftware finds out which version began the stream that the request takes up.
func (ex *exchange) findSoftware(ctx context.Context) {
	id, known := resume.ID(ex.call.Resumes), ex.call.Resumes != ""
	if !known {
		id = ex.contentID()
	}
	ex.stream.ids = []resume.StreamID{id}
	streams := ex.proxy.Streams
	switch {
	case streams == nil:
	case known:
		ex.stream.software = streams.StreamSoftware(ctx, id, ex.service.Name)
	default:
		ex.stream.software = streams.ContentSoftware(ctx, id, ex.service.Name, ex.streamTTL())
	}
}

// streamTTL returns how long a stream may be taken up after it began.
func (ex *exchange) streamTTL() time.Duration { return max(2*ex.route.Timeout, resume.MinTTL) }

// contentID identifies the stream by the content of its request, for callers that don't name the request
// that began it. Equal requests whose streams began at different versions have no known version.
func (ex *exchange) contentID() resume.StreamID {
	request := ex.poisonRequest()
	id := request.ID()
	return resume.StreamID(binary.BigEndian.Uint64(id[:]))
}

// targetKey returns the ID by which the request's service is chosen. A stream goes on at the service
// that began it.
func (ex *exchange) targetKey() string {
	if ex.call.Resumes != "" {
		return ex.call.Resumes
	}
	return ex.call.ID
}

// canContinue reports whether another endpoint may go on with the stream, of which the caller has events.
// It takes back what was recorded of the stream if the endpoint turns out to have been restarted.
func (ex *exchange) canContinue() bool {
	if !ex.route.Resumable || ex.stream.software == 0 {
		return false
	}
	if p := ex.stream.from; p != nil && ex.replaced(*p) {
		// The listing was older than the process that the events came from.
		ex.stream.software = 0
		ex.recordStream()
		ex.proxy.Log.Warn("software version of a stream is not known: the endpoint was restarted meanwhile", zap.String("request", ex.call.ID), zap.String("endpoint", p.id))
		return false
	}
	return true
}

// replaced reports whether another process is listed under the endpoint's ID.
func (ex *exchange) replaced(p endpointProcess) bool {
	current := findEndpoint(ex.proxy.State.View().Endpoints(ex.service.Name), p.id)
	return current != nil && current.Incarnation() != p.incarnation
}

// checkSoftware reports whether the response may be relayed: the endpoint runs the version that began
// the stream, or the stream begins here.
func (ex *exchange) checkSoftware() bool {
	ex.stream.from = ex.servingProcess()
	return !ex.stream.resumed && !ex.headSent || ex.servingSoftware() == ex.stream.software
}

// servingProcess returns the process that the current response comes from; nil: another instance ran the
// request.
func (ex *exchange) servingProcess() *endpointProcess {
	if ex.placement == nil {
		return nil
	}
	return &endpointProcess{ex.placement.Endpoint.ID, ex.placement.Endpoint.Incarnation()}
}

// servingSoftware returns the version of the endpoint that the current response comes from; zero: it is
// not known.
func (ex *exchange) servingSoftware() catalog.SoftwareID {
	if ex.placement == nil {
		return ex.peerSoftware
	}
	if ex.replaced(*ex.servingProcess()) {
		return 0
	}
	return ex.placement.Endpoint.SoftwareID()
}

// noteFirstEvent records which version began the stream, before the first event is relayed.
func (ex *exchange) noteFirstEvent() {
	if !ex.stream.resumed {
		ex.stream.software = ex.servingSoftware()
		if ex.recordsStream() {
			ex.stream.ids = []resume.StreamID{resume.ID(ex.call.ID), ex.contentID()}
		}
	}
	ex.recordStream()
}

// recordsStream reports whether this instance records the stream. Of a forwarded request the one that
// its caller reached does.
func (ex *exchange) recordsStream() bool {
	return ex.route.Resumable && ex.forwarded == nil && ex.proxy.Streams != nil
}

// recordStream has the version of the stream remembered, also by other instances.
func (ex *exchange) recordStream() {
	if !ex.recordsStream() {
		return
	}
	for _, id := range ex.stream.ids {
		ex.proxy.Streams.RecordStream(id, ex.stream.software, ex.streamTTL())
	}
}

// forwardCandidates returns those candidates that keep the stream at its version.
func (ex *exchange) forwardCandidates(candidates []forward.Peer) []forward.Peer {
	if ex.stream.software == 0 {
		return candidates
	}
	var out []forward.Peer
	for _, p := range candidates {
		if p.KnowsSoftware {
			out = append(out, p)
		}
	}
	return out
}
