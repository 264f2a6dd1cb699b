package quarantine

// Sources of marks that a node has not received from another one.
const (
	// SourceOwn: the instance beside the node crashed.
	SourceOwn = "own-instance"
	// SourceServed: the instance beside the node served the request.
	SourceServed = "served"
	// SourceOperator: an operator lifted the quarantine.
	SourceOperator = "operator"
)
