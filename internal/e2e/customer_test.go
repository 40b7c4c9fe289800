package e2e

import (
	"context"
	"net/http"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/settings"
)

const (
	// callTimeout bounds one call of the RPC service Scheduler other than Home.
	callTimeout = 5 * time.Second
	// homeTimeout bounds one call of Home.
	homeTimeout = time.Second
	// partitionInterval is the duration of each partition, and of the pause between two
	// partitions.
	partitionInterval = 150 * time.Millisecond
)

// customerClient calls the system with the token of one customer.
type customerClient struct {
	cluster *cluster
	ctx     context.Context
	token   string
	// schedulers holds one client for each entry instance that may be called.
	schedulers []apiv1.Scheduler
	client     *http.Client
}

// customer returns a client of the customer at an index of the settings.
func (c *cluster) customer(index int) *customerClient {
	token, err := settings.ReadToken(c.deployment.Settings.Tokens.Customers[index].File)
	must.NoError(c.t, err)
	ctx, err := rpc.WithBearer(c.ctx, "Bearer "+token)
	must.NoError(c.t, err)
	cc := &customerClient{cluster: c, ctx: ctx, token: token, client: rpc.NewClient(nil)}
	for _, address := range c.deployment.Entries() {
		cc.schedulers = append(cc.schedulers, apiv1.NewSchedulerProtobufClient("http://"+address, cc.client))
	}
	return cc
}

// inDataCentre returns a copy of the client that calls the entry instances of one data
// centre only.
func (cc *customerClient) inDataCentre(dataCentre string) *customerClient {
	restricted := *cc
	restricted.schedulers = nil
	for _, instance := range cc.cluster.deployment.Settings.InDataCentre(dataCentre) {
		restricted.schedulers = append(restricted.schedulers, apiv1.NewSchedulerProtobufClient("http://"+instance.Entry, cc.client))
	}
	return &restricted
}

// operatorClients returns a context with the operator's token and one client for each
// entry instance.
func (c *cluster) operatorClients() (context.Context, []apiv1.Operations) {
	ctx, err := rpc.WithBearer(c.ctx, "Bearer "+c.deployment.Tokens.Token(settings.Operator))
	must.NoError(c.t, err)
	client := rpc.NewClient(nil)
	var operations []apiv1.Operations
	for _, address := range c.deployment.Entries() {
		operations = append(operations, apiv1.NewOperationsProtobufClient("http://"+address, client))
	}
	return ctx, operations
}

// awaitService waits until a request to a service succeeds through every entry instance.
func (cc *customerClient) awaitService(service string) {
	cc.cluster.t.Helper()
	for _, address := range cc.cluster.deployment.Entries() {
		cc.cluster.eventually("requests through "+address, func() bool {
			request, err := http.NewRequestWithContext(cc.cluster.ctx, http.MethodGet, "http://"+address+"/s/"+service+"/", nil)
			must.NoError(cc.cluster.t, err)
			request.Header.Set("Authorization", "Bearer "+cc.token)
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				return false
			}
			defer response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
	}
}

// partitionTick returns a channel that fires once, after partitionInterval.
func (c *cluster) partitionTick() <-chan time.Time { return time.After(partitionInterval) }

// requestHome returns the home of a submission, the data centre that stores its request id:
// the data centre in the spec, or else the one that an entry instance names.
func (cc *customerClient) requestHome(spec *apiv1.Spec) string {
	cc.cluster.t.Helper()
	if spec.DataCentre != "" {
		return spec.DataCentre
	}
	var home string
	i := 0
	cc.cluster.eventually("an entry instance names a home", func() bool {
		ctx, cancel := context.WithTimeout(cc.ctx, homeTimeout)
		defer cancel()
		response, err := cc.schedulers[i%len(cc.schedulers)].Home(ctx, &apiv1.HomeRequest{})
		i++
		home = response.GetDataCentre()
		return err == nil
	})
	return home
}

// trySubmit retries a submission with the same request id over all entry instances until
// the submission is accepted or refused. If it is refused, the error is the refusal.
func (cc *customerClient) trySubmit(requestID string, spec *apiv1.Spec) (*apiv1.SubmitResponse, error) {
	cc.cluster.t.Helper()
	var response *apiv1.SubmitResponse
	var err error
	home := cc.requestHome(spec)
	i := 0
	cc.cluster.eventually("submission "+requestID+" gets a response", func() bool {
		ctx, cancel := context.WithTimeout(cc.ctx, callTimeout)
		defer cancel()
		request := &apiv1.SubmitRequest{RequestId: requestID, Spec: spec, Home: home}
		response, err = cc.schedulers[i%len(cc.schedulers)].Submit(ctx, request)
		i++
		return !fault.Is(err, fault.Unavailable)
	})
	return response, err
}

// submit retries a submission with the same request id over all entry instances, as
// customers should, until the submission is accepted.
func (cc *customerClient) submit(requestID string, spec *apiv1.Spec) *apiv1.SubmitResponse {
	cc.cluster.t.Helper()
	var response *apiv1.SubmitResponse
	home := cc.requestHome(spec)
	i := 0
	cc.cluster.eventually("submission "+requestID+" gets a response", func() bool {
		ctx, cancel := context.WithTimeout(cc.ctx, callTimeout)
		defer cancel()
		var err error
		request := &apiv1.SubmitRequest{RequestId: requestID, Spec: spec, Home: home}
		response, err = cc.schedulers[i%len(cc.schedulers)].Submit(ctx, request)
		i++
		return err == nil
	})
	return response
}

// status returns the status of a job with its tasks. It retries over all entry instances.
func (cc *customerClient) status(id string) *apiv1.Job {
	cc.cluster.t.Helper()
	var job *apiv1.Job
	i := 0
	cc.cluster.eventually("status of "+id, func() bool {
		ctx, cancel := context.WithTimeout(cc.ctx, callTimeout)
		defer cancel()
		response, err := cc.schedulers[i%len(cc.schedulers)].Status(ctx, &apiv1.StatusRequest{Id: id, WithTasks: true})
		i++
		if err != nil {
			return false
		}
		job = response.Jobs[0]
		return true
	})
	return job
}

// awaitEnd waits until a job has ended and returns its final status.
func (cc *customerClient) awaitEnd(id string) *apiv1.Job {
	cc.cluster.t.Helper()
	var job *apiv1.Job
	cc.cluster.eventually("end of "+id, func() bool {
		job = cc.status(id)
		return job.State >= apiv1.JobState_JOB_STATE_FINISHED
	})
	return job
}

// batchSpec returns the spec of a batch job whose tasks declare a run time in milliseconds. The
// job's deadline is in one minute. The payload of a non-idempotent job makes the stand-ins'
// ledger record a second start of a task as a violation.
func batchSpec(name string, tasks int, milliseconds int64, idempotent bool) *apiv1.Spec {
	spec := &apiv1.Spec{
		Name: name, Policy: apiv1.Policy_POLICY_BATCH, Tasks: int32(tasks), Idempotent: idempotent,
		Need: &apiv1.Resources{CpuMilli: 500, MemoryMib: 512}, RuntimeMs: milliseconds,
		DeadlineUnixMs: time.Now().Add(time.Minute).UnixMilli(),
	}
	if !idempotent {
		spec.Payload = []byte(`{"once": true}`)
	}
	return spec
}
