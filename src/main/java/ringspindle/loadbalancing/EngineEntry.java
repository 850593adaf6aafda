package ringspindle.loadbalancing;

import ringspindle.config.FleetConfig;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.NodeId;
import ringspindle.telemetry.EngineKey;

/**
 * One engine as this node knows it: what it last reported of itself, and the state that each concern keeps of it. Entries
 * are compared by identity. Confined to the lock of {@link EngineTableLoadBalancer}.
 */
final class EngineEntry {
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
    /** Nothing of this node ran there lately, and it is not ejected. */
    private boolean quiet = true;

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

    /** Takes over what the engine reported of itself. An engine that drains never stops draining. */
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

    /** Hash of the id by which load summaries and rendezvous hashing know the engine. */
    long key() {
        return key;
    }

    long version() {
        return version;
    }

    /** True if it runs that version of its software; not if that is empty. */
    boolean runsSoftware(String version) {
        return !version.isEmpty() && report.revision().equals(version);
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

    /** How many requests the engine runs at once. */
    int capacity() {
        return report.capacity();
    }

    /** Whether the engine runs these model weights; a version below 0, on either side, is any. */
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

    /** Whether heartbeats have been missing for longer than that while nothing of this node runs there. */
    boolean isAbandoned(long afterMs, long nowMs) {
        return load.isIdle() && heartbeatMissing && nowMs - heartbeatChangedMs > afterMs;
    }

    /** False if neither the engine's heartbeats nor its region is heard of. */
    boolean isReachable() {
        return !heartbeatMissing && !region.isUnreachable();
    }

    /** True if there is nothing to report of it and nothing to ask it: periodic work passes it over. */
    boolean isQuiet() {
        return quiet;
    }

    /** Something is sent there. */
    void markBusy() {
        quiet = false;
    }

    /** Its load is reported now: it is quiet from now on if nothing runs, nothing ended lately, and it is not ejected. */
    void updateQuiet(long nowMs) {
        quiet = load.isIdle() && !ejection.isEjected() && attempts.isEmpty(nowMs);
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

    /** The engine comes back after a pause, without what its cache held: it warms up for as long as its service needs. */
    void restartSlowStart(FleetConfig.Service service, long nowMs) {
        long warmupMs = service == null ? 0 : (long) (service.warmupS() * 1000);
        slowStart.extend(nowMs + warmupMs + 1000, nowMs);
    }
}
