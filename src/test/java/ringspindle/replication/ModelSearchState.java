package ringspindle.replication;

import java.util.HashMap;
import java.util.Map;

/** Computes the nodes' part of a state's fingerprint and caches that of each node until the node changes. */
final class ModelSearchState {
    private record Fingerprint(long version, long value) {}

    private final ModelWorld world;
    private final Map<Integer, Fingerprint> cache = new HashMap<>();

    ModelSearchState(ModelWorld world) {
        this.world = world;
    }

    /** Adds the state of every node and which links are cut. */
    void addNodes(ModelFingerprint fingerprint) {
        for (ModelNode node : world.nodes.values()) {
            fingerprint.add(fingerprintOf(node));
            world.nodes.values().forEach(other -> fingerprint.add(world.isCut(node, other)));
        }
    }

    private long fingerprintOf(ModelNode node) {
        Fingerprint cached = cache.get(node.slot);
        if (cached == null || cached.version() != node.version) {
            ModelFingerprint fingerprint = new ModelFingerprint()
                    .add(node.up())
                    .add(node.frozen)
                    .add(node.disk)
                    .add(node.chain)
                    .add(node.reachableSinceMs)
                    .add(node.writes.size());
            node.writes.forEach(store -> fingerprint.add(store.records()));
            cached = new Fingerprint(node.version, fingerprint.value());
            cache.put(node.slot, cached);
        }
        return cached.value();
    }
}
