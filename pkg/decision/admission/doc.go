// Package admission implements admission control: it decides which requests may run and in what order, and
// refuses those that cannot meet their deadline without queueing them.
//
// The cost of a request is its estimated number of tokens. The capacity is the total cost that may run concurrently.
//
// Priority classes are served in the order Schedule, Interactive, Batch. A lower class whose oldest request
// has waited for a while gets a small fraction of the service, so that it does not starve. Within a class,
// the workspaces with queued requests share the service in proportion to their weights (start-time fair queueing):
// a workspace that asks for more than its share delays only itself. A workspace without requests takes no memory
// once its past use no longer affects its share.
//
// Virtual time measures the service of a class in cost per unit of weight. Each admitted request advances the virtual
// start time of its workspace by the request's cost divided by the weight, and the workspace with the earliest virtual
// start time is served next.
//
// Queue is a state machine and is not safe for concurrent use. Controller guards a Queue with a lock and blocks the
// goroutines that serve requests.
//
// Usage:
//
//	controller := admission.NewController(admission.New(), time.Now)
//	controller.SetCapacity(now, 4000)
//	release, err := controller.Acquire(ctx, admission.Request{ID: id, Workspace: "w", Weight: 1, Cost: 200})
//	if err != nil { ... }
//	defer release()
//
// Controller.Tick must be called about every 50 ms. It refuses requests whose deadline can no longer be met.
package admission
