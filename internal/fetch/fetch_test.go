package fetch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
)

func newRequest(ctx context.Context, t *testing.T, handler http.HandlerFunc) *http.Request {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	return req
}

func TestCompleteResponse(t *testing.T) {
	req := newRequest(context.Background(), t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusGone)
		_, _ = w.Write([]byte("whole"))
	})
	a, err := Do(http.DefaultClient, req, 5, HeaderOptions{Timeout: time.Second})
	if err != nil || a.Status != http.StatusGone || string(a.Body) != "whole" || a.TotalTime < a.HeaderTime {
		t.Fatalf("got %+v, %v, want status 410 and the whole body", a, err)
	}
}

func TestPartialResponseReportsBytes(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	req := newRequest(ctx, t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte("a part"))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	_, err := Do(http.DefaultClient, req, 100, HeaderOptions{Timeout: time.Second})
	var truncated *TruncatedError
	if !errors.As(err, &truncated) || !truncated.HeaderReceived || truncated.Bytes != len("a part") || !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got %v, want a TruncatedError with the length of the part and the deadline as its cause", err)
	}
}

func TestTimeoutBeforeHeader(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	req := newRequest(ctx, t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	_, err := Do(http.DefaultClient, req, 100, HeaderOptions{Timeout: time.Second})
	var truncated *TruncatedError
	if !errors.As(err, &truncated) || truncated.HeaderReceived {
		t.Fatalf("got %v, want a TruncatedError without a header", err)
	}
}

func TestOversizedResponse(t *testing.T) {
	req := newRequest(context.Background(), t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("123456")) })
	if _, err := Do(http.DefaultClient, req, 5, HeaderOptions{Timeout: time.Second}); !errors.Is(err, ErrTooLong) {
		t.Fatalf("got %v, want ErrTooLong", err)
	}
}

// Neither the timeout of the header nor Cancel ends a response whose header has arrived.
func TestSteadyResponseOutlastsHeaderTimeout(t *testing.T) {
	const headerTimeout = 500 * time.Millisecond
	req := newRequest(context.Background(), t, func(w http.ResponseWriter, _ *http.Request) {
		for range 6 {
			_, _ = w.Write([]byte("a part"))
			w.(http.Flusher).Flush()
			time.Sleep(headerTimeout / 2)
		}
	})
	canceled := make(chan struct{})
	time.AfterFunc(2*headerTimeout, func() { close(canceled) })
	a, err := Do(http.DefaultClient, req, 100, HeaderOptions{Timeout: headerTimeout, Cancel: canceled})
	if err != nil || len(a.Body) != 6*len("a part") || a.TotalTime < 2*headerTimeout {
		t.Fatalf("got %+v, %v, want all six parts after more than twice the header timeout", a, err)
	}
}

func TestIdleSourceEndsCall(t *testing.T) {
	for name, sendsHeader := range map[string]bool{"before the header": false, "in the body": true} {
		t.Run(name, func(t *testing.T) {
			req := newRequest(context.Background(), t, func(w http.ResponseWriter, r *http.Request) {
				if sendsHeader {
					_, _ = w.Write([]byte("a part"))
					w.(http.Flusher).Flush()
				}
				<-r.Context().Done()
			})
			_, err := Do(http.DefaultClient, req, 100, HeaderOptions{Timeout: 500 * time.Millisecond})
			var truncated *TruncatedError
			if !errors.Is(err, ErrIdle) || !errors.As(err, &truncated) || truncated.HeaderReceived != sendsHeader {
				t.Fatalf("got %v, want ErrIdle in a TruncatedError that says whether the header arrived", err)
			}
		})
	}
}

func TestCancelEndsWaitForHeader(t *testing.T) {
	canceled := make(chan struct{})
	req := newRequest(context.Background(), t, func(_ http.ResponseWriter, r *http.Request) {
		close(canceled)
		<-r.Context().Done()
	})
	if _, err := Do(http.DefaultClient, req, 100, HeaderOptions{Timeout: time.Minute, Cancel: canceled}); !errors.Is(err, ErrCanceled) {
		t.Fatalf("got %v, want ErrCanceled", err)
	}
}
