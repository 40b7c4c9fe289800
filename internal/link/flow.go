package link

import (
	"context"
	"net/http"
	"strconv"
)

// flowHeader is the request header with the flow of a call, in hexadecimal. A gate needs the flow before the body
// of the request is read.
const flowHeader = "Bilberry-Flow"

// flowKey is the context key of the flow of calls.
type flowKey struct{}

// WithFlow returns a context with which calls carry a flow: a number that stands for the caller on whose behalf
// they are made. Calls of flow 0 carry none.
func WithFlow(ctx context.Context, flow uint64) context.Context {
	return context.WithValue(ctx, flowKey{}, flow)
}

// setRequestFlow sets the header of a request to the flow of its context.
func setRequestFlow(r *http.Request) {
	if flow, _ := r.Context().Value(flowKey{}).(uint64); flow != 0 {
		r.Header.Set(flowHeader, strconv.FormatUint(flow, 16))
	}
}

// requestFlow returns the flow that the header of a request carries, 0 for none or an invalid one.
func requestFlow(r *http.Request) uint64 {
	flow, err := strconv.ParseUint(r.Header.Get(flowHeader), 16, 64)
	if err != nil {
		return 0
	}
	return flow
}
