package ringspindle.loadbalancing;

import java.util.List;
import java.util.Set;
import ringspindle.api.Outcome;
import ringspindle.config.AllowedRegions;
import ringspindle.config.FleetConfig;
import ringspindle.config.NodeConfig;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.Lease;
import ringspindle.protocol.Message.Load;
import ringspindle.protocol.NodeId;
import ringspindle.retry.AttemptOutcome;
import ringspindle.routing.CostWeights;
import ringspindle.routing.FallbackTarget;
import ringspindle.telemetry.LoadSummary;
import ringspindle.telemetry.RequestKind;

/**
 * Selects the engine that serves a request, considering which engines are permitted and have capacity, what the request
 * is expected to cost there, and which engine has the prompt's prefix cached. Engine state comes from the control plane
 * and from the events of this node's own requests. Thread safe; no method blocks.
 *
 * <pre>{@code
 * Selection selection = loadBalancer.select(request, nowMs);
 * if (selection instanceof SelectedEngine engine) {
 *     loadBalancer.onRequestSent(engine.id(), nowMs);
 *     ...
 *     loadBalancer.onAttemptEnded(engine.id(), request, AttemptOutcome.ANSWERED, firstByteMs, nowMs);
 * }
 * }</pre>
 */
public interface LoadBalancer {
    /** Time to first byte in {@link #onAttemptEnded} if the peer had closed the idle connection that was used. */
    long STALE_CONNECTION = -2;

    /**
     * Requirements of a request on the engine to select.
     *
     * @param service name of the service whose engines may serve the request
     * @param allowedRegions regions whose engines may serve the request
     * @param affinityKey hash of the shared prompt prefix; 0 if the prompt shares none
     * @param sharedPrefixTokens tokens of the shared prefix, which an engine that has the prefix cached does not
     *     process
     * @param uncachedTokens other tokens of the prompt, which every engine must process
     * @param outputTokens expected tokens of the response
     * @param excludedEngineIds engines that were already tried
     * @param weightsVersion version of the model weights that the engine must run; negative for any
     * @param random uniformly distributed bits, for tie-breaking and sampling
     * @param preference preference from a serving rule, or null
     * @param costWeights weights of the cost model
     */
    record SelectionRequest(
            String service,
            AllowedRegions allowedRegions,
            long affinityKey,
            int sharedPrefixTokens,
            int uncachedTokens,
            int outputTokens,
            Set<String> excludedEngineIds,
            long weightsVersion,
            long random,
            RoutingPreference preference,
            CostWeights costWeights) {
        /** Returns the tokens that count as in flight at the engine while the request runs. */
        int tokensInFlight() {
            return uncachedTokens + outputTokens;
        }

        /** Returns the kind under which load summaries count the request. */
        RequestKind kind() {
            return RequestKind.of(uncachedTokens + sharedPrefixTokens, sharedPrefixTokens);
        }
    }

    /**
     * Preference from a serving rule. It restricts the engines that may be selected and never adds any.
     *
     * @param reservedShare share of an engine's capacity that is reserved for other request classes, 0 to 1
     * @param maxImbalance load above which the preferred engine counts as busy, as a multiple of the mean load
     * @param whenBusy ordered fallback targets for a busy preferred engine
     * @param whenUnavailable ordered fallback targets for an unavailable preferred engine
     * @param waitedMs how long the request has already waited for capacity, in ms
     */
    record RoutingPreference(
            double reservedShare,
            double maxImbalance,
            List<FallbackTarget> whenBusy,
            List<FallbackTarget> whenUnavailable,
            long waitedMs) {}

    /** Result of {@link #select}. */
    sealed interface Selection {}

    /**
     * A selected engine.
     *
     * @param connectionLimit limit on the connections from this node to the engine
     */
    record SelectedEngine(String id, NodeId address, String zone, ConnectionLimit connectionLimit)
            implements Selection {}

    /**
     * No engine can take the request now.
     *
     * @param outcome {@link Outcome#NO_ROOM} if a permitted engine is in service, {@link Outcome#NO_ENGINE} if none is
     * @param retryAfterMs delay after which the client may retry, in ms
     */
    record NoCapacity(Outcome outcome, long retryAfterMs) implements Selection {}

    /** A health probe that is due now. */
    record HealthProbe(String id, NodeId address, String healthPath) {}

