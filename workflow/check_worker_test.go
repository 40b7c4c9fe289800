package workflow

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against the announcement of a worker that the state, its sums or the messages about it can't hold.
func TestInvalidAnnouncementsOfWorkersAreRejected(t *testing.T) {
	valid := Worker{ID: "i-1", Name: "i-1", Service: "s", Address: "127.0.0.1:80", DataCentre: "z", Labels: []string{"a"}, Capacity: Resources{MilliCPU: 1000}}
	must.Nil(t, CheckWorker(&valid))
	for name, change := range map[string]func(*Worker){
		"no ID":                    func(w *Worker) { w.ID = "" },
		"ID that isn't UTF-8":      func(w *Worker) { w.ID = "i-\xff" },
		"long name":                func(w *Worker) { w.Name = strings.Repeat("n", MaxWorkerTextBytes+1) },
		"service that isn't UTF-8": func(w *Worker) { w.Service = "\xc3\x28" },
		"label that isn't UTF-8":   func(w *Worker) { w.Labels = []string{"\xfe"} },
		"too many labels":          func(w *Worker) { w.Labels = make([]string, MaxWorkerLabels+1) },
		"negative capacity":        func(w *Worker) { w.Capacity.MemoryMB = -1 },
		"capacity beyond all sums": func(w *Worker) { w.Capacity.MilliCPU = 1 << 62 },
	} {
		worker := valid
		change(&worker)
		must.NotNil(t, CheckWorker(&worker), must.Sprint(name))
	}
}
