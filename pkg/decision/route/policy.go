package route

// Policy is the rule that chooses a target within a group.
type Policy string

const (
	// EstimatedFinish compares the estimated finish times of two random targets and the prefix holder.
	EstimatedFinish Policy = "EstimatedFinish"
	// Random chooses a random target of the group.
	Random Policy = "Random"
	// RoundRobin chooses the targets of the group in turn.
	RoundRobin Policy = "RoundRobin"
	// LeastOutstanding chooses the target with the least outstanding work of this instance. This policy visits every
	// target of the group and exists for comparison.
	LeastOutstanding Policy = "LeastOutstanding"
)

// Option configures a Picker.
type Option func(*Picker)

// WithPolicy selects the policy. The default is EstimatedFinish.
func WithPolicy(p Policy) Option {
	return func(picker *Picker) { picker.policy = p }
}
