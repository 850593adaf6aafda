package ringspindle.loadbalancing;

import java.util.List;

/**
 * Engines that one request may be sent to.
 *
 * @param healthy permitted engines that are in service and not ejected, without most degraded ones, in table order
 * @param permitted engines that the request permits, in any state; empty if the request has no routing preference
 * @param anyAvailable whether any permitted engine is in service, even if it is ejected
 * @param anyReachable whether any permitted engine in service that is not ejected is reachable
 * @param maxConnections maximum number of connections from this node to one engine
 */
record Candidates(
        List<EngineEntry> healthy,
        List<EngineEntry> permitted,
        boolean anyAvailable,
        boolean anyReachable,
        int maxConnections) {
    /** Returns true if the engine is not skipped as unreachable and this node has a free connection to it. */
    boolean isSelectable(EngineEntry engine) {
        return !isSkippedAsUnreachable(engine) && engine.load().ownRunning() < maxConnections;
    }

    /** Returns true if the engine is unreachable while another candidate is reachable. */
    boolean isSkippedAsUnreachable(EngineEntry engine) {
        return anyReachable && !engine.isReachable();
    }
}
