package contract

import "testing"

func BenchmarkDecode(b *testing.B) {
	data := example(b, "daugava.json")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}
