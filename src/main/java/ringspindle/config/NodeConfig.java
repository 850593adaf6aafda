package ringspindle.config;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Properties;
import java.util.Set;
import java.util.TreeSet;
import ringspindle.protocol.NodeId;

/**
 * The valid settings of one node; {@code deploy/node.conf} says what each is for.
 *
 * @param name the node's name, for people
 * @param ip the IPv4 address at which other nodes reach it
 * @param zone its zone
 * @param region its region
 * @param bootstrap whether it may found the control plane's first view
 * @param dataPath the folder of its stored data, empty for none
 * @param frontend endpoint for clients, of a data node
 * @param readiness endpoint that tells whether the node is ready, of a data node
 * @param control endpoint for operators and engines, of a control node
 * @param registry endpoint for look-ups of data nodes, of a control node
 * @param metrics endpoint where the node tells its own figures
 * @param innerPort the port for other nodes
 * @param bindIp the address at which this node listens for other nodes; another one than {@code ip} where they reach it
 *     through a relay
 * @param seeds endpoints of control nodes to start from, at least one
 * @param regionOfZone the regions by their zones
 * @param memoryMb memory of the process in MiB
 * @param engineBeatMs milliseconds between heartbeats of an engine
 * @param contactMs milliseconds without contact after which a peer counts as lost
 * @param drainMs milliseconds for requests in flight when an engine leaves
 * @param graceS seconds for the node's own shutdown
 * @param retryRatio retries by first attempts that the retry budget allows
 * @param retryWindowS seconds over which the retry budget counts
 * @param retrySlack retries that the budget allows besides
 * @param warmupOverrun factor by which an engine in slow start may exceed its load
 * @param warmupSlack requests by which it may exceed it besides
 * @param evacuationMs milliseconds until an evacuation is in force everywhere
 * @param ttlS seconds for which clients may keep addresses of data nodes
 * @param platform the platform's interface
 * @param revokeMs milliseconds after which a withdrawn key admits nothing anywhere, 0 if that is not asked for
 * @param statusTtlS seconds for which a batch job and its results are kept after it was sent
 * @param diskMb room on the data disk in MiB, 0 if not known
 * @param lossesBorne control nodes and disks that may be lost at once
 * @param batch how much items of batch jobs may take
 */
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
        Optional<NodeId> metrics,
        int innerPort,
        String bindIp,
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
        PlatformSettings platform,
        int revokeMs,
        double statusTtlS,
        int diskMb,
        int lossesBorne,
        BatchSettings batch) {
    private static final int MS_PER_S = 1000;

    /** Reads and validates a settings file, in the format of Java's properties. */
    public static Validated<NodeConfig> read(Path file) {
        Properties properties = new Properties();
        try (Reader reader = Files.newBufferedReader(file)) {
            properties.load(reader);
        } catch (IOException | IllegalArgumentException unreadable) {
            return Validated.refused(new ConfigError.Unreadable(file + ": " + unreadable.getMessage()));
        }
        return check(properties);
    }

    /** Validates settings; unknown keys are ignored. */
    public static Validated<NodeConfig> check(Properties properties) {
        return new NodeConfigReader(properties).read();
    }

    /** The region of a zone, empty if it is not known. */
    public String regionOf(String zone) {
        return regionOfZone.getOrDefault(zone, "");
    }

    /** Milliseconds for the node's own shutdown. */
    public long graceMs() {
        return (long) (graceS * MS_PER_S);
    }

    /** The regions there are, in order of their names. */
    public Set<String> regions() {
        return new TreeSet<>(regionOfZone.values());
    }

    /** These settings, with those of {@code next} that can change in a running node. */
    NodeConfig withReloadable(NodeConfig next) {
        return new NodeConfig(
                name,
                ip,
                zone,
                region,
                bootstrap,
                dataPath,
                frontend,
                readiness,
                control,
                registry,
                metrics,
                innerPort,
                bindIp,
                next.seeds,
                next.regionOfZone,
                memoryMb,
                next.engineBeatMs,
                next.contactMs,
                next.drainMs,
                next.graceS,
                next.retryRatio,
                next.retryWindowS,
                next.retrySlack,
                next.warmupOverrun,
                next.warmupSlack,
                next.evacuationMs,
                next.ttlS,
                platform,
                revokeMs,
                next.statusTtlS,
                diskMb,
                lossesBorne,
                next.batch);
    }
}
