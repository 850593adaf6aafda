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
 * When a majority of the voters was last proven to be in touch, and to know of no view newer than this node's. It is a
 * time and not a flag, so that a thread that runs before the first tick after a freeze sees that it has run out. Renewed
 * by one thread, read by many.
 */
final class QuorumTracker {
    /** A proof holds for so long after the heartbeats it rests on were sent; in calm it is at most 600 ms old. */
    static final int VALID_MS = 1500;
    /** Two ticks so far apart, this node stood still: what was proven before counts no more. */
    static final int PAUSE_MS = 1000;

    /**
     * What the newest heartbeat of a voter proves.
     *
     * @param sentMs when the heartbeat that it echoed was sent
     * @param epoch the view that it knows
     * @param blank it can neither vote nor hold state
     */
    record Contact(long sentMs, long epoch, boolean blank) {}

    /** The times of one renewal, read together. */
    private record Proof(long tickMs, long contactMs, long stateMs, long sinceMs) {
        boolean valid(long provenMs, long nowMs) {
            return nowMs - provenMs < VALID_MS && nowMs - tickMs < PAUSE_MS;
        }
    }

    private static final Proof NONE =
            new Proof(SessionTable.NEVER_MS, SessionTable.NEVER_MS, SessionTable.NEVER_MS, SessionTable.NEVER_MS);

    /** For so long after its start a node that has met nobody yet is taken for one that is about to. */
    static final int STARTING_MS = 3000;

    private volatile Proof proof = NONE;
    private volatile long firstTickMs = SessionTable.NEVER_MS;
    private volatile long resumedMs = SessionTable.NEVER_MS;

    /**
     * A tick of the owner; contacts of voters that are not known are null.
     *
     * @param view the newest view, null while there is none or while this node is blank
     */
    void renew(long nowMs, NodeId me, View view, Function<NodeId, Contact> contacts) {
        Proof previous = proof;
        if (firstTickMs == SessionTable.NEVER_MS) {
            firstTickMs = nowMs;
        }
        if (previous != NONE && nowMs - previous.tickMs() >= PAUSE_MS) {
            resumedMs = nowMs;
            previous = NONE;
        }
        long contactMs = Math.max(previous.contactMs(), majorityMs(nowMs, me, view, contacts, contact -> true));
        long stateMs = Math.max(
                previous.stateMs(), majorityMs(nowMs, me, view, contacts, contact -> contact.epoch() <= view.epoch()));
        boolean unbroken = previous != NONE && nowMs - previous.stateMs() < VALID_MS;
        proof = new Proof(nowMs, contactMs, stateMs, unbroken ? previous.sinceMs() : nowMs);
    }

    /** The latest time at or after which each of a majority of voters is proven to have spoken to this node. */
    private long majorityMs(
            long nowMs, NodeId me, View view, Function<NodeId, Contact> contacts, Predicate<Contact> counts) {
        if (view == null) {
            return SessionTable.NEVER_MS;
        }
        List<Long> times = new ArrayList<>();
        for (NodeId voter : view.voters()) {
            Contact contact = voter.equals(me) ? new Contact(nowMs, view.epoch(), false) : contacts.apply(voter);
            if (contact != null && !contact.blank() && counts.test(contact) && contact.sentMs() >= resumedMs) {
                times.add(contact.sentMs());
            }
        }
        times.sort(Comparator.reverseOrder());
        return times.size() < view.majority() ? SessionTable.NEVER_MS : times.get(view.majority() - 1);
    }

    /**
     * True right after the start of this node, before it has met a majority: what comes in now is no older than this life, so
     * an order may be held for the moment until it can be passed on. Never after a pause.
     */
    boolean starting(long nowMs) {
        Proof latest = proof;
        return resumedMs == SessionTable.NEVER_MS
                && firstTickMs != SessionTable.NEVER_MS
                && latest.contactMs() == SessionTable.NEVER_MS
                && nowMs - firstTickMs < STARTING_MS
                && nowMs - latest.tickMs() < PAUSE_MS;
    }

    /** True while a majority is proven to be in touch: calls may be passed on. */
    boolean majorityReachable(long nowMs) {
        Proof latest = proof;
        return latest.valid(latest.contactMs(), nowMs);
    }

    /** True while a majority is proven to know of no newer view: what is committed here may be handed out. */
    boolean upToDate(long nowMs) {
        Proof latest = proof;
        return latest.valid(latest.stateMs(), nowMs);
    }

    /** For how long it has been up to date without a break, 0 if it is not. */
    long heldMs(long nowMs) {
        Proof latest = proof;
        return latest.valid(latest.stateMs(), nowMs) ? nowMs - latest.sinceMs() : 0;
    }

    /** How long ago a majority was last proven to know of no newer view, below 0 for never or not since a pause. */
    long ageMs(long nowMs) {
        Proof latest = proof;
        return latest.stateMs() == SessionTable.NEVER_MS ? -1 : nowMs - latest.stateMs();
    }
}
