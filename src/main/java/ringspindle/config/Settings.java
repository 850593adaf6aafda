package ringspindle.config;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import ringspindle.config.Validated.Invalid;
import ringspindle.config.Validated.Valid;

/** The settings in force in a running node, and what a changed file changes in them. Thread safe. */
public final class Settings {
    /** Hears of settings that change while the node runs. */
    public interface Listener {
        /** Takes the settings that are in force from now on. */
        void settings(NodeConfig config);
    }

    /**
     * What became of a changed file.
     *
     * @param taken keys of settings that are in force from now on
     * @param restart keys of settings that differ and wait for a restart of the process
     * @param errors why nothing was taken, empty if the file is valid
     */
    public record Reload(List<String> taken, List<String> restart, List<ConfigError> errors) {}

    private record Setting(String key, Function<NodeConfig, Object> value) {
        boolean differs(NodeConfig one, NodeConfig other) {
            return !value.apply(one).equals(value.apply(other));
        }
    }

    private static final List<Setting> NEED_RESTART = List.of(
            new Setting("node.name", NodeConfig::name),
            new Setting("node.ip", NodeConfig::ip),
            new Setting("node.zone", NodeConfig::zone),
            new Setting("node.region", NodeConfig::region),
            new Setting("node.data", NodeConfig::dataPath),
            new Setting("listen.frontend", NodeConfig::frontend),
            new Setting("listen.readiness", NodeConfig::readiness),
            new Setting("listen.control", NodeConfig::control),
            new Setting("listen.registry", NodeConfig::registry),
            new Setting("listen.inner", NodeConfig::innerPort),
            new Setting("limit.memoryMb", NodeConfig::memoryMb),
            new Setting("loss.nodes", NodeConfig::lossesBorne));

    /** As in {@link NodeConfig#withReloadable}. */
    private static final List<Setting> RELOADABLE = List.of(
            new Setting("seeds", NodeConfig::seeds),
            new Setting("zone", NodeConfig::regionOfZone),
            new Setting("engine.beatMs", NodeConfig::engineBeatMs),
            new Setting("bound.contactMs", NodeConfig::contactMs),
            new Setting("bound.drainMs", NodeConfig::drainMs),
            new Setting("bound.graceS", NodeConfig::graceS),
            new Setting("bound.retryRatio", NodeConfig::retryRatio),
            new Setting("bound.retryWindowS", NodeConfig::retryWindowS),
            new Setting("bound.retrySlack", NodeConfig::retrySlack),
            new Setting("bound.warmupOverrun", NodeConfig::warmupOverrun),
            new Setting("bound.warmupSlack", NodeConfig::warmupSlack),
            new Setting("bound.evacuationMs", NodeConfig::evacuationMs),
            new Setting("bound.ttlS", NodeConfig::ttlS),
            new Setting("batch", NodeConfig::batch));

    private NodeConfig now;
    private final List<Listener> listeners = new CopyOnWriteArrayList<>();

    /** The settings that the node was started with. */
    public Settings(NodeConfig now) {
        this.now = now;
    }

    /** The settings in force. */
    public synchronized NodeConfig now() {
        return now;
    }

    /** Adds a listener, which hears of changes from now on. */
    public void listen(Listener listener) {
        listeners.add(listener);
    }

    /** Takes what can be taken of a file that was read again; listeners are called without a lock. */
    public Reload reload(Validated<NodeConfig> file) {
        if (file instanceof Invalid<NodeConfig> invalid) {
            return new Reload(List.of(), List.of(), invalid.errors());
        }
        NodeConfig next = ((Valid<NodeConfig>) file).value();
        NodeConfig before;
        NodeConfig merged;
        synchronized (this) {
            before = now;
            merged = before.withReloadable(next);
            now = merged;
        }
        List<String> taken = differing(RELOADABLE, before, next);
        if (!taken.isEmpty()) {
            listeners.forEach(listener -> listener.settings(merged));
        }
        return new Reload(taken, differing(NEED_RESTART, before, next), List.of());
    }

    private static List<String> differing(List<Setting> settings, NodeConfig before, NodeConfig next) {
        return settings.stream()
                .filter(setting -> setting.differs(before, next))
                .map(Setting::key)
                .toList();
    }
}
