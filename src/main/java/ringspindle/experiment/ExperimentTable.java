package ringspindle.experiment;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The experiments in force at a data node. A node that no control node has vouched for within {@link #LEASE_MS} cannot know of
 * a halt: until it is in touch again all its requests follow the default policy, and none of them is counted. Thread safe.
 */
public final class ExperimentTable {
    /** For so long after the last word of a control node with a majority sides are followed, in ms of the steady clock. */
    public static final int LEASE_MS = 5000;

    private record Versioned(long version, Experiment experiment) {}

    private final Map<String, Versioned> byName = new TreeMap<>();
    /** Replaced whole at each change, so that requests read it without a lock. */
    private volatile List<Experiment> inForce = List.of();

    private volatile long renewedMs = Long.MIN_VALUE / 2;

    /** Takes what is committed of an experiment; an older version is ignored. */
    public synchronized void update(Experiment experiment, long version) {
        Versioned known = byName.get(experiment.plan().name());
        if (known != null && known.version() >= version) {
            return;
        }
        byName.put(experiment.plan().name(), new Versioned(version, experiment));
        inForce = byName.values().stream().map(Versioned::experiment).toList();
    }

    /** A control node that is in touch with a majority was heard just now. */
    public void renew(long nowMs) {
        renewedMs = nowMs;
    }

    /** True while sides may be followed. */
    private boolean isLeased(long nowMs) {
        return nowMs - renewedMs < LEASE_MS;
    }

    /** All experiments that this node knows, over or not. */
    public Collection<Experiment> all() {
        return inForce;
    }

    /**
     * What the experiments say of a request; empty if none does, which is the ordinary case.
     *
     * @param route name of its route
     * @param promptPrefix its {@code Prompt-Prefix}, null without one
     */
    public Optional<Assignment> assign(String route, String promptPrefix, long nowMs) {
        for (Experiment experiment : inForce) {
            int index = experiment.plan().routes().indexOf(route);
            boolean hasEffect = experiment.isOpen() || !experiment.survivor().isEmpty();
            if (index >= 0 && hasEffect) {
                return assign(experiment, index, SessionAssignment.sessionOf(promptPrefix), nowMs);
            }
        }
        return Optional.empty();
    }

    private Optional<Assignment> assign(Experiment experiment, int route, String session, long nowMs) {
        if (!experiment.isOpen()) {
            return Optional.of(
                    new Assignment(experiment.id(), SessionAssignment.OUTSIDE, route, 0, experiment.finalPolicy()));
        }
        if (session.isEmpty()) {
            return Optional.empty();
        }
        int side = experiment.sideOf(session);
        if (side == SessionAssignment.OUTSIDE || !isLeased(nowMs)) {
            return Optional.empty();
        }
        int group = SessionAssignment.group(experiment.plan().salt(), session);
        Policy policy = experiment.plan().sides().get(side).policy();
        return Optional.of(new Assignment(experiment.id(), side, route, group, policy));
    }
}
