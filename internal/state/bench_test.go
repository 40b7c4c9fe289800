package state

import "testing"

// BenchmarkStartBytes measures the encoded size of one start in a command with
// 100 of them.
func BenchmarkStartBytes(b *testing.B) {
	const items = 100
	size := 0
	for b.Loop() {
		start := &Start{}
		for range items {
			start.Items = append(start.Items, StartItem{Job: "drogheda-hall.12345", Worker: "rackwise-drogheda-hall-017"})
		}
		encoded, err := (&Command{Now: 1_796_237_089_673, Proposer: "drogheda-1/cell", Start: start}).Encode()
		if err != nil {
			b.Fatal(err)
		}
		size = len(encoded)
	}
	b.ReportMetric(float64(size)/items, "bytes/start")
}
