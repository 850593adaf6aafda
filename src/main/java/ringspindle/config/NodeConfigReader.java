package ringspindle.config;

import com.google.common.base.Splitter;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Properties;
import java.util.Set;
import java.util.TreeMap;
import ringspindle.config.Validated.Invalid;
import ringspindle.config.Validated.Valid;
import ringspindle.protocol.NodeId;

/** Reads the settings of a node by their keys, and collects all errors on the way. */
final class NodeConfigReader {
    private static final String ZONE_PREFIX = "zone.";
    private static final int DEFAULT_WINDOW_S = 5;
    private static final int NODE_RUNS_LIMIT = 1000;

    private final Properties properties;
    private final List<ConfigError> errors = new ArrayList<>();

    NodeConfigReader(Properties properties) {
        this.properties = properties;
    }

    Validated<NodeConfig> read() {
        String ip = required("node.ip");
        checkIp("node.ip", ip);
        NodeConfig config = new NodeConfig(
                required("node.name"),
                ip,
                required("node.zone"),
                required("node.region"),
                Boolean.parseBoolean(text("node.bootstrap")),
                text("node.data"),
                endpoint("listen.frontend"),
                endpoint("listen.readiness"),
                endpoint("listen.control"),
                endpoint("listen.registry"),
                endpoint("listen.metrics"),
                innerPort(),
                bindIp(ip),
                seeds(),
                regionsByZone(),
                integer("limit.memoryMb", 512),
                integer("engine.beatMs", 1000),
                integer("bound.contactMs", 4000),
                integer("bound.drainMs", 2500),
                number("bound.graceS", 8),
                number("bound.retryRatio", 0.1),
                number("bound.retryWindowS", 10),
                integer("bound.retrySlack", 0),
                number("bound.warmupOverrun", 1),
                integer("bound.warmupSlack", 0),
                integer("bound.evacuationMs", 5000),
                number("bound.ttlS", 5),
                platform(),
                revokeMs(),
                number("bound.statusTtlS", 120),
                integer("limit.diskMb", 0),
                integer("loss.nodes", 1),
                batch());
        return errors.isEmpty() ? new Valid<>(config) : new Invalid<>(List.copyOf(errors));
    }

    private int revokeMs() {
        return Boolean.parseBoolean(text("bound.revocationStrict")) ? integer("bound.revokeMs", 5000) : 0;
    }

    private PlatformSettings platform() {
        Set<String> duties =
                Set.copyOf(Splitter.on(',').trimResults().omitEmptyStrings().splitToList(text("platform.duties")));
        int windowS = integer("bound.reportWindowS", DEFAULT_WINDOW_S);
        return new PlatformSettings(
                endpoint("platform.address"),
                duties,
                windowS < 1 ? DEFAULT_WINDOW_S : windowS,
                integer("bound.leaseMs", 3000));
    }

    private BatchSettings batch() {
        BatchSettings otherwise = BatchSettings.DEFAULT;
        double engineShare = inRange("batch.engineShare", otherwise.engineShare(), 0.01, 1);
        return new BatchSettings(
                batchPolicy(),
                engineShare,
                inRange("batch.leastShare", Math.min(engineShare, otherwise.leastShare()), 0, engineShare),
                inRange("batch.reservedShare", otherwise.reservedShare(), 0, 0.99),
                (int) inRange("batch.nodeRunsMax", otherwise.nodeRunsMax(), 1, NODE_RUNS_LIMIT));
    }

    private BatchSettings.Policy batchPolicy() {
        String name = text("batch.policy");
        return switch (name) {
            case "" -> BatchSettings.DEFAULT.policy();
            case "share" -> BatchSettings.Policy.SHARE;
            case "deadline" -> BatchSettings.Policy.DEADLINE;
            default -> {
                errors.add(new ConfigError.InvalidValue("batch.policy", name, "share or deadline"));
                yield BatchSettings.DEFAULT.policy();
            }
        };
    }

    private double inRange(String key, double otherwise, double least, double most) {
        double number = number(key, otherwise);
        if (number < least || number > most) {
            errors.add(new ConfigError.InvalidValue(key, text(key), "a number from " + least + " to " + most));
            return otherwise;
        }
        return number;
    }

    private void checkIp(String key, String ip) {
        if (ip.isEmpty()) {
            return;
        }
        try {
            NodeId.of(ip + ":1");
        } catch (RuntimeException malformed) {
            errors.add(new ConfigError.InvalidValue(key, ip, "an IPv4 address"));
        }
    }

    /** Where to listen for other nodes: where they reach this node, unless the settings say otherwise. */
    private String bindIp(String ip) {
        String bind = text("listen.bind");
        checkIp("listen.bind", bind);
        return bind.isEmpty() ? ip : bind;
    }

    /** The first of the ports that are given. */
    private int innerPort() {
        String[] ports = text("listen.inner").split(",", -1);
        try {
            return Integer.parseInt(ports[0].trim());
        } catch (NumberFormatException malformed) {
            errors.add(new ConfigError.InvalidValue("listen.inner", properties.getProperty("listen.inner"), "ports"));
            return 0;
        }
    }

    private List<NodeId> seeds() {
        List<NodeId> seeds = new ArrayList<>();
        for (String seed : text("seeds").split(",", -1)) {
            if (!seed.isBlank()) {
                endpoint("seeds", seed).ifPresent(seeds::add);
            }
        }
        if (seeds.isEmpty()) {
            errors.add(new ConfigError.Missing("seeds"));
        }
        return List.copyOf(seeds);
    }

    private Map<String, String> regionsByZone() {
        Map<String, String> regions = new TreeMap<>();
        for (String key : properties.stringPropertyNames()) {
            if (key.startsWith(ZONE_PREFIX)) {
                regions.put(key.substring(ZONE_PREFIX.length()), text(key));
            }
        }
        return Collections.unmodifiableMap(regions);
    }

    /** A value without the space around it, empty if the key is not there. */
    private String text(String key) {
        return properties.getProperty(key, "").trim();
    }

    private String required(String key) {
        String value = text(key);
        if (value.isEmpty()) {
            errors.add(new ConfigError.Missing(key));
        }
        return value;
    }

    private int integer(String key, int otherwise) {
        return (int) number(key, otherwise);
    }

    private double number(String key, double otherwise) {
        String value = text(key);
        if (value.isEmpty()) {
            return otherwise;
        }
        double number = parsed(value);
        if (number >= 0) {
            return number;
        }
        errors.add(new ConfigError.InvalidValue(key, value, "a number of 0 or more"));
        return otherwise;
    }

    /** The number, NaN if the text is none. */
    private static double parsed(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException malformed) {
            return Double.NaN;
        }
    }

    private Optional<NodeId> endpoint(String key) {
        String value = text(key);
        return value.isEmpty() ? Optional.empty() : endpoint(key, value);
    }

    private Optional<NodeId> endpoint(String key, String value) {
        try {
            return Optional.of(NodeId.of(value.trim()));
        } catch (RuntimeException malformed) {
            errors.add(new ConfigError.InvalidValue(key, value, "ip:port"));
            return Optional.empty();
        }
    }
}
