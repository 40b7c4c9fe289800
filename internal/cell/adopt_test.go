package cell

import (
	"testing"

	"github.com/shoenig/test/must"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
)

// An idle deployment with a hundred customers sends several kilobytes a second
// between its instances. Each instance asks for a newer configuration, the call
// is held until its time is over, and the answer carries the whole document that
// the asker has already.
func TestUnchangedConfigOmitsDocument(t *testing.T) {
	config := &apiv1.Config{Version: 7, Document: "document", Author: "operator", AcceptedUnixMs: 1}
	must.True(t, config == omitUnchanged(config, 6))
	same := omitUnchanged(config, 7)
	must.Eq(t, 7, same.Version)
	must.Eq(t, "", same.Document)
	must.Eq(t, 7, omitUnchanged(config, 8).Version)
}
