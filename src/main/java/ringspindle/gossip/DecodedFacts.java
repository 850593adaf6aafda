package ringspindle.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;

/**
 * The facts of one kind with what they say, each decoded once: facts change rarely and are looked at all the time. Guarded by the owner
 * of the facts.
 *
 * <pre>{@code
 * DecodedFacts<DataNodeFact> nodes = new DecodedFacts<>(store, FactKind.NODE, DataNodeFact::of);
 * for (DecodedFacts.Entry<DataNodeFact> node : nodes.all()) { ... }
 * }</pre>
 *
 * @param <T> what a fact says
 */
public final class DecodedFacts<T> {
    /** A fact and what it says. */
    public record Entry<T>(Fact fact, T value) {}

    private static final long NOT_READ = -1;

    private final FactStore store;
    private final FactKind kind;
    private final Function<byte[], T> decoder;
    private Map<String, Entry<T>> byKey = Map.of();
    private List<Entry<T>> all = List.of();
    private long ofChanges = NOT_READ;

    /**
     * The facts of a kind in a store.
     *
     * @param decoder reads the value of a fact; facts that cannot be read were refused before
     */
    public DecodedFacts(FactStore store, FactKind kind, Function<byte[], T> decoder) {
        this.store = store;
        this.kind = kind;
        this.decoder = decoder;
    }

    /** All of them, in the order in which they came in. The same object is returned until one of them changes. */
    public List<Entry<T>> all() {
        refresh();
        return all;
    }

    /** The fact of that key, null if there is none. */
    public Entry<T> get(String key) {
        refresh();
        return byKey.get(key);
    }

    private void refresh() {
        long changes = store.changes(kind);
        if (changes == ofChanges) {
            return;
        }
        Map<String, Entry<T>> refreshed = new HashMap<>();
        List<Entry<T>> inOrder = new ArrayList<>();
        for (Fact fact : store.all(kind)) {
            Entry<T> known = byKey.get(fact.key());
            boolean same = known != null && known.fact() == fact;
            Entry<T> entry = same ? known : new Entry<>(fact, decoder.apply(fact.value()));
            refreshed.put(fact.key(), entry);
            inOrder.add(entry);
        }
        byKey = refreshed;
        all = List.copyOf(inOrder);
        ofChanges = changes;
    }
}
