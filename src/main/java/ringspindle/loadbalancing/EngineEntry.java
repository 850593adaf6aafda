package ringspindle.loadbalancing;

import ringspindle.config.FleetConfig;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.NodeId;
import ringspindle.telemetry.EngineKey;

/**
 * State of one engine on this node: its latest report, and its in-flight load, recent attempts, ejection and slow
 * start. Entries are compared by identity. Confined to the lock of {@link EngineTableLoadBalancer}.
 */
final class EngineEntry {
    /** Added to the configured warm-up time. */
    private static final int WARMUP_MARGIN_MS = 1000;

    private final String id;
    private final long key;
    private final InFlightLoad load = new InFlightLoad();
    private final AttemptWindow attempts = new AttemptWindow();
    private final OutlierEjection ejection;
    private final FailureRateOutlier failureRate = new FailureRateOutlier();
    private final SlowStart slowStart;
    private Engine report;
    private long version;
    private NodeId address;
    private RegionState region;
    private boolean draining;
    /** Whether the engine is idle, had no recent attempts of this node, and is not ejected. */
    private boolean inactive = true;

    private boolean heartbeatMissing;
    private long heartbeatChangedMs;

    EngineEntry(String id, boolean draining, boolean heartbeatMissing, long nowMs, Runnable onEjected) {
        this.id = id;
        ejection = new OutlierEjection(onEjected);
        this.draining = draining;
        this.heartbeatMissing = heartbeatMissing;
        key = EngineKey.of(id);
        heartbeatChangedMs = nowMs;
        slowStart = new SlowStart(nowMs);
    }

    /** Stores a report of the engine. A draining engine never returns to service. */
    void update(Engine newReport, NodeId newAddress, RegionState newRegion, long newVersion) {
        report = newReport;
        address = newAddress;
        region = newRegion;
        version = newVersion;
        draining |= newReport.draining();
    }

    String id() {
        return id;
    }

    /** Returns the hash of the id, which identifies the engine in load summaries and in rendezvous hashing. */
    long key() {
        return key;
    }

    long version() {
        return version;
    }

    /** Returns true if the engine runs that version of its software; false for an empty version. */
    boolean runsSoftware(String softwareVersion) {
        return !softwareVersion.isEmpty() && report.revision().equals(softwareVersion);
    }

    NodeId address() {
        return address;
    }

    String service() {
        return report.service();
    }

    String zone() {
        return report.zone();
    }

    RegionState region() {
        return region;
    }

    /** Returns how many requests the engine runs concurrently. */
    int capacity() {
        return report.capacity();
    }

    /**
     * Returns true if the engine runs this version of the model weights; a negative version on either side matches any.
     */
    boolean runsWeights(long weightsVersion) {
        return weightsVersion < 0 || report.weights() < 0 || report.weights() == weightsVersion;
    }

    boolean isDraining() {
        return draining;
    }

    void markDraining() {
        draining = true;
    }

    boolean isHeartbeatMissing() {
        return heartbeatMissing;
    }

    void setHeartbeatMissing(boolean missing, long nowMs) {
        if (heartbeatMissing != missing) {
            heartbeatMissing = missing;
            heartbeatChangedMs = nowMs;
        }
    }

    /** Returns true if heartbeats have been missing for longer than that and no request of this node is running. */
    boolean isExpired(long afterMs, long nowMs) {
        return load.isIdle() && heartbeatMissing && nowMs - heartbeatChangedMs > afterMs;
    }

    /** Returns true if neither the engine's heartbeats are missing nor its region is unreachable. */
    boolean isReachable() {
        return !heartbeatMissing && !region.isUnreachable();
    }

    /** Returns true if periodic reports and health checks can skip the engine. */
    boolean isInactive() {
        return inactive;
    }

    /** Marks the engine as active because it gets a request. */
    void markActive() {
        inactive = false;
    }

    /** Updates whether the engine is inactive; to be called after its load was reported. */
    void updateInactive(long nowMs) {
        inactive = load.isIdle() && !ejection.isEjected() && attempts.isEmpty(nowMs);
    }

    InFlightLoad load() {
        return load;
    }

    AttemptWindow attempts() {
        return attempts;
    }

    OutlierEjection ejection() {
        return ejection;
    }

    FailureRateOutlier failureRate() {
        return failureRate;
    }

    SlowStart slowStart() {
        return slowStart;
    }

    /** Starts a slow start for the warm-up time of the service: the engine returns to service with an empty cache. */
    void restartSlowStart(FleetConfig.Service service, long nowMs) {
        long warmupMs = service == null ? 0 : (long) (service.warmupS() * 1000);
        slowStart.extend(nowMs + warmupMs + WARMUP_MARGIN_MS, nowMs);
    }
}
