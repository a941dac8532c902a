package front

import (
	"encoding/json"
	"net/http"
	"slices"

	"mimosafront/internal/apierror"
	"mimosafront/internal/verdict"
)

// modelList is the body of the answer to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

// modelItem is one model of a modelList.
type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels answers GET /v1/models with the models that the caller may use.
func (f *Front) serveModels(w http.ResponseWriter, r *http.Request) {
	q, err := f.begin(r)
	defer f.end(q)
	if err != nil {
		f.refuse(w, q, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for name := range q.policy.Models {
		if q.policy.MayReach(q.caller.Organisation, name) {
			list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: q.policy.Association})
		}
	}
	slices.SortFunc(list.Data, func(a, b modelItem) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	body, encodeErr := json.Marshal(list)
	if encodeErr != nil {
		f.refuse(w, q, apierror.New(apierror.CodeInternal, verdict.NotRun, "the list can't be encoded").WithCause(encodeErr))
		return
	}
	q.outcome.verdict = verdict.Ran
	w.Header().Set("Content-Type", "application/json")
	f.writeBody(w, q, http.StatusOK, body)
}

// serveNotFound answers requests for a path or method that does not exist.
func (f *Front) serveNotFound(w http.ResponseWriter, r *http.Request) {
	q, err := f.begin(r)
	defer f.end(q)
	if err == nil {
		err = apierror.New(apierror.CodeUnknownTarget, verdict.NotRun, "there is no such path or method")
	}
	f.refuse(w, q, err)
}
