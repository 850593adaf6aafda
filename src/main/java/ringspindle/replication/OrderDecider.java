package ringspindle.replication;

import ringspindle.api.Outcome;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.State;

/** Decides orders at the head of the chain: a function of the state and the order. */
final class OrderDecider {
    private final ConfigurationOrders configurations = new ConfigurationOrders();

    /** What the order comes to on that state; readings are not decided here. */
    Decision decide(State state, Call order) {
        return switch (CallKind.of(order.kind())) {
            case PUT -> configurations.put(state, order);
            case PATCH -> configurations.patch(state, order);
            case RULES -> configurations.rules(state, order);
            case EVACUATE -> evacuation(state, order, true);
            case RESTORE -> evacuation(state, order, false);
            case DRAIN, GONE -> leaving(state, order);
            case ROLLOUT -> RolloutOrders.decide(state, order);
            case EXPERIMENT -> ExperimentOrders.decide(state, order);
            case SHARD -> ShardOrders.decideAssignment(state, order);
            case RETIRE -> ShardOrders.decideRetirement(state, order);
            case METER -> MeteredWindow.decide(state, order);
            case VERSION -> VersionRollout.decide(state, order);
            case READ, UNKNOWN -> Decision.answer(Outcome.NO_SUCH);
        };
    }

    /** Written also if it is so already: the newer mark fences an opposite order that is still on its way. */
    private static Decision evacuation(State state, Call order, boolean evacuates) {
        Mark mark = ControlState.mark(state, MarkKind.EVACUATED, order.arg());
        boolean evacuated = mark != null && mark.value().equals(ControlState.ON);
        return evacuated != evacuates && overtaken(order, mark)
                ? Decision.answer(Outcome.UNCLEAR)
                : Decision.commit(order, order.body());
    }

    private static Decision leaving(State state, Call order) {
        Mark mark = ControlState.mark(state, MarkKind.LEAVING, order.arg());
        boolean alreadySo =
                mark != null && (mark.value().equals(ControlState.GONE) || CallKind.of(order.kind()) == CallKind.DRAIN);
        return alreadySo ? Decision.answer(Outcome.TAKEN) : Decision.commit(order, order.body());
    }

    /** True if what the order would replace is newer than what was known when it was taken: it was held up on its way. */
    static boolean overtaken(Call order, Mark replaced) {
        return replaced != null && replaced.version() > order.base();
    }
}
