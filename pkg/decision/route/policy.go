package route

// Policy is the rule by which a target is chosen within a group.
type Policy string

const (
	// EstimatedFinish compares the estimated finish times of two random targets and the prefix holder.
	EstimatedFinish Policy = "EstimatedFinish"
	// Random takes any target of the group.
	Random Policy = "Random"
	// RoundRobin takes the targets of the group in turn.
	RoundRobin Policy = "RoundRobin"
	// LeastOutstanding takes the target to which this instance has the least work outstanding. It
	// looks at every target of the group and exists for comparison.
	LeastOutstanding Policy = "LeastOutstanding"
)

// Option changes a Picker.
type Option func(*Picker)

// WithPolicy selects the rule of choice. The default is EstimatedFinish.
func WithPolicy(p Policy) Option {
	return func(picker *Picker) { picker.policy = p }
}
