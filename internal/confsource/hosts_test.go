package confsource

import (
	"testing"

	"mimosafront/internal/settings"
)

// FuzzHostList checks that OnHosts receives only valid lists, each version once.
func FuzzHostList(f *testing.F) {
	f.Add([]byte(`{"version":2,"hosts":[{"name":"e1","zone":"a","address":"127.0.0.1:1","kind":"entry","state":"leaving"}]}`))
	f.Add([]byte(`{"version":1,"hosts":[{"name":"e1","address":"nowhere:1","kind":"entry","state":"live"}]}`))
	f.Add([]byte(`{"version":-1}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var received []HostList
		c := New(Config{Platform: settings.Platform{ReadsPerSecond: 1}, OnHosts: func(l HostList) { received = append(received, l) }})
		err := c.acceptHosts(t.Context(), body)
		if err != nil && len(received) > 0 {
			t.Errorf("OnHosts was called with a list that acceptHosts rejected: %v", err)
		}
		for _, list := range received {
			if list.validate() != nil {
				t.Errorf("OnHosts was called with an invalid list %+v", list)
			}
		}
		if c.acceptHosts(t.Context(), body) == nil && len(received) > 1 {
			t.Error("OnHosts was called twice with the same version")
		}
	})
}
