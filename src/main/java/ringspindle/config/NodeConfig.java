package ringspindle.config;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Properties;
import java.util.TreeMap;
import ringspindle.config.Validated.Invalid;
import ringspindle.config.Validated.Valid;
import ringspindle.protocol.NodeId;

/** The checked settings of one node. */
public record NodeConfig(
        String name,
        String ip,
        String zone,
        String region,
        boolean bootstrap,
        String dataPath,
        Optional<NodeId> frontend,
        Optional<NodeId> readiness,
        Optional<NodeId> control,
        Optional<NodeId> registry,
        int innerPort,
        List<NodeId> seeds,
        Map<String, String> regionOfZone,
        int memoryMb,
        int engineBeatMs,
        int contactMs,
        int drainMs,
        double graceS,
        double retryRatio,
        double retryWindowS,
        int retrySlack,
        double warmupOverrun,
        int warmupSlack,
        int evacuationMs,
        double ttlS,
        int lossesBorne) {

    /** Reads and checks the file; {@code NodeConfig.read(Path.of("node.conf"))}. */
    public static Validated<NodeConfig> read(Path file) {
        Properties p = new Properties();
        try (Reader r = Files.newBufferedReader(file)) {
            p.load(r);
        } catch (IOException | IllegalArgumentException x) {
            return Validated.refused(new ConfigError.Unreadable(file + ": " + x.getMessage()));
        }
        return check(p);
    }

    /** Checks values by name; unknown names are ignored: {@code NodeConfig.check(properties)}. */
    public static Validated<NodeConfig> check(Properties p) {
        Reader1 r = new Reader1(p);
        Map<String, String> zones = new TreeMap<>();
        for (String k : p.stringPropertyNames()) {
            if (k.startsWith("zone.")) {
                zones.put(k.substring(5), p.getProperty(k).trim());
            }
        }
        String ip = r.text("node.ip");
        String[] ports = p.getProperty("listen.inner", "").trim().split(",");
        int inner = 0;
        try {
            inner = Integer.parseInt(ports[0].trim());
        } catch (NumberFormatException x) {
            r.problems.add(new ConfigError.Bad("listen.inner", p.getProperty("listen.inner"), "ports"));
        }
        if (!ip.isEmpty()) {
            try {
                NodeId.of(ip + ":1");
            } catch (RuntimeException x) {
                r.problems.add(new ConfigError.Bad("node.ip", ip, "an IPv4 address"));
            }
        }
        List<NodeId> seeds = new ArrayList<>();
        for (String s : p.getProperty("seeds", "").split(",")) {
            if (!s.isBlank()) {
                r.address("seeds", s).ifPresent(seeds::add);
            }
        }
        if (seeds.isEmpty()) {
            r.problems.add(new ConfigError.Missing("seeds"));
        }
        NodeConfig c = new NodeConfig(
                r.text("node.name"),
                ip,
                r.text("node.zone"),
                r.text("node.region"),
                Boolean.parseBoolean(p.getProperty("node.bootstrap", "false").trim()),
                p.getProperty("node.data", "").trim(),
                r.maybe("listen.frontend"),
                r.maybe("listen.readiness"),
                r.maybe("listen.control"),
                r.maybe("listen.registry"),
                inner,
                List.copyOf(seeds),
                Collections.unmodifiableMap(zones),
                (int) r.number("limit.memoryMb", 512),
                (int) r.number("engine.beatMs", 1000),
                (int) r.number("bound.contactMs", 4000),
                (int) r.number("bound.drainMs", 2500),
                r.number("bound.graceS", 8),
                r.number("bound.retryRatio", 0.1),
                r.number("bound.retryWindowS", 10),
                (int) r.number("bound.retrySlack", 0),
                r.number("bound.warmupOverrun", 1),
                (int) r.number("bound.warmupSlack", 0),
                (int) r.number("bound.evacuationMs", 5000),
                r.number("bound.ttlS", 5),
                (int) r.number("loss.nodes", 1));
        return r.problems.isEmpty() ? new Valid<>(c) : new Invalid<>(List.copyOf(r.problems));
    }

    /** The region of a zone, empty if unknown; {@code config.regionOf("ahd-halla")}. */
    public String regionOf(String zone) {
        return regionOfZone.getOrDefault(zone, "");
    }

    private static final class Reader1 {
        final Properties p;
        final List<ConfigError> problems = new ArrayList<>();

        Reader1(Properties p) {
            this.p = p;
        }

        String text(String key) {
            String v = p.getProperty(key, "").trim();
            if (v.isEmpty()) {
                problems.add(new ConfigError.Missing(key));
            }
            return v;
        }

        double number(String key, double otherwise) {
            String v = p.getProperty(key, "").trim();
            if (v.isEmpty()) {
                return otherwise;
            }
            try {
                double d = Double.parseDouble(v);
                if (d >= 0) {
                    return d;
                }
            } catch (NumberFormatException x) {
                // named below
            }
            problems.add(new ConfigError.Bad(key, v, "a number of 0 or more"));
            return otherwise;
        }

        Optional<NodeId> maybe(String key) {
            String v = p.getProperty(key, "").trim();
            return v.isEmpty() ? Optional.empty() : address(key, v);
        }

        Optional<NodeId> address(String key, String v) {
            try {
                return Optional.of(NodeId.of(v.trim()));
            } catch (RuntimeException x) {
                problems.add(new ConfigError.Bad(key, v, "ip:port"));
                return Optional.empty();
            }
        }
    }
}
