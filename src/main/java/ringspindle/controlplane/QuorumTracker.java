package ringspindle.controlplane;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/**
 * Tracks when a majority of the voters was last proven to be reachable, and to know no newer view than this node. The
 * proof is a time instead of a flag, so that a thread that runs before the first tick after a process pause sees that
 * the proof has expired. Renewed by one thread, read by many.
 */
final class QuorumTracker {
    /**
     * Validity of a proof after the heartbeats that it is based on were sent; normally a proof is at most 600 ms old.
     */
    static final int PROOF_VALIDITY_MS = 1500;
    /** A gap of this length between ticks means that the process was paused; earlier proofs are then discarded. */
    static final int PAUSE_THRESHOLD_MS = 1000;

    /**
     * What the latest heartbeat of a voter proves.
     *
     * @param sentMs when the heartbeat that the voter echoed was sent
     * @param epoch the epoch of the latest view known to the voter
     * @param relearning true if the voter can neither vote nor hold state
     */
    record VoterContact(long sentMs, long epoch, boolean relearning) {}

    /** The times of one renewal, published together. */
    private record Proof(long tickMs, long contactMs, long stateMs, long validSinceMs) {
        boolean valid(long provenMs, long nowMs) {
            return nowMs - provenMs < PROOF_VALIDITY_MS && nowMs - tickMs < PAUSE_THRESHOLD_MS;
        }
    }

    private static final Proof NO_PROOF =
            new Proof(SessionTable.NEVER_MS, SessionTable.NEVER_MS, SessionTable.NEVER_MS, SessionTable.NEVER_MS);

    /**
     * Time after process start during which a node that has not reached a majority yet is considered to be starting.
     */
    static final int STARTING_MS = 3000;

    private volatile Proof proof = NO_PROOF;
    private volatile long firstTickMs = SessionTable.NEVER_MS;
    private volatile long lastResumeMs = SessionTable.NEVER_MS;

    /**
     * Renews the proof on a tick.
     *
     * @param view the latest view, null without one or while this node is relearning
     * @param contacts returns the contact of a voter, null if it is unknown
     */
    void renew(long nowMs, NodeId self, View view, Function<NodeId, VoterContact> contacts) {
        Proof previous = proof;
        if (firstTickMs == SessionTable.NEVER_MS) {
            firstTickMs = nowMs;
        }
        if (previous != NO_PROOF && nowMs - previous.tickMs() >= PAUSE_THRESHOLD_MS) {
            lastResumeMs = nowMs;
            previous = NO_PROOF;
        }
        long contactMs =
                Math.max(previous.contactMs(), majorityContactMs(nowMs, self, view, contacts, contact -> true));
        long stateMs = Math.max(
                previous.stateMs(),
                majorityContactMs(nowMs, self, view, contacts, contact -> contact.epoch() <= view.epoch()));
        boolean continuous = previous != NO_PROOF && nowMs - previous.stateMs() < PROOF_VALIDITY_MS;
        proof = new Proof(nowMs, contactMs, stateMs, continuous ? previous.validSinceMs() : nowMs);
    }

    /**
     * Returns the latest time at or after which every voter of some majority is proven to have communicated with this
     * node.
     */
    private long majorityContactMs(
            long nowMs,
            NodeId self,
            View view,
            Function<NodeId, VoterContact> contacts,
            Predicate<VoterContact> eligible) {
        if (view == null) {
            return SessionTable.NEVER_MS;
        }
        List<Long> times = new ArrayList<>();
        for (NodeId voter : view.voters()) {
            VoterContact contact =
                    voter.equals(self) ? new VoterContact(nowMs, view.epoch(), false) : contacts.apply(voter);
            if (contact != null
                    && !contact.relearning()
                    && eligible.test(contact)
                    && contact.sentMs() >= lastResumeMs) {
                times.add(contact.sentMs());
            }
        }
        times.sort(Comparator.reverseOrder());
        return times.size() < view.majority() ? SessionTable.NEVER_MS : times.get(view.majority() - 1);
    }

    /**
     * Returns true right after process start, until this node has reached a majority. Calls received in this phase are
     * no older than the process, so they may be held until they can be forwarded. Never true after a pause.
     */
    boolean starting(long nowMs) {
        Proof latest = proof;
        return lastResumeMs == SessionTable.NEVER_MS
                && firstTickMs != SessionTable.NEVER_MS
                && latest.contactMs() == SessionTable.NEVER_MS
                && nowMs - firstTickMs < STARTING_MS
                && nowMs - latest.tickMs() < PAUSE_THRESHOLD_MS;
    }

    /** Returns true while a majority is proven to be reachable, so that calls may be forwarded. */
    boolean majorityReachable(long nowMs) {
        Proof latest = proof;
        return latest.valid(latest.contactMs(), nowMs);
    }

    /** Returns true while a majority is proven to know no newer view, so that state committed here may be served. */
    boolean upToDate(long nowMs) {
        Proof latest = proof;
        return latest.valid(latest.stateMs(), nowMs);
    }

    /** Returns how long this node has been up to date without interruption, 0 if it is not up to date. */
    long upToDateForMs(long nowMs) {
        Proof latest = proof;
        return latest.valid(latest.stateMs(), nowMs) ? nowMs - latest.validSinceMs() : 0;
    }

    /**
     * Returns the time since a majority was last proven to know no newer view; negative if never, or not since a pause.
     */
    long proofAgeMs(long nowMs) {
        Proof latest = proof;
        return latest.stateMs() == SessionTable.NEVER_MS ? -1 : nowMs - latest.stateMs();
    }
}
