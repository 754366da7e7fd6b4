// Package losses reports how much goodput clients lost, by cause, from the logs of instances.
//
// Instances write one log line for each request when the request ends. A request that was served within its latency
// goals earns a credit of 1, a request that was served late 0.5, and any other request 0. The lost credit of a request
// is attributed to one cause. The causes distinguish refusals for lack of capacity from refusals for lack of a target,
// and stalls after the failure of a target from stalls of a busy target, since different decisions remedy them. Unlike
// in the users' own figures, all requests have the same weight.
//
// Usage:
//
//	r := losses.New()
//	err := r.Read(file)
//	err = r.WriteTable(os.Stdout)
package losses