    /** Applies a new fleet configuration. */
    void updateConfiguration(FleetConfig configuration);

    /** Applies new settings of this node. */
    void updateSettings(NodeConfig settings);

    /**
     * Applies a report of an engine. A report whose version is not newer than the last one is ignored.
     *
     * @param nowMs monotonic time of this node, in ms; as in all methods, it must not go backwards
     */
    void updateEngine(String id, Engine report, long version, long nowMs);

    /**
     * Marks an engine as draining: it gets no new requests and does not return to service.
     *
     * @param removed whether the engine is permanently removed; its state is dropped when the last request of this node
     *     at the engine has ended
     */
    void markDraining(String id, boolean removed, long nowMs);

    /** Starts or ends the evacuation of a zone; when it ends, the engines of the zone warm up. */
    void setZoneEvacuated(String zone, boolean evacuated, long nowMs);

    /** Sets whether control nodes miss an engine's heartbeats. */
    void setHeartbeatMissing(String id, boolean missing, long nowMs);

    /** Applies a lease from the control plane, which has the number of nodes that share the quotas. */
    void updateLease(Lease lease, long nowMs);

    /** Applies the load of all nodes, aggregated by the control plane. Updates may come at any time or not at all. */
    void updateRegionLoad(Load load, long nowMs);

    /** Summarizes this node's attempts by engine: those within the sliding window and those in flight. */
    LoadSummary summarizeLoad(long nowMs);

    /** Sets the engines of a service that a rollout is updating: they get no new requests, and warm up afterwards. */
    void setEnginesInRollout(String service, Set<String> ids, long nowMs);

    /** Excludes the engines of a service that run that software version; empty to exclude none. */
    void setExcludedSoftwareVersion(String service, String version);

    /** Returns how many requests the engines of a service that are in service now can run concurrently. */
    int capacityInService(String service);

    /** Selects an engine and counts the request as running there; {@link #onAttemptEnded} must follow. */
    Selection select(SelectionRequest request, long nowMs);

    /** Records that the request was sent to the engine. */
    void onRequestSent(String id, long nowMs);

    /** Records that bytes were received from the engine. */
    void onResponseBytes(String id, long nowMs);

    /**
     * Records the end of the attempt at an engine that {@link #select} returned.
     *
     * @param request the request as given to {@link #select}
     * @param firstByteMs time to first byte, in ms; negative if no byte was received. {@link #STALE_CONNECTION} if the
     *     peer had closed the idle connection that was used, which does not count against the engine
     */
    void onAttemptEnded(String id, SelectionRequest request, AttemptOutcome outcome, long firstByteMs, long nowMs);

    /** Records a client's request for a service, which adds to the retry budget. */
    void onRequestReceived(String service, long nowMs);

    /** Takes one retry from this node's budget for the service; false if none is left. */
    boolean tryAcquireRetry(String service, long nowMs);

    /**
     * Returns the health probes of ejected engines that are due; the interval between the probes of an engine grows.
     */
    List<HealthProbe> dueHealthProbes(long nowMs);

    /**
     * Records the result of a health probe.
     *
     * @param healthy whether the engine reported that it is in service
     * @param remainingWarmupMs remaining warm-up time that the engine reported, in ms; 0 for none
     */
    void onHealthProbeResult(String id, boolean healthy, int remainingWarmupMs, long nowMs);

    /**
     * Statistics of the load balancer, for metrics.
     *
     * @param known engines in the table
     * @param ejected engines that get no requests until a health probe succeeds
     * @param draining engines that get no new requests
     * @param heartbeatMissing engines whose heartbeats control nodes miss
     * @param ejections ejections since process start
     * @param retriesGranted retries that the budget granted since process start
     * @param retriesRefused retries that the budget refused since process start
     */
    record Stats(
            int known,
            int ejected,
            int draining,
            int heartbeatMissing,
            long ejections,
            long retriesGranted,
            long retriesRefused) {}

    /** Returns the current statistics. */
    Stats stats();

    /** Returns the ids of all known engines; connections to other engines can be closed. */
    Set<String> knownEngineIds();

    /** Creates a load balancer with an empty engine table. */
    static LoadBalancer create(NodeConfig settings) {
        return new EngineTableLoadBalancer(settings);
    }
}
