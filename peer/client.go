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
	idleTimeout = 10 * time.Minute // long, since a new connection costs two handshakes
	// maxStreams bounds the concurrent calls on one connection. Each request queued at
	// another instance occupies one.
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

// NewTransport returns a transport that authenticates to peers with keys.
func NewTransport(keys *Keyring) *http.Transport {
	return &http.Transport{
		TLSClientConfig:     keys.Client(),
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSHandshakeTimeout: 2 * dialTimeout,
		ForceAttemptHTTP2:   true,
		IdleConnTimeout:     idleTimeout,
		HTTP2: &http.HTTP2Config{
			// Pings detect dead connections, on which calls would wait.
			SendPingTimeout: 2 * time.Second,
			PingTimeout:     time.Second,
		},
	}
}

// NewDialer returns a Dialer that sends calls through rt.
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

// Close closes the idle connections.
func (d *Dialer) Close() { d.http.CloseIdleConnections() }

// A Server serves the peer services.
type Server struct {
	http *http.Server
}

// Services holds an instance's implementations of the peer services.
type Services struct {
	Home   peerpb.Home
	Owner  peerpb.Owner
	Member peerpb.Member
}

// Handler returns an HTTP handler that routes calls to the services.
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

// NewServer returns a server for h that rejects clients without a certificate
// signed by the fleet's authority.
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

// Shutdown waits up to 200 ms for calls in progress, then closes all connections.
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
