package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/toucancove/toucancove/config"
	client "github.com/toucancove/toucancove/valuestore"
)

// Handler returns the HTTP handler: reads and watches of values for nodes and,
// under /admin/, control for tests.
//
//	PUT  /admin/values/<name>  body without revision; returns the revision
//	POST /admin/faults         JSON of Faults
//	GET  /admin/stats          JSON of Stats
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+client.ValuesPath+"{name...}", s.read)
	mux.HandleFunc("PUT /admin/values/{name...}", s.putValue)
	mux.HandleFunc("POST /admin/faults", s.postFaults)
	mux.HandleFunc("GET /admin/stats", s.getStats)
	return mux
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	if !s.count() {
		http.Error(w, "call rate exceeds the rate limit", http.StatusTooManyRequests)
		return
	}
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil && r.FormValue("after") != "" {
		http.Error(w, "parameter after must be a revision: an unsigned integer", http.StatusBadRequest)
		return
	}
	wait, err := strconv.ParseInt(r.FormValue("wait"), 10, 64)
	if err != nil && r.FormValue("wait") != "" {
		http.Error(w, "parameter wait must be an integer in milliseconds", http.StatusBadRequest)
		return
	}
	s.watch(w, r, config.Revision(after), min(time.Duration(wait)*time.Millisecond, MaxWait))
}

// watch is a long poll: it responds when a version newer than after is visible,
// or with 304 or 404 when the wait has passed.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, after config.Revision, wait time.Duration) {
	s.addWaiting(1)
	defer s.addWaiting(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	expired := wait <= 0
	for {
		found, known, faults, changed := s.visible(r.PathValue("name"))
		switch {
		case faults.Outage:
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		case known && (found.revision > after || faults.Backwards):
			s.writeVersion(w, found)
			return
		case expired && known:
			w.WriteHeader(http.StatusNotModified)
			return
		case expired:
			http.Error(w, "value is not published", http.StatusNotFound)
			return
		}
		var poll <-chan time.Time
		if faults.LagMillis > 0 {
			poll = time.After(lagPollInterval)
		}
		select {
		case <-changed:
		case <-poll:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) writeVersion(w http.ResponseWriter, v version) {
	w.Header().Set(client.RevisionHeader, strconv.FormatUint(uint64(v.revision), 10))
	w.Header().Set("Content-Type", "application/yaml")
	n, _ := w.Write(v.body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.BytesSent += int64(n)
}

func (s *Server) addWaiting(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Waiting += n
}

func (s *Server) putValue(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body can't be read or exceeds 8 MiB", http.StatusBadRequest)
		return
	}
	revision := s.Publish(r.PathValue("name"), body)
	w.Header().Set(client.RevisionHeader, strconv.FormatUint(uint64(revision), 10))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, "body must be a JSON object with only the fields of Faults", http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Stats())
}
