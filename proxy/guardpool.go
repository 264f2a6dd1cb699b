package proxy

import (
	"sync/atomic"

	"github.com/alitto/pond/v2"

	"github.com/toucancove/toucancove/core/admission"
)

// initialWorkers is the number of workers until admission control has a limit.
const initialWorkers = 1024

// exchangePool runs the exchanges with an upstream on a pool of workers, as
// many as the limit of admission control. It is safe for concurrent use.
type exchangePool struct {
	pool pond.Pool
	size atomic.Int64
}

func newExchangePool() *exchangePool {
	return &exchangePool{pool: pond.NewPool(initialWorkers)}
}

// resize sets the number of workers to the limit of admission control. There is
// a worker for each admitted request, also after the limit was lowered, because
// the pool's own queue ignores classes. A hint without a limit changes nothing.
func (p *exchangePool) resize(hint admission.Hint) {
	size := max(hint.Limit, hint.InFlight)
	if hint.Limit <= 0 || p.size.Swap(int64(size)) == int64(size) {
		return
	}
	p.pool.Resize(size)
}

// exchange runs do on a worker and waits for it. A panic in do is returned as
// an error.
func (p *exchangePool) exchange(do func() (*Exchange, error)) (*Exchange, error) {
	var result *Exchange
	err := p.pool.SubmitErr(func() (err error) {
		result, err = do()
		return err
	}).Wait()
	return result, err
}
