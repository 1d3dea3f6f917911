package fake

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

// Control returns an HTTP handler that injects faults, publishes documents and returns
// the run log.
func (env *Environment) Control() http.Handler {
	r := chi.NewRouter()
	r.Get("/books", env.getRunLog)
	r.Post("/endpoints/{name}/fault", env.postFault)
	r.Post("/endpoints/{name}/crash", env.endpointHandler(func(e Endpoint, _ string) error { e.Crash(); return nil }))
	r.Post("/endpoints/{name}/restart", env.endpointHandler(func(_ Endpoint, name string) error { return env.StartEndpoint(name) }))
	r.Post("/endpoints/{name}/leave", env.endpointHandler(func(e Endpoint, name string) error {
		e.Leave()
		env.setEndpointState(name, member.Leaving)
		return nil
	}))
	r.Post("/endpoints/{name}/list", func(w http.ResponseWriter, r *http.Request) {
		env.setEndpointState(chi.URLParam(r, "name"), member.State(r.URL.Query().Get("state")))
	})
	r.Post("/instances/{name}/list", func(w http.ResponseWriter, r *http.Request) {
		env.setInstanceState(chi.URLParam(r, "name"), member.State(r.URL.Query().Get("state")))
	})
	r.Post("/platform/down", func(w http.ResponseWriter, r *http.Request) {
		env.Platform.SetDown(r.URL.Query().Get("down") != "false")
	})
	r.Post("/platform/old", env.postOld)
	r.Post("/platform/publish", env.postPublish)
	return r
}

// RunLogResponse is the response to GET /books.
type RunLogResponse struct {
	Runs          map[string][]Run `json:"runs"`
	Tokens        int              `json:"tokens"`
	PlatformCalls int64            `json:"platform_calls"`
}

func (env *Environment) getRunLog(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(RunLogResponse{env.RunLog.Runs(), env.RunLog.Tokens(), env.Platform.Calls.Load()})
}

func (env *Environment) endpointHandler(f func(e Endpoint, name string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := chi.URLParam(r, "name")
		e := env.Endpoint(name)
		if e == nil {
			http.Error(w, "no endpoint is called "+name, http.StatusNotFound)
			return
		}
		if err := f(e, name); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
		}
	}
}

func (env *Environment) postFault(w http.ResponseWriter, r *http.Request) {
	f, err := parseFault(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	env.endpointHandler(func(e Endpoint, _ string) error { e.Set(f); return nil })(w, r)
}

// parseFault parses the query of r, such as slow=4&delay=1s.
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

// setEndpointState sets the listed state of the named endpoint; an empty one unlists it.
func (env *Environment) setEndpointState(name string, s member.State) {
	env.Platform.ChangeList(func(l *member.List) {
		kept := make([]member.Endpoint, 0, len(l.Endpoints))
		for _, e := range l.Endpoints {
			if e.Name != name {
				kept = append(kept, e)
			}
		}
		for i := range env.Config.Endpoints {
			if e := env.Config.Endpoints[i].memberEndpoint(); e.Name == name && s != "" {
				e.State = s
				kept = append(kept, e)
			}
		}
		l.Endpoints = kept
	})
}

// setInstanceState sets the listed state of the named instance; an empty one unlists it.
func (env *Environment) setInstanceState(name string, s member.State) {
	env.Platform.ChangeList(func(l *member.List) {
		kept := make([]member.Instance, 0, len(l.Instances))
		for _, e := range l.Instances {
			if e.Name != name {
				kept = append(kept, e)
			}
		}
		for _, e := range env.Config.memberList().Instances {
			if e.Name == name && s != "" {
				e.State = s
				kept = append(kept, e)
			}
		}
		l.Instances = kept
	})
}

// postOld makes the platform serve the newest configuration as revision 1, to
// simulate a stale platform, or under its real revision again with old=false.
func (env *Environment) postOld(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("old") == "false" {
		env.Platform.ServeOld(platformclient.Config, nil)
		return
	}
	newest := env.Platform.Newest(platformclient.Config)
	newest.Revision = 1
	env.Platform.ServeOld(platformclient.Config, &newest)
}

func (env *Environment) postPublish(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platformclient.MaxValue))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	_, _ = io.WriteString(w, strconv.FormatInt(env.Platform.Publish(string(data)), 10)+"\n")
}
