package cell

import (
	"testing"

	"github.com/shoenig/test/must"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
)

// Guards against needless traffic in an idle deployment, several kilobytes a second with
// a hundred customers: each instance polls for a newer configuration, and the response at
// the end of a long poll carries the whole document that the caller already has.
func TestUnchangedConfigOmitsDocument(t *testing.T) {
	config := &apiv1.Config{Version: 7, Document: "document", Author: "operator", AcceptedUnixMs: 1}
	must.True(t, config == omitUnchanged(config, 6))
	unchanged := omitUnchanged(config, 7)
	must.Eq(t, 7, unchanged.Version)
	must.Eq(t, "", unchanged.Document)
	must.Eq(t, 7, omitUnchanged(config, 8).Version)
}
