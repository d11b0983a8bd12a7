package proxy

import (
	"context"
	"errors"
	"io"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/wire"
)

// reservationReplyMargin is how long the agent's reply is awaited after a reservation request has
// expired, that is, after its PatienceMicros.
const reservationReplyMargin = 100 * time.Millisecond

// reserve asks the agent of an engine for a reservation, which lasts as long as the stream to
// the agent is open. If it is granted, release ends it and tells the agent whether the answer
// was complete; the end of ctx no longer does, since it would close the connection, which
// others use next.
func (p *Proxy) reserve(ctx context.Context, sub *subscription, q *wire.HoldRequest) (r *wire.HoldReply, release func(complete bool), err error) {
	defer fault.Annotate(&err, "reserve at %s", sub.manager.process)
	request := ctx
	ctx, cancel := context.WithCancel(context.WithoutCancel(request))
	detach := context.AfterFunc(request, cancel)
	timer := time.AfterFunc(micros(q.PatienceMicros)+reservationReplyMargin, cancel)
	c, free, err := p.links.Get(ctx, sub.manager.address)
	if err != nil {
		cancel()
		return nil, nil, err
	}
	finish := func(reusable bool) {
		cancel()
		free(reusable)
	}
	s, err := wire.NewDRPCMeshClient(c).Hold(ctx)
	if err != nil {
		finish(false)
		return nil, nil, err
	}
	if err := s.Send(q); err != nil {
		finish(false)
		return nil, nil, err
	}
	r, err = s.Recv()
	if err != nil {
		finish(false)
		return nil, nil, err
	}
	timer.Stop()
	detach()
	release = func(complete bool) { p.tasks.Go(func() { finish(closeReservation(s, complete)) }) }
	if !r.Granted {
		release(false)
	}
	return r, release, nil
}

// closeReservation closes the stream of a reservation, after telling the agent if the answer was
// complete. It reports whether the agent confirmed the close, so that the connection can be reused.
func closeReservation(s wire.DRPCMesh_HoldClient, complete bool) bool {
	if complete {
		if err := s.Send(&wire.HoldRequest{Whole: true}); err != nil {
			return false
		}
	}
	if err := s.CloseSend(); err != nil {
		return false
	}
	t := time.AfterFunc(time.Second, func() { _ = s.Close() })
	defer t.Stop()
	_, err := s.Recv()
	return errors.Is(err, io.EOF) && t.Stop()
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
