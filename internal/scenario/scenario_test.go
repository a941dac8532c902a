package scenario

import (
	"errors"
	"testing"

	"mimosafront/internal/inifile"
)

func FuzzParse(f *testing.F) {
	f.Add([]byte("[scenario]\npolicy = p.ini\nretries = 3\n[stream a]\norganisation = x\nrate = 2\n[fault b]\nkind = slow\n"))
	f.Add([]byte("[scenario]\npolicy = p.ini\nduration_s = -1\n[stream]\nrate = many\n"))
	f.Add([]byte("[scenario]\n[scenario]\n[fountain]\n\x00"))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := Parse("scenario.ini", text)
		if err == nil && file.Scenario.Policy == "" {
			t.Error("a scenario without a policy was accepted")
		}
		var problems inifile.Problems
		if err != nil && !errors.As(err, &problems) {
			t.Errorf("error %v", err)
		}
	})
}
