package fake

// This file implements the HTTP control interface: fault injection, changes of
// the member list, and the record of runs.

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"ivyridge/member"
	"ivyridge/platformclient"
)

// Control returns the HTTP handler of the control interface.
func (w *Environment) Control() http.Handler {
	r := chi.NewRouter()
	r.Get("/books", w.getRunLog)
	r.Post("/endpoints/{name}/fault", w.postFault)
	r.Post("/endpoints/{name}/crash", w.endpointHandler(func(e Endpoint, _ string) error { e.Crash(); return nil }))
	r.Post("/endpoints/{name}/restart", w.endpointHandler(func(_ Endpoint, name string) error { return w.StartEndpoint(name) }))
	r.Post("/endpoints/{name}/leave", w.endpointHandler(func(e Endpoint, name string) error {
		e.Leave()
		w.setEndpointState(name, member.Leaving)
		return nil
	}))
	r.Post("/endpoints/{name}/list", func(rw http.ResponseWriter, r *http.Request) {
		w.setEndpointState(chi.URLParam(r, "name"), member.State(r.URL.Query().Get("state")))
	})
	r.Post("/instances/{name}/list", func(rw http.ResponseWriter, r *http.Request) {
		w.setInstanceState(chi.URLParam(r, "name"), member.State(r.URL.Query().Get("state")))
	})
	r.Post("/platform/down", func(rw http.ResponseWriter, r *http.Request) {
		w.Platform.SetDown(r.URL.Query().Get("down") != "false")
	})
	r.Post("/platform/old", w.postOld)
	r.Post("/platform/publish", w.postPublish)
	return r
}

// RunLogResponse is the response to GET /books.
type RunLogResponse struct {
	Runs          map[string][]Run `json:"runs"`
	Tokens        int              `json:"tokens"`
	PlatformCalls int64            `json:"platform_calls"`
}

func (w *Environment) getRunLog(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(RunLogResponse{w.RunLog.Runs(), w.RunLog.Tokens(), w.Platform.Calls.Load()})
}

func (w *Environment) endpointHandler(f func(e Endpoint, name string) error) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		name := chi.URLParam(r, "name")
		e := w.Endpoint(name)
		if e == nil {
			http.Error(rw, "no endpoint is called "+name, http.StatusNotFound)
			return
		}
		if err := f(e, name); err != nil {
			http.Error(rw, err.Error(), http.StatusConflict)
		}
	}
}

func (w *Environment) postFault(rw http.ResponseWriter, r *http.Request) {
	f, err := parseFault(r)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.endpointHandler(func(e Endpoint, _ string) error { e.Set(f); return nil })(rw, r)
}

// parseFault parses a fault from a query such as slow=4&delay=1s. An empty
// query yields the zero Fault, which restores normal operation.
func parseFault(r *http.Request) (f Fault, err error) {
	for key, values := range r.URL.Query() {
		v := values[0]
		switch key {
		case "slow":
			f.Slow, err = strconv.ParseFloat(v, 64)
		case "hang":
			f.Hang, err = strconv.ParseBool(v)
		case "cut":
			f.Cut, err = strconv.Atoi(v)
		case "cut_once":
			f.CutOnce, err = strconv.Atoi(v)
		case "error":
			f.Error, err = strconv.Atoi(v)
		case "delay":
			f.Delay, err = time.ParseDuration(v)
		default:
			err = unknownFaultError(key)
		}
		if err != nil {
			return f, err
		}
	}
	return f, nil
}

type unknownFaultError string

func (e unknownFaultError) Error() string { return "unknown fault " + string(e) }

// setEndpointState sets a configured endpoint's state in the member list, or
// removes the endpoint from it if s is empty.
func (w *Environment) setEndpointState(name string, s member.State) {
	w.Platform.ChangeList(func(l *member.List) {
		kept := make([]member.Endpoint, 0, len(l.Endpoints))
		for _, e := range l.Endpoints {
			if e.Name != name {
				kept = append(kept, e)
			}
		}
		for i := range w.Config.Endpoints {
			if e := w.Config.Endpoints[i].memberEndpoint(); e.Name == name && s != "" {
				e.State = s
				kept = append(kept, e)
			}
		}
		l.Endpoints = kept
	})
}

// setInstanceState sets a configured instance's state in the member list, or
// removes the instance from it if s is empty.
func (w *Environment) setInstanceState(name string, s member.State) {
	w.Platform.ChangeList(func(l *member.List) {
		kept := make([]member.Instance, 0, len(l.Instances))
		for _, e := range l.Instances {
			if e.Name != name {
				kept = append(kept, e)
			}
		}
		for _, e := range w.Config.memberList().Instances {
			if e.Name == name && s != "" {
				e.State = s
				kept = append(kept, e)
			}
		}
		l.Instances = kept
	})
}

// postOld makes the platform serve the newest configuration under revision 1,
// to simulate a platform that goes back, or the true revision again with
// old=false.
func (w *Environment) postOld(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("old") == "false" {
		w.Platform.ServeOld(platformclient.Config, nil)
		return
	}
	newest := w.Platform.Newest(platformclient.Config)
	newest.Revision = 1
	w.Platform.ServeOld(platformclient.Config, &newest)
}

func (w *Environment) postPublish(rw http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, platformclient.MaxValue))
	if err != nil {
		http.Error(rw, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	_, _ = io.WriteString(rw, strconv.FormatInt(w.Platform.Publish(string(data)), 10)+"\n")
}
