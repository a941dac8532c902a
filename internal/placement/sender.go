package placement

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"mimosafront/internal/eventlog"
)

// maxResponseBytes limits the size of a server's list of models.
const maxResponseBytes = 1 << 20

// Sender sends orders to backend servers and reads which models they have loaded.
// It is safe for concurrent use.
type Sender struct {
	client *http.Client
	logger *eventlog.Logger
}

// NewSender returns a Sender that logs each order.
func NewSender(logger *eventlog.Logger) *Sender {
	if logger == nil {
		logger = eventlog.Discard()
	}
	// Orders are rare, and the transport must not send one twice, so each has
	// its own connection.
	return &Sender{client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, logger: logger}
}

type orderBody struct {
	Fencing int    `json:"fencing"`
	Action  Action `json:"action"`
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
}

// Send sends an order and waits for its result, at most for the timeout.
func (s *Sender) Send(ctx context.Context, o Order, timeout time.Duration) Result {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result, err := s.post(ctx, o)
	s.logger.Info("placement order", "server", o.Server, "action", o.Action, "model", o.Model, "version", o.Version,
		"fencing", o.Fencing, "reason", o.Reason, "result", result, "error", err)
	return result
}

func (s *Sender) post(ctx context.Context, o Order) (Result, error) {
	body, err := json.Marshal(orderBody{Fencing: o.Fencing, Action: o.Action, Model: o.Model, Version: o.Version})
	if err != nil {
		return ResultFailed, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return ResultFailed, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err != nil {
		return ResultFailed, err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return ResultDone, nil
	case http.StatusConflict:
		return ResultFenced, nil
	}
	return ResultRejected, fmt.Errorf("status %s", response.Status)
}

// Models returns the models that a backend server has loaded and their versions.
func (s *Sender) Models(ctx context.Context, address string) (map[string]string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/models", nil)
	if err != nil {
		return nil, err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %s", response.Status)
	}
	var list struct {
		Data []struct {
			ID      string `json:"id"`
			Version string `json:"version"`
		} `json:"data"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&list); err != nil {
		return nil, fmt.Errorf("list of models: %w", err)
	}
	models := make(map[string]string, len(list.Data))
	for _, model := range list.Data {
		models[model.ID] = model.Version
	}
	return models, nil
}
