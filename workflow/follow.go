package workflow

// follow sets the parts of the policy of an accepted job that follow the policy of its queue: the workers
// that run the tasks, the order of the queues, and the adviser. What the caller was promised when the job
// was accepted stays: the attempts and the objective.
//
// Apply must not read the parts that follow. A member that restored a snapshot of an earlier version of
// the program may have others for a job whose queue is no longer there.
func (p *Policy) follow(queue *Policy) {
	p.Service, p.Priority, p.Advice = queue.Service, queue.Priority, queue.Advice
}

// isFollowedAlike reports whether two policies of a queue agree in the parts that its jobs follow.
func (p *Policy) isFollowedAlike(other *Policy) bool {
	return p.Service == other.Service && p.Priority == other.Priority && equalAdvice(p.Advice, other.Advice)
}

// equalAdvice reports whether two policies describe the same adviser, or none.
func equalAdvice(a, b *AdvicePolicy) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// followQueue makes a job follow the policy of its queue. A job whose queue isn't there keeps the last
// policy that was in force.
func (s *State) followQueue(job *Job) {
	if queue := s.queues[job.Queue]; queue != nil {
		job.Policy.follow(&queue.Policy)
	}
}

// followChangedQueues makes the open jobs of the queues that differ from previous, or were not there,
// follow them.
//
// A job that kept the service of its acceptance would wait for workers that its queue has left.
func (s *State) followChangedQueues(previous map[string]*Queue) {
	for identity, jobs := range s.openJobsByQueue {
		queue, before := s.queues[identity], previous[identity]
		if queue == nil || before != nil && before.Policy.isFollowedAlike(&queue.Policy) {
			continue
		}
		for _, job := range jobs {
			job.Policy.follow(&queue.Policy)
		}
	}
}
