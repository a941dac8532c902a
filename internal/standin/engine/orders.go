package engine

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"
)

// orderRequest asks the engine to load or unload a model, or to change role.
type orderRequest struct {
	Fencing int    `json:"fencing"`
	Action  string `json:"action"`
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
}

// Models returns the loaded models, ordered by name.
func (e *Engine) Models() []string {
	return slices.Sorted(maps.Keys(e.Versions()))
}

// Versions returns the version of each loaded model; one that was loaded without
// a version has an empty one.
func (e *Engine) Versions() map[string]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.models)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order orderRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, "malformed order: "+err.Error())
		return
	}
	switch e.obey(order) {
	case http.StatusConflict:
		writeError(w, http.StatusConflict, "the fencing number is old")
	case http.StatusUnprocessableEntity:
		writeError(w, http.StatusUnprocessableEntity, "the version can't be loaded")
	default:
		writeJSON(w, order)
	}
}

// obey carries an order out, unless the engine checks fencing numbers and the
// order's is lower than one seen before, or the version can't be loaded. It
// returns the status of the answer.
func (e *Engine) obey(order orderRequest) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusOK
	switch {
	case e.config.ChecksFencing && order.Fencing < e.fencing:
		status = http.StatusConflict
	case order.Action == "load" && slices.Contains(e.config.BrokenVersions, order.Version):
		status = http.StatusUnprocessableEntity
	}
	e.journal.add(Entry{
		Kind: KindOrder, Model: order.Model, Version: order.Version, Action: order.Action,
		Fencing: order.Fencing, Accepted: status == http.StatusOK,
	})
	if status != http.StatusOK {
		return status
	}
	e.fencing = max(e.fencing, order.Fencing)
	e.ordered = true
	switch order.Action {
	case "load":
		e.loadModel(order)
	case "unload":
		delete(e.models, order.Model)
	}
	return status
}

// loadModel replaces the model's version at once, or after the time that weights take;
// the engine lacks the model meanwhile.
func (e *Engine) loadModel(order orderRequest) {
	if e.config.LoadTime == 0 {
		e.models[order.Model] = order.Version
		return
	}
	delete(e.models, order.Model)
	time.AfterFunc(e.config.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.models[order.Model] = order.Version
	})
}
