package daemon

import (
	"encoding/json"
	"net/http"

	"mimosafront/internal/apierror"
	"mimosafront/internal/front"
	"mimosafront/internal/status"
	"mimosafront/internal/verdict"
)

// maxQueryBytes limits the query of an explanation.
const maxQueryBytes = 64 << 10

// serveExplain answers where a request would go. The query is a body and no URL, so that
// keys appear in no log of URLs.
func (d *Daemon) serveExplain(w http.ResponseWriter, r *http.Request) {
	var query status.Query
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQueryBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&query); err != nil {
		writeExplainError(w, apierror.New(apierror.CodeMalformed, verdict.NotRun, "query: %v", err))
		return
	}
	request, route, err := d.front.Describe(query)
	if err != nil {
		writeExplainError(w, err)
		return
	}
	explanation, err := d.control.Explain(r.Context(), request)
	if err != nil {
		writeExplainError(w, err)
		return
	}
	explanation.Route, explanation.Kind = route.Name, front.RouteKind(route)
	explanation.Organisation, explanation.Caller = request.Organisation, request.Caller
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(explanation)
}

func writeExplainError(w http.ResponseWriter, err *apierror.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(err.Status())
	_ = json.NewEncoder(w).Encode(err.Body())
}
