// Package admission implements admission control: it decides which requests may run and in what order, and
// refuses at once those that cannot meet their deadline.
//
// Priority classes are served in the order Schedule, Interactive, Batch. A lower class whose oldest request
// has waited for a while gets a small fraction of the service, so that it does not starve. Within a class,
// workspaces share by weight (start-time fair queueing): a workspace that asks for more than its share
// delays only itself. Idle workspaces take no memory.
//
// Queue is a state machine and is not safe for concurrent use. Controller wraps it with a lock and blocks the goroutines
// that serve requests.
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
