package peer

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"ivyridge/peer/peerpb"
)

const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout keeps connections to peers that are seldom called, since a
	// new one costs the CPU time of two handshakes.
	idleTimeout = 10 * time.Minute
	// maxStreams is the maximum number of concurrent calls of one peer; each
	// request that waits at a home is one.
	maxStreams      = 20_000
	shutdownTimeout = 200 * time.Millisecond
)

// A Client holds the service clients of one peer.
type Client struct {
	peerpb.Home
	peerpb.Owner
	peerpb.Member
}

// A Dialer caches one Client per peer address. It is safe for concurrent use.
type Dialer struct {
	http    *http.Client
	mu      sync.Mutex
	clients map[string]*Client
}

// NewTransport returns the transport for calls between instances, which authenticates
// with keys.
func NewTransport(keys *Keyring) *http.Transport {
	return &http.Transport{
		TLSClientConfig:     keys.Client(),
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSHandshakeTimeout: 2 * dialTimeout,
		ForceAttemptHTTP2:   true,
		IdleConnTimeout:     idleTimeout,
		HTTP2: &http.HTTP2Config{
			// If a peer does not answer a ping, the connection is closed and all
			// calls that wait on it fail.
			SendPingTimeout: 2 * time.Second,
			PingTimeout:     time.Second,
		},
	}
}

// NewDialer returns a Dialer that uses the given transport.
func NewDialer(rt http.RoundTripper) *Dialer {
	return &Dialer{http: &http.Client{Transport: rt}, clients: make(map[string]*Client)}
}

// To returns the client of the peer at addr.
func (d *Dialer) To(addr string) *Client {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.clients[addr]
	if c == nil {
		url := "https://" + addr
		c = &Client{
			Home:   peerpb.NewHomeProtobufClient(url, d.http),
			Owner:  peerpb.NewOwnerProtobufClient(url, d.http),
			Member: peerpb.NewMemberProtobufClient(url, d.http),
		}
		d.clients[addr] = c
	}
	return c
}

// Close closes all idle connections.
func (d *Dialer) Close() { d.http.CloseIdleConnections() }

// A Server serves the peer services.
type Server struct {
	http *http.Server
}

// Services are the service implementations of an instance.
type Services struct {
	Home   peerpb.Home
	Owner  peerpb.Owner
	Member peerpb.Member
}

// Handler returns the handler of the peer services.
func (s Services) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, h := range []peerpb.TwirpServer{
		peerpb.NewHomeServer(s.Home),
		peerpb.NewOwnerServer(s.Owner),
		peerpb.NewMemberServer(s.Member),
	} {
		mux.Handle(h.PathPrefix(), h)
	}
	return mux
}

// NewServer returns the server for peer calls. The TLS handshake fails for a client
// without a certificate of the fleet.
func NewServer(keys *Keyring, h http.Handler) *Server {
	return &Server{&http.Server{
		Handler:           h,
		TLSConfig:         keys.Server(),
		ReadHeaderTimeout: 5 * time.Second,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		ErrorLog:          log.New(io.Discard, "", 0),
	}}
}

// Serve accepts connections on l until Close or Shutdown.
func (s *Server) Serve(l net.Listener) error { return s.http.ServeTLS(l, "", "") }

// Shutdown waits up to shutdownTimeout for calls in progress, then closes all
// connections.
func (s *Server) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		return s.http.Close()
	}
	return nil
}

// Close closes all connections immediately.
func (s *Server) Close() error { return s.http.Close() }
