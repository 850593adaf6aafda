package ringspindle.counter;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import ringspindle.protocol.Message.CounterAdd;
import ringspindle.protocol.Message.CounterTotal;

/**
 * Counters by name, and the ids that they remember. An id may come under several origins, when both sides of a partition
 * accepted it; it counts once, and is forgotten when the last of these increments is folded. Should the amounts differ, the
 * lesser counts, at every replica alike.
 */
final class CounterTable {
    /** What is remembered of an id. */
    private static final class Instance {
        private final long origin;
        private final long sequence;
        private long amount;
        /** Increments with this id that are not folded. */
        private int increments = 1;

        private Instance(CounterAdd add) {
            origin = add.origin();
            sequence = add.sequence();
            amount = add.amount();
        }
    }

    /** One counter. */
    private static final class Counter {
        private final Map<String, Instance> byId = new HashMap<>();
        private BigInteger total = BigInteger.ZERO;
        /** The part of the total whose ids are forgotten. */
        private BigInteger folded = BigInteger.ZERO;

        private void addToTotal(BigInteger amount) {
            total = total.add(amount);
        }
    }

    private final Map<String, Counter> counters = new TreeMap<>();
    private int instances;

    /** Starts from totals whose ids are forgotten. */
    void restore(List<CounterTotal> totals) {
        for (CounterTotal row : totals) {
            Counter counter = counters.computeIfAbsent(row.counter(), name -> new Counter());
            counter.folded = new BigInteger(row.total());
            counter.total = counter.folded;
        }
    }

    /** Counts an increment, unless its id is known. */
    void apply(CounterAdd add) {
        Counter counter = counters.computeIfAbsent(add.counter(), name -> new Counter());
        Instance known = counter.byId.get(add.instance());
        if (known == null) {
            counter.byId.put(add.instance(), new Instance(add));
            counter.addToTotal(BigInteger.valueOf(add.amount()));
            instances++;
            return;
        }
        known.increments++;
        if (add.amount() < known.amount) {
            counter.addToTotal(BigInteger.valueOf(add.amount()).subtract(BigInteger.valueOf(known.amount)));
            known.amount = add.amount();
        }
    }

    /** Forgets an increment that was applied, and its id with the last increment of that id. */
    void fold(CounterAdd add) {
        Counter counter = counters.get(add.counter());
        Instance known = counter.byId.get(add.instance());
        known.increments--;
        if (known.increments == 0) {
            counter.byId.remove(add.instance());
            counter.folded = counter.folded.add(BigInteger.valueOf(known.amount));
            instances--;
        }
    }

    /** The increment by which an id is counted, empty if the id is not known. */
    Optional<CounterAdd> find(String counter, String id) {
        Counter found = counters.get(counter);
        Instance known = found == null ? null : found.byId.get(id);
        return known == null
                ? Optional.empty()
                : Optional.of(new CounterAdd(known.origin, known.sequence, counter, id, known.amount));
    }

    /** The total of a counter, 0 for one that is not known. */
    BigInteger total(String counter) {
        Counter found = counters.get(counter);
        return found == null ? BigInteger.ZERO : found.total;
    }

    /** Totals of all counters, by name. */
    Map<String, BigInteger> totals() {
        Map<String, BigInteger> totals = new TreeMap<>();
        counters.forEach((name, counter) -> totals.put(name, counter.total));
        return totals;
    }

    /** The parts of the totals whose ids are forgotten. */
    List<CounterTotal> foldedTotals() {
        List<CounterTotal> totals = new ArrayList<>();
        counters.forEach((name, counter) -> totals.add(new CounterTotal(name, counter.folded.toString())));
        return totals;
    }

    /** True if there is a counter of that name. */
    boolean has(String counter) {
        return counters.containsKey(counter);
    }

    /** How many counters there are. */
    int counters() {
        return counters.size();
    }

    /** How many ids are remembered. */
    int instances() {
        return instances;
    }
}
