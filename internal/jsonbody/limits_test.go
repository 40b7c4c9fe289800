package jsonbody

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/fault"
)

// Guards against a document of legal size that takes many times its size in memory: deeply nested, or of very many
// empty values.
func TestDocumentsThatTakeManyTimesTheirSizeAreRejected(t *testing.T) {
	for _, body := range []string{
		strings.Repeat(`{"":`, 50_000), strings.Repeat(`[`, 50_000),
		`{"steps":[{}` + strings.Repeat(`,{}`, 50_000) + `]}`, `[0` + strings.Repeat(`,0`, 50_000) + `]`,
		`{"steps":[{}` + strings.Repeat(`,{}   `, 40_000) + `]}`, `{"routes":[{}` + strings.Repeat(`,{}`+strings.Repeat(" ", 37), 20_000) + `]}`,
	} {
		var v any
		_, err := Decode(strings.NewReader(body), 1<<20, &v)
		must.Eq(t, fault.Invalid, fault.KindOf(err))
	}
}

// Guards against ordinary documents that are rejected as too large in memory.
func TestOrdinaryDocumentsAreAccepted(t *testing.T) {
	step := `{"count":4,"cores":500,"memory":256,"estimate":900,"after":[0,1]}`
	shortStep := `{"count":1}`
	service := `{"name":"p"}`
	route := `{"name":"a","host":"q.example","prefix":"/a/","timeout":3000,"objective":250,"service":"p","attempts":3}`
	row := `[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]`
	for _, body := range []string{
		`{"finished":[` + row + strings.Repeat(`,`+row, 5000) + `]}`,
		`{"spec":"a","steps":[` + step + strings.Repeat(`,`+step, 3000) + `]}`,
		`{"spec":"a","steps":[` + shortStep + strings.Repeat(`,`+shortStep, 999) + `]}`,
		`{"routes":[` + route + strings.Repeat(`,`+route, 8000) + `],"services":[` + service + strings.Repeat(`,`+service, 1000) + `]}`,
		`[` + strings.Repeat(`[`, 20) + strings.Repeat(`]`, 20) + `]`, `{}`, `[]`, `0`,
	} {
		var v any
		_, err := Decode(strings.NewReader(body), 1<<20, &v)
		must.NoError(t, err)
	}
}
