package ringspindle.controlplane;

import ringspindle.time.MonotonicClock;

/**
 * Determines whether this node may serve, and which prerequisite is missing otherwise. Thread safe and lock-free: the
 * tick writes, all threads read. State is valid only while the quorum proof is, so a thread that runs before the first
 * tick after a process pause sees at once that it has expired.
 */
public final class ServingState {
    /** Prerequisites for serving. The names are part of the status page that operators read. */
    public enum Prerequisite {
        NOTHING,
        RELEARNING,
        MAJORITY,
        FOUNDING,
        VIEW
    }

    /** Lifecycle of a node. */
    private enum Lifecycle {
        RUNNING,
        LEAVING
    }

    private final MonotonicClock clock;
    private final QuorumTracker quorum;
    private volatile Lifecycle lifecycle = Lifecycle.RUNNING;
    /** Whether the replicated state learns of every commit, as of the last tick; valid only with the quorum proof. */
    private volatile boolean receivesCommits;

    ServingState(MonotonicClock clock, QuorumTracker quorum) {
        this.clock = clock;
        this.quorum = quorum;
    }

    /** Sets whether the replicated state learns of every commit. Called by the tick. */
    void setReceivesCommits(boolean receives) {
        receivesCommits = receives;
    }

    /** Announces from now on that this node is leaving. */
    void leave() {
        lifecycle = Lifecycle.LEAVING;
    }

    /** Returns true once this node has been told to shut down. */
    boolean leaving() {
        return lifecycle == Lifecycle.LEAVING;
    }

    /** Returns true while this node is proven to learn of every commit and is not leaving. */
    public boolean quorate() {
        return receivesCommits && !leaving() && quorum.upToDate(clock.nowMs());
    }

    /** Returns true while a majority is proven to be reachable, so that calls are forwarded. */
    public boolean majorityReachable() {
        return quorum.majorityReachable(clock.nowMs());
    }

    /** Returns true while a majority is proven to know no newer view, so that facts of this node may be served. */
    public boolean upToDate() {
        return quorum.upToDate(clock.nowMs());
    }

    /** Returns the age of the latest quorum proof in milliseconds, negative if there is none. */
    public long quorumProofAgeMs() {
        return quorum.proofAgeMs(clock.nowMs());
    }

    /** Returns the first prerequisite that is not met, or {@code NOTHING}. */
    Prerequisite missingPrerequisite(ReplicationDriver.Phase phase, long nowMs) {
        if (phase == ReplicationDriver.Phase.RELEARNING) {
            return Prerequisite.RELEARNING;
        }
        if (!quorum.majorityReachable(nowMs)) {
            return Prerequisite.MAJORITY;
        }
        if (phase == ReplicationDriver.Phase.BOOTSTRAPPING) {
            return Prerequisite.FOUNDING;
        }
        return receivesCommits && quorum.upToDate(nowMs) ? Prerequisite.NOTHING : Prerequisite.VIEW;
    }
}
