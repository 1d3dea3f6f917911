package entry

// This file declares the interface between the proxy and the codec of a wire protocol.

import (
	"net/http"
	"strconv"
	"time"

	"ivyridge/balance"
	"ivyridge/verdict"
)

// A Part is a piece of a prompt that several requests may share, such as a common prefix.
type Part struct {
	ID     uint64
	Tokens int
}

// A Generation describes a request to a language model.
type Generation struct {
	Model        string
	PromptTokens int
	MaxTokens    int
	OutputHint   int // the caller's estimate of the output in tokens; zero: none
	Parts        []Part
}

// sharedParts returns the parts that other requests may have too: all but the last one.
func (g *Generation) sharedParts() []Part {
	if g == nil || len(g.Parts) == 0 {
		return nil
	}
	return g.Parts[:len(g.Parts)-1]
}

// sharedPartNames returns the IDs of the shared parts as they are logged.
func (g *Generation) sharedPartNames() (names []string) {
	for _, p := range g.sharedParts() {
		names = append(names, strconv.FormatUint(p.ID, 16))
	}
	return names
}

// A Call is a decoded request.
type Call struct {
	ID          string
	Method      string
	Host        string
	Target      string // request target, as in the request line
	Path        string
	Key         string        // API key; empty: none
	Deadline    time.Duration // how long the caller waits; zero: not stated
	Generation  *Generation   // nil: not a model request
	LastEventID string        // ID of the last event that the caller has; the stream resumes after it
	Resumes     string        // ID of the request that brought the first event of the stream to resume; empty: none, or not stated
	Header      http.Header   // headers to forward
	Body        []byte
}

// ForwardOptions are what the proxy adds to a Call for one attempt.
type ForwardOptions struct {
	Endpoint    string
	Team        string        // empty: the caller has no key
	Remaining   time.Duration // until the deadline
	Rank        int           // scheduling priority in an engine; 0 is the most urgent
	LastEventID string        // as in Call, updated by events already relayed
	FetchFrom   string        // IP:port of an endpoint whose cache holds parts of the prompt; empty: none
}

// A ResponseHead is the decoded head of an endpoint's response.
type ResponseHead struct {
	RequestID   string
	NotRun      bool                  // the endpoint guarantees that it did not run the request
	Misdirected bool                  // the address belongs to a different endpoint by now
	Sealed      bool                  // the response bears the endpoint's seal, so that no proxy in between made it
	KeepAlive   time.Duration         // idle timeout of the connection; zero: not stated
	Backoff     time.Duration         // the endpoint asks this instance to send nothing for this long; zero: not stated
	Leaving     bool                  // the endpoint is shutting down
	Brittle     bool                  // the endpoint falls over when it turns away too many requests
	RateLimit   *Rate                 // rate limit over all instances; nil: not stated
	Load        *balance.ReportedLoad // load of the endpoint when it responded; nil: not stated
	InvalidLoad bool                  // the load could not be parsed
}

// A Rate is in requests per second.
type Rate float64

// A Codec translates between a wire protocol and the types of this package.
// Implementations must be safe for concurrent use.
type Codec interface {
	// Decode decodes the head of a caller's request. The error's verdict and
	// reason decide how the request is rejected.
	Decode(r *http.Request) (*Call, error)
	// Encode returns the headers of a request to an endpoint.
	Encode(c *Call, f ForwardOptions) http.Header
	// EncodeForwarded returns the headers of a caller's request for another instance, whose Decode
	// yields the same call with what is left of its deadline and the last event already relayed.
	EncodeForwarded(header http.Header, remaining time.Duration, lastEventID string) http.Header
	// DecodeResponse decodes the head of an endpoint's response.
	DecodeResponse(status int, h http.Header) ResponseHead
	// CopyResponseHeaders copies the response headers that are meant for the caller.
	CopyResponseHeaders(to, from http.Header)
	// WriteError writes the response to a request that failed or was rejected.
	WriteError(w http.ResponseWriter, id string, e *verdict.Error)
}
