package gossip

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"ivyridge/balance"
	"ivyridge/catalog"
	"ivyridge/discovery"
)

// BenchmarkHeap measures the heap used per service by endpoint lists and by the balancer.
func BenchmarkHeap(bench *testing.B) {
	for _, n := range []int{690, 6000, 12000} {
		bench.Run(fmt.Sprint(n), func(bench *testing.B) {
			u := &discovery.Update{Revision: 1, Full: true, ValidatedAt: time.Now(), Config: &catalog.Document{Version: 1}}
			for i := range n {
				u.Endpoints = append(u.Endpoints, listedRecord(i, 1))
			}
			data, _ := json.Marshal(u)
			for bench.Loop() {
				before := heapBytes()
				table := discovery.NewTable(time.Now)
				_ = table.Apply(decodeUpdate(data))
				listed := heapBytes()
				b := balance.New("ams-a", time.Now)
				service := &catalog.Service{Name: "llm", Engine: &catalog.Engine{Slots: 32, MemoryTokens: 300_000}}
				p := b.Place(table.View().Endpoints("llm"), &balance.Demand{Service: service, Objective: time.Second, Prompt: 1000, Output: 10})
				chosen := heapBytes()
				p.Done(balance.Served)
				bench.ReportMetric(float64(listed-before)/1e6, "listed-MB")
				bench.ReportMetric(float64(chosen-listed)/1e6, "chosen-MB")
				runtime.KeepAlive(table)
				runtime.KeepAlive(b)
			}
		})
	}
}

func decodeUpdate(data []byte) *discovery.Update {
	u := new(discovery.Update)
	_ = json.Unmarshal(data, u)
	return u
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
