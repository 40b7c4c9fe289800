package e2e

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/settings"
)

// submitPath is the path of the RPC Submit of the service Scheduler.
const submitPath = "/twirp/bilberry.v1.Scheduler/Submit"

// oversizedBodyBytes is more than the default limit of a request body, 1 MiB.
const oversizedBodyBytes = 2 << 20

// TestInvalidInputIsRejected guards against invalid requests that are accepted or whose
// error doesn't name the invalid field or has the wrong kind, and against customers that
// see or cancel jobs of another customer.
func TestInvalidInputIsRejected(t *testing.T) {
	c := newCluster(t, "rackwise", oneDataCentre)
	c.workers(2)
	customer, otherCustomer := c.customer(0), c.customer(1)
	accepted := customer.submit("known", batchSpec("reports", 1, 50, true))

	pastDeadline := batchSpec("reports", 1, 50, true)
	pastDeadline.DeadlineUnixMs = 1
	_, err := customer.trySubmit("past", pastDeadline)
	must.Eq(t, "deadline_unix_ms", fault.From(err).Field)
	negativeCPU := batchSpec("reports", 1, 50, true)
	negativeCPU.Need.CpuMilli = -5
	_, err = customer.trySubmit("negative", negativeCPU)
	must.Eq(t, "need.cpu_milli", fault.From(err).Field)
	unknownDataCentre := batchSpec("reports", 1, 50, true)
	unknownDataCentre.DataCentre = "atlantis"
	_, err = customer.trySubmit("nowhere", unknownDataCentre)
	must.Eq(t, "data_centre", fault.From(err).Field)
	_, err = customer.trySubmit("known", batchSpec("other", 1, 50, true))
	must.True(t, fault.Is(err, fault.Conflict), must.Sprint(err))

	for _, id := range []string{accepted.Id, "naas-hall.999", "nonsense", ""} {
		_, err = otherCustomer.schedulers[0].Explain(otherCustomer.ctx, &apiv1.ExplainRequest{Id: id})
		must.True(t, fault.Is(err, fault.NotFound), must.Sprint(id, err))
		_, err = otherCustomer.schedulers[0].Cancel(otherCustomer.ctx, &apiv1.CancelRequest{RequestId: "c" + id, Ids: []string{id}})
		must.True(t, fault.Is(err, fault.NotFound), must.Sprint(id, err))
	}
	response, err := otherCustomer.schedulers[0].Status(otherCustomer.ctx, &apiv1.StatusRequest{IncludeEnded: true})
	must.NoError(t, err)
	must.SliceEmpty(t, response.Jobs)
	response, err = customer.schedulers[0].Status(customer.ctx, &apiv1.StatusRequest{IncludeEnded: true})
	must.NoError(t, err)
	must.Len(t, 1, response.Jobs)

	wrongTokenCtx, err := rpc.WithBearer(c.ctx, "Bearer wrong")
	must.NoError(t, err)
	_, err = customer.schedulers[0].Status(wrongTokenCtx, &apiv1.StatusRequest{})
	must.True(t, fault.Is(err, fault.Denied), must.Sprint(err))
	workerCtx, err := rpc.WithBearer(c.ctx, "Bearer "+c.deployment.Tokens.Token(settings.Worker))
	must.NoError(t, err)
	_, err = customer.schedulers[0].Submit(workerCtx, &apiv1.SubmitRequest{RequestId: "w", Spec: batchSpec("reports", 1, 50, true)})
	must.True(t, fault.Is(err, fault.Denied), must.Sprint(err))
	must.Eq(t, http.StatusBadRequest, customer.post(submitPath, []byte("\xff\xff not protobuf")))
	must.Eq(t, http.StatusBadRequest, customer.post(submitPath, bytes.Repeat([]byte{0x0a}, oversizedBodyBytes)))
	must.Eq(t, http.StatusNotFound, customer.post("/twirp/bilberry.v1.Scheduler/Nothing", nil))
}

// post sends a raw body to an RPC path and returns the HTTP status.
func (cc *customerClient) post(path string, body []byte) int {
	request, err := http.NewRequestWithContext(cc.cluster.ctx, http.MethodPost, "http://"+cc.cluster.deployment.Entries()[0]+path, bytes.NewReader(body))
	must.NoError(cc.cluster.t, err)
	request.Header.Set("Authorization", "Bearer "+cc.token)
	request.Header.Set("Content-Type", "application/protobuf")
	response, err := http.DefaultClient.Do(request)
	must.NoError(cc.cluster.t, err)
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}
