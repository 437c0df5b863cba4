package forwarder_test

import (
	"io"
	"net/http"
	"testing"
)

// BenchmarkPath measures one call after the other, straight to the upstream and
// through two nodes.
func BenchmarkPath(b *testing.B) {
	m := newMesh(b)
	m.route("files", true)
	answer := func(string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	}
	m.add("front", answer)
	files := m.add("files", answer)
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
