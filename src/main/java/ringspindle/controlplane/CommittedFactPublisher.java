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
 * Converts committed state to facts and disseminates them. {@link #committed} is called with the lock of the {@link
 * ReplicationDriver} held, so a pool thread does the merging. States may be merged in any order because the newer
 * version of a fact wins.
 */
final class CommittedFactPublisher implements ReplicationDriver.CommitListener {
    private static final byte[] EMPTY_VALUE = {};

    private final Executor pool;
    private final FleetState fleet;
    private final ServingState serving;
    /** The latest committed state; written with the lock of the {@link ReplicationDriver} held. */
    private volatile State latestState;
    /** Sequence number of the latest state whose facts have been merged; guarded by the fleet lock. */
    private long mergedSequence = -1;

    CommittedFactPublisher(Executor pool, FleetState fleet, ServingState serving) {
        this.pool = pool;
        this.fleet = fleet;
        this.serving = serving;
    }

    @Override
    public void committed(State state) {
        latestState = state;
        pool.execute(() -> merge(state));
    }

    private void merge(State state) {
        List<Fact> facts = facts(state);
        synchronized (fleet.lock) {
            fleet.facts().merge(facts);
            mergedSequence = Math.max(mergedSequence, state.seq());
            disseminate();
        }
    }

    /** Sends peers the facts that they have not been sent yet. The caller holds the fleet lock. */
    void disseminate() {
        State state = latestState;
        fleet.dissemination().push(serving.quorate(), state == null || mergedSequence >= state.seq());
    }

    private static List<Fact> facts(State state) {
        List<Fact> facts = new ArrayList<>();
        if (state.config().length > 0) {
            facts.add(new Fact(FactKind.CONFIG, "", 0, state.revision(), state.config()));
        }
        for (Mark mark : state.marks()) {
            if (MarkKind.METERING.matches(mark)) {
                // only the head uses these, and it reads them from the committed state
                continue;
            }
            facts.add(new Fact(
                    factKind(mark), mark.key(), 0, mark.version(), mark.value().getBytes(UTF_8)));
        }
        // last: a node that holds this fact also holds all facts before it
        facts.add(new Fact(FactKind.COMMITTED, "", 0, state.seq(), EMPTY_VALUE));
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
