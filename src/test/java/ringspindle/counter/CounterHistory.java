package ringspindle.counter;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What clients and disks saw, judged by id: each increment is a digit of its own, in base 4, of some counter, so that a total
 * says of each whether it is missing, counted once, or counted more often.
 */
final class CounterHistory {
    /** A total of 31 digits in base 4 fits 62 bits. */
    private static final int DIGITS = 31;

    private static final int BITS = 2;

    /** An acknowledgement. */
    record Acknowledged(int id, int node, int life, double atMs, boolean inPartition) {}

    private final Set<Integer> mayCount = new HashSet<>();
    private final Map<Integer, Acknowledged> acknowledged = new HashMap<>();
    private final Set<Integer> excused = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private int ids;

    int newId() {
        return ids++;
    }

    static String counter(int id) {
        return "c" + id / DIGITS;
    }

    static long amount(int id) {
        return 1L << BITS * (id % DIGITS);
    }

    /** A try of that id ended other than by the promise that nothing was done. */
    void mayCount(int id) {
        mayCount.add(id);
    }

    void acknowledged(int id, int node, int life, double atMs, boolean inPartition) {
        mayCount(id);
        acknowledged.putIfAbsent(id, new Acknowledged(id, node, life, atMs, inPartition));
    }

    /** A node lost its disk: what it acknowledged in the partition that stands, or has just healed, is not owed. */
    void wiped(int node, double sinceMs) {
        for (Acknowledged ack : acknowledged.values()) {
            if (ack.node() == node && ack.inPartition() && ack.atMs() >= sinceMs) {
                excused.add(ack.id());
            }
        }
    }

    /** Judges what a node tells: nothing counts twice or unasked, and what it acknowledged in this life is there. */
    void read(int node, int life, CounterReplica replica, double atMs) {
        long[] totals = totals(replica);
        for (int id = 0; totals.length > 0 && id < ids; id++) {
            int digit = digit(totals, id);
            Acknowledged ack = acknowledged.get(id);
            if (digit > 1) {
                violations.add("TWICE: " + id + " counted " + digit + " times at " + node + " at " + atMs);
            } else if (digit == 1 && !mayCount.contains(id)) {
                violations.add("TWICE: " + id + " counted at " + node + " though nothing was done, at " + atMs);
            } else if (digit == 0 && ack != null && ack.node() == node && ack.life() == life) {
                violations.add("STALE: " + id + " missing where it was acknowledged, node " + node + " at " + atMs);
            }
        }
    }

    /** Judges a node some time after all trouble: it has all that was acknowledged up to then. */
    void readAfterCalm(int node, CounterReplica replica, double atMs, double ackedBeforeMs) {
        long[] totals = totals(replica);
        if (totals.length == 0) {
            violations.add("STALE: node " + node + " does not tell, at " + atMs);
            return;
        }
        for (Acknowledged ack : acknowledged.values()) {
            if (ack.atMs() < ackedBeforeMs && !excused.contains(ack.id()) && digit(totals, ack.id()) != 1) {
                violations.add("LOST: " + ack + " not at " + node + " at " + atMs);
            }
        }
    }

    /** The totals of all counters, none if the node does not tell. */
    private long[] totals(CounterReplica replica) {
        long[] totals = new long[ids / DIGITS + 1];
        for (int i = 0; i < totals.length; i++) {
            Optional<BigInteger> total = replica.total(counter(i * DIGITS));
            if (total.isEmpty()) {
                return new long[0];
            }
            totals[i] = total.get().longValueExact();
        }
        return totals;
    }

    /** How often an id counts. */
    private static int digit(long[] totals, int id) {
        return (int) (totals[id / DIGITS] >>> BITS * (id % DIGITS)) & 3;
    }

    List<String> violations() {
        return violations;
    }

    int acknowledgements() {
        return acknowledged.size();
    }

    int inPartitions() {
        return (int)
                acknowledged.values().stream().filter(Acknowledged::inPartition).count();
    }

    int tries() {
        return ids;
    }
}
