package ringspindle.config;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The settings in force in a running node, and what a changed file changes in them. */
public final class Settings {
    /** Told when settings that can be taken over while running have changed. */
    public interface Listener {
        /** Takes the settings that are in force from now on. */
        void settings(NodeConfig c);
    }

    /**
     * What became of a changed file.
     *
     * @param taken settings that are in force from now on
     * @param restart settings that differ and wait for a restart of the process
     * @param problems why nothing was taken, empty if the file is good
     */
    public record Reload(List<String> taken, List<String> restart, List<ConfigError> problems) {}

    private NodeConfig now;
    private final List<Listener> listeners = new CopyOnWriteArrayList<>();

    /** {@code new Settings(config)} holds what the node was started with. */
    public Settings(NodeConfig now) {
        this.now = now;
    }

    /** What is in force. */
    public synchronized NodeConfig now() {
        return now;
    }

    /** Who wants to hear of changes; {@code settings.listen(loadBalancer::updateSettings)}. */
    public void listen(Listener l) {
        listeners.add(l);
    }

    /** The file was read again; {@code settings.reload(NodeConfig.read(file)).restart()} names what needs a restart. */
    public Reload reload(Validated<NodeConfig> file) {
        if (file instanceof Validated.Invalid<NodeConfig> bad) {
            return new Reload(List.of(), List.of(), bad.problems());
        }
        NodeConfig next = ((Validated.Valid<NodeConfig>) file).value();
        List<String> restart = new ArrayList<>();
        NodeConfig merged;
        List<String> taken;
        synchronized (this) {
            NodeConfig o = now;
            differs(restart, "node.name", o.name(), next.name());
            differs(restart, "node.ip", o.ip(), next.ip());
            differs(restart, "node.zone", o.zone(), next.zone());
            differs(restart, "node.region", o.region(), next.region());
            differs(restart, "node.data", o.dataPath(), next.dataPath());
            differs(restart, "listen.frontend", o.frontend(), next.frontend());
            differs(restart, "listen.readiness", o.readiness(), next.readiness());
            differs(restart, "listen.control", o.control(), next.control());
            differs(restart, "listen.registry", o.registry(), next.registry());
            differs(restart, "listen.inner", o.innerPort(), next.innerPort());
            differs(restart, "limit.memoryMb", o.memoryMb(), next.memoryMb());
            differs(restart, "loss.nodes", o.lossesBorne(), next.lossesBorne());
            taken = new ArrayList<>();
            differs(taken, "seeds", o.seeds(), next.seeds());
            differs(taken, "zone", o.regionOfZone(), next.regionOfZone());
            differs(taken, "engine.beatMs", o.engineBeatMs(), next.engineBeatMs());
            differs(taken, "bound.contactMs", o.contactMs(), next.contactMs());
            differs(taken, "bound.drainMs", o.drainMs(), next.drainMs());
            differs(taken, "bound.graceS", o.graceS(), next.graceS());
            differs(taken, "bound.retryRatio", o.retryRatio(), next.retryRatio());
            differs(taken, "bound.retryWindowS", o.retryWindowS(), next.retryWindowS());
            differs(taken, "bound.retrySlack", o.retrySlack(), next.retrySlack());
            differs(taken, "bound.warmupOverrun", o.warmupOverrun(), next.warmupOverrun());
            differs(taken, "bound.warmupSlack", o.warmupSlack(), next.warmupSlack());
            differs(taken, "bound.evacuationMs", o.evacuationMs(), next.evacuationMs());
            differs(taken, "bound.ttlS", o.ttlS(), next.ttlS());
            merged = new NodeConfig(
                    o.name(),
                    o.ip(),
                    o.zone(),
                    o.region(),
                    o.bootstrap(),
                    o.dataPath(),
                    o.frontend(),
                    o.readiness(),
                    o.control(),
                    o.registry(),
                    o.innerPort(),
                    next.seeds(),
                    next.regionOfZone(),
                    o.memoryMb(),
                    next.engineBeatMs(),
                    next.contactMs(),
                    next.drainMs(),
                    next.graceS(),
                    next.retryRatio(),
                    next.retryWindowS(),
                    next.retrySlack(),
                    next.warmupOverrun(),
                    next.warmupSlack(),
                    next.evacuationMs(),
                    next.ttlS(),
                    o.lossesBorne());
            now = merged;
        }
        if (!taken.isEmpty()) {
            listeners.forEach(l -> l.settings(merged));
        }
        return new Reload(List.copyOf(taken), List.copyOf(restart), List.of());
    }

    private static void differs(List<String> names, String name, Object was, Object is) {
        if (!was.equals(is)) {
            names.add(name);
        }
    }
}
