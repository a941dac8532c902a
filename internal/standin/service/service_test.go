package service

import (
	"net/http"
	"strings"
	"testing"
)

func call(t *testing.T, s *Service, operation, fencing string) int {
	t.Helper()
	body := strings.NewReader(`{"coin":"c1","from":"a","to":"b"}`)
	request, err := http.NewRequest(http.MethodPost, "http://"+s.Address()+"/handovers", body)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Operation-Id", operation)
	request.Header.Set("X-Fencing-Number", fencing)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

func TestJournalCountsExecutions(t *testing.T) {
	for _, checks := range []bool{false, true} {
		s := New(Config{ChecksFencing: checks})
		if err := s.Start(""); err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		s.DropReplies(1)
		if status := call(t, s, "o1", "5"); status != 0 {
			t.Errorf("dropped reply has status %d", status)
		}
		status := call(t, s, "o1", "5")
		want, runs := http.StatusCreated, 2
		if checks {
			want, runs = http.StatusConflict, 1
		}
		if status != want || s.Executions("o1") != runs {
			t.Errorf("checks %t: status %d, %d executions; want %d, %d", checks, status, s.Executions("o1"), want, runs)
		}
		response, err := http.Get("http://" + s.Address() + "/handovers/c1")
		if err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("lookup: %v, %v", response, err)
		}
	}
}
