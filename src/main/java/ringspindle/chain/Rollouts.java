package ringspindle.chain;

import ringspindle.api.*;
import ringspindle.wire.Msg.*;

/** Roll-outs of a checkpoint in the control state; refused until the order is known. */
final class Rollouts {
    private Rollouts() {
    }

    static Content.Decision decide(State s, Call c) {
        return Content.outcome(Outcome.NO_SUCH);
    }
}
