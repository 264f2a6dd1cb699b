package policybench

const (
	// rootRetries is the number of retries of a root request in its whole call
	// chain.
	rootRetries = 2
	// retryShare is the number of tokens that each success at a hop adds.
	retryShare = 0.1
	// maxRetryTokens bounds the tokens of a hop; one retry takes one token.
	maxRetryTokens = 10
)

// retryBudget is a simplified retry budget: a token bucket at each hop that
// successes fill, and a number of retries for each root request. The rules that
// nodes apply are in core/retry.
type retryBudget struct {
	tokens float64
}

func (b *retryBudget) succeeded() {
	b.tokens = min(maxRetryTokens, b.tokens+retryShare)
}

// spend takes one retry from the hop's budget and from the root request's, and
// reports whether both have one left.
func (b *retryBudget) spend(rt *root) bool {
	if rt.retries == 0 || b.tokens < 1 {
		return false
	}
	rt.retries--
	b.tokens--
	return true
}
