package ringspindle.controlplane;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import ringspindle.controlplane.fleet.FleetState;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.State;
import ringspindle.replication.MarkKind;

/**
 * Turns committed state into facts and has them spread. The lock of the {@link ReplicationDriver} is held when a state is
 * announced, so merging is left to a thread of the pool; states may then be merged in any order, as the newer fact wins.
 */
final class CommittedFacts implements ReplicationDriver.CommitListener {
    private static final byte[] NO_VALUE = {};

    private final Executor pool;
    private final FleetState fleet;
    private final ServingState serving;
    /** Written with the replication lock held. */
    private volatile State newest;
    /** The sequence number of the newest state whose facts are merged; guarded by the fleet's lock. */
    private long mergedSequence = -1;

    CommittedFacts(Executor pool, FleetState fleet, ServingState serving) {
        this.pool = pool;
        this.fleet = fleet;
        this.serving = serving;
    }

    @Override
    public void committed(State state) {
        newest = state;
        pool.execute(() -> merge(state));
    }

    private void merge(State state) {
        List<Fact> facts = facts(state);
        synchronized (fleet.lock) {
            fleet.facts().merge(facts);
            mergedSequence = Math.max(mergedSequence, state.seq());
            spread();
        }
    }

    /** Passes on to peers what they have not been sent; the fleet's lock is held. */
    void spread() {
        State state = newest;
        fleet.dissemination().push(serving.quorate(), state == null || mergedSequence >= state.seq());
    }

    private static List<Fact> facts(State state) {
        List<Fact> facts = new ArrayList<>();
        if (state.config().length > 0) {
            facts.add(new Fact(FactKind.CONFIG, "", 0, state.revision(), state.config()));
        }
        for (Mark mark : state.marks()) {
            if (MarkKind.METERING.matches(mark)) {
                // of use to the head alone, which has the state
                continue;
            }
            facts.add(new Fact(
                    factKind(mark), mark.key(), 0, mark.version(), mark.value().getBytes(UTF_8)));
        }
        // behind all others: whoever holds it holds these
        facts.add(new Fact(FactKind.COMMITTED, "", 0, state.seq(), NO_VALUE));
        return facts;
    }

    private static FactKind factKind(Mark mark) {
        return switch (MarkKind.of(mark)) {
            case EVACUATED -> FactKind.EVACUATED;
            case LEAVING -> FactKind.LEAVING;
            case RULES -> FactKind.RULES;
            case EXPERIMENT -> FactKind.EXPERIMENT;
            case SHARD -> FactKind.SHARD;
            case RETIREMENT -> FactKind.RETIREMENT;
            case VERSION -> FactKind.VERSION;
            default -> FactKind.ROLLOUT;
        };
    }
}
