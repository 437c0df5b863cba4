package forwarder_test

import (
	"io"
	"net/http"
	"testing"
)

// BenchmarkPath measures sequential calls directly to the upstream and through
// two nodes.
func BenchmarkPath(b *testing.B) {
	m := newMesh(b)
	m.addRoute("files", true)
	handler := func(string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	}
	m.addNode("front", handler)
	files := m.addNode("files", handler)
	m.join()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	paths := map[string]string{
		"direct":            files.upstream.URL + "/files/1",
		"through two nodes": m.nodes[0].callers.URL + "/files/1",
	}
	for name, url := range paths {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				req, _ := http.NewRequest("GET", url, nil)
				req.Header.Set("Authorization", "Bearer "+secret)
				resp, err := client.Do(req)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					b.Fatal(resp.Status)
				}
			}
		})
	}
}
