package ringspindle.controlplane;

import ringspindle.time.MonotonicClock;

/**
 * Whether this node may serve, and what it still waits for. Thread safe: the tick writes, all threads read, no lock is
 * taken. What is known counts only as long as the quorum is proven, so a thread that runs before the first tick after a
 * pause sees at once that it has run out.
 */
public final class ServingState {
    /** What a control node waits for before it serves; operators read these names. */
    public enum Prerequisite {
        NOTHING,
        RELEARNING,
        MAJORITY,
        FOUNDING,
        VIEW
    }

    /** Where a node is between its start and its end. */
    private enum Lifecycle {
        RUNNING,
        LEAVING
    }

    private final MonotonicClock clock;
    private final QuorumTracker quorum;
    private volatile Lifecycle lifecycle = Lifecycle.RUNNING;
    /** As of the last tick; counts only together with the quorum. */
    private volatile boolean hearsCommits;

    ServingState(MonotonicClock clock, QuorumTracker quorum) {
        this.clock = clock;
        this.quorum = quorum;
    }

    /** Called by the tick: whether the replicated state hears of all that is committed. */
    void hearsCommits(boolean hears) {
        hearsCommits = hears;
    }

    /** From now on this node says that it leaves. */
    void leave() {
        lifecycle = Lifecycle.LEAVING;
    }

    /** True once this node was told to end. */
    boolean leaving() {
        return lifecycle == Lifecycle.LEAVING;
    }

    /** True while this node is proven to hear of all that is committed, and does not leave. */
    public boolean quorate() {
        return hearsCommits && !leaving() && quorum.upToDate(clock.nowMs());
    }

    /** True while a majority is proven to be in touch: calls are passed on. */
    public boolean majorityReachable() {
        return quorum.majorityReachable(clock.nowMs());
    }

    /** True while a majority is proven to know of no newer view: facts of this node may be handed out. */
    public boolean upToDate() {
        return quorum.upToDate(clock.nowMs());
    }

    /** Milliseconds since a majority was last proven, below 0 for never. */
    public long quorumProofAgeMs() {
        return quorum.ageMs(clock.nowMs());
    }

    /** What this node waits for: the first of these that it lacks. */
    Prerequisite missingPrerequisite(ReplicationDriver.Phase phase, long nowMs) {
        if (phase == ReplicationDriver.Phase.RELEARNING) {
            return Prerequisite.RELEARNING;
        }
        if (!quorum.majorityReachable(nowMs)) {
            return Prerequisite.MAJORITY;
        }
        if (phase == ReplicationDriver.Phase.FOUNDING) {
            return Prerequisite.FOUNDING;
        }
        return hearsCommits && quorum.upToDate(nowMs) ? Prerequisite.NOTHING : Prerequisite.VIEW;
    }
}
