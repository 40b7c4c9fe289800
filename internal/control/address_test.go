package control

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// Guards against the rest of a path that is taken for the ID of a job, and against jobs of queues that lie beside or
// below each other.
func TestAddressNamesJobOnlyBehindPrefixOfItsQueue(t *testing.T) {
	const id = "5c0e7a21d94b36f8"
	document := &workflow.Document{Queues: []workflow.Queue{
		{Name: "desk", Host: "h", Prefix: "/desk/"}, {Name: "digits", Host: "h", Prefix: "/desk/" + id}, {Name: "bare", Host: "h", Prefix: "/ab"},
	}}
	for _, test := range []struct {
		path, id      string
		queue, wantID string
	}{
		{path: "/desk/", queue: "desk"},
		{path: "/desk/0c0e7a21d94b36f8", id: "0c0e7a21d94b36f8", queue: "desk", wantID: "0c0e7a21d94b36f8"},
		{path: "/desk/night/" + id, id: id},
		{path: "/desk/night/"},
		{path: "/desk/0" + id, id: id},
		{path: "/ab", queue: "bare"},
		{path: "/ab" + id, id: id, queue: "bare", wantID: id},
		{path: "/a" + id, id: id},
		{path: "/desk/" + id, id: id, queue: "digits"},
		{path: "/desk/" + id + id, id: id, queue: "digits", wantID: id},
	} {
		address := JobAddress{Host: "h", Path: test.path, ID: test.id}
		queue, found := address.find(document)
		name := ""
		if queue != nil {
			name = queue.Name
		}
		must.Eq(t, test.queue, name, must.Sprint(test.path))
		must.Eq(t, test.wantID, found, must.Sprint(test.path))
	}
}
