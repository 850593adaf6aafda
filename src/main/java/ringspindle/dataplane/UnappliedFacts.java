package ringspindle.dataplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ringspindle.gossip.FactStore;
import ringspindle.protocol.Message.Fact;

/**
 * Puts facts into force, and keeps those for which that failed, until it succeeds or a newer fact has taken their place.
 * Guarded by the lock of {@link GossipState}; times are in ms of the steady clock.
 */
final class UnappliedFacts {
    private final FactStore facts;
    private final FactApplier applier;
    /** Facts that are known here and not in force, and since when. */
    private final Map<Fact, Long> sinceMs = new HashMap<>();

    UnappliedFacts(FactStore facts, FactApplier applier) {
        this.facts = facts;
        this.applier = applier;
    }

    /** Puts facts into force that have just been learnt. */
    void apply(List<Fact> fresh, long nowMs) {
        applier.apply(fresh, nowMs).forEach(failed -> sinceMs.put(failed, nowMs));
    }

    /** Tries the facts again that are not in force. */
    void retry(long nowMs) {
        if (sinceMs.isEmpty()) {
            return;
        }
        sinceMs.keySet().removeIf(fact -> !fact.equals(facts.get(fact.kind(), fact.key())));
        List<Fact> again = List.copyOf(sinceMs.keySet());
        List<Fact> failed = applier.apply(again, nowMs);
        sinceMs.keySet().retainAll(failed);
    }

    /** True if all that is known is in force. */
    boolean isEmpty() {
        return sinceMs.isEmpty();
    }

    /** How many facts have been known for longer than that and are not in force. */
    int countOver(long ageMs, long nowMs) {
        return (int)
                sinceMs.values().stream().filter(since -> nowMs - since > ageMs).count();
    }

    /** The facts that are not in force, for log lines: {@code [CONFIG 41 for 120 ms]}. */
    String describe(long nowMs) {
        List<String> described = new ArrayList<>();
        sinceMs.forEach((fact, since) -> described.add(
                fact.kind() + " " + fact.key() + " " + fact.version() + " for " + (nowMs - since) + " ms"));
        return described.toString();
    }
}
