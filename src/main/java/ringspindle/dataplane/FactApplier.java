package ringspindle.dataplane;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.experiment.Experiment;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.logging.LogField;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Lease;
import ringspindle.proxy.Proxy;
import ringspindle.replication.Rollout;
import ringspindle.replication.VersionRollout;
import ringspindle.routing.ServingRules;
import ringspindle.transport.FatalErrors;

/** Puts new facts into force in load balancer and proxy. Without state; called in the order in which facts were learnt. */
final class FactApplier {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Of facts that cannot be put into force one is logged in so many seconds. */
    private static final int LOG_EVERY_S = 10;

    private final LoadBalancer loadBalancer;
    private final Proxy proxy;

    FactApplier(LoadBalancer loadBalancer, Proxy proxy) {
        this.loadBalancer = loadBalancer;
        this.proxy = proxy;
    }

    /**
     * Applies facts that were learnt together: what forbids comes before what allows. One that fails does not hold up the
     * others.
     *
     * @return the facts that are not in force, as applying them failed
     */
    List<Fact> apply(List<Fact> facts, long nowMs) {
        List<Fact> failed = new ArrayList<>();
        for (Fact fact : facts) {
            attempt(fact, () -> applyRestriction(fact, nowMs), failed);
        }
        for (Fact fact : facts) {
            attempt(fact, () -> applyPermission(fact, nowMs), failed);
        }
        return failed;
    }

    /** An {@link Error} ends the process: a node that goes on without the fact would serve old state and look well. */
    private static void attempt(Fact fact, Runnable application, List<Fact> failed) {
        try {
            application.run();
        } catch (RuntimeException e) {
            failed.add(fact);
            LOG.atSevere().withCause(e).atMostEvery(LOG_EVERY_S, TimeUnit.SECONDS).log(
                    "%s %s, version %s, cannot be put into force", fact.kind(), fact.key(), fact.version());
        } catch (Error e) {
            FatalErrors.end("putting facts into force", e);
        }
    }

    private void applyRestriction(Fact fact, long nowMs) {
        switch (fact.kind()) {
            case LEAVING -> loadBalancer.markDraining(fact.key(), text(fact).equals("gone"), nowMs);
            case EVACUATED ->
                loadBalancer.setZoneEvacuated(fact.key(), text(fact).equals("on"), nowMs);
            case ROLLOUT -> {
                Rollout rollout = Rollout.read(text(fact));
                loadBalancer.setEnginesInRollout(rollout.service(), new HashSet<>(rollout.swapping()), nowMs);
            }
            case VERSION -> {
                VersionRollout rollout = VersionRollout.read(text(fact));
                boolean serves = rollout.status() == VersionRollout.Status.COMPLETED;
                loadBalancer.setExcludedSoftwareVersion(rollout.service(), serves ? "" : rollout.targetRevision());
            }
            case LEASE -> loadBalancer.updateLease((Lease) Codec.decode(fact.value()), nowMs);
            default -> {
                // applied with the permissions, or of no use here
            }
        }
    }

    private void applyPermission(Fact fact, long nowMs) {
        switch (fact.kind()) {
            case CONFIG -> applyConfiguration(fact);
            case ENGINE ->
                loadBalancer.updateEngine(fact.key(), (Engine) Codec.decode(fact.value()), fact.version(), nowMs);
            case RULES -> applyRules(fact);
            case EXPERIMENT -> applyExperiment(fact);
            case SILENT -> loadBalancer.setHeartbeatMissing(fact.key(), fact.value()[0] == 1, nowMs);
            default -> {
                // applied with the restrictions, or of no use here
            }
        }
    }

    private void applyConfiguration(Fact fact) {
        if (FleetConfig.read(FleetConfig.unpack(fact.value())) instanceof Validated.Valid<FleetConfig> valid) {
            loadBalancer.updateConfiguration(valid.value());
            proxy.updateConfiguration(valid.value());
            LOG.atInfo().with(LogField.REVISION, valid.value().revision()).log("configuration in force");
        } else {
            LOG.atSevere().with(LogField.REVISION, fact.version()).log("configuration cannot be read here");
        }
    }

    /** What was counted of experiments that are over is of no use any more. */
    private void applyExperiment(Fact fact) {
        Experiment experiment = Experiment.read(text(fact));
        proxy.experiments().update(experiment, fact.version());
        Set<Long> open = new HashSet<>();
        proxy.experiments().all().stream().filter(Experiment::isOpen).forEach(each -> open.add(each.id()));
        proxy.outcomes().retain(open);
        LOG.atInfo().log(
                "experiment %s is %s, ramp %s", experiment.plan().name(), experiment.state(), experiment.ramp());
    }

    private void applyRules(Fact fact) {
        if (ServingRules.read(fact.value()) instanceof Validated.Valid<ServingRules> valid) {
            proxy.updateRules(valid.value());
            LOG.atInfo().with(LogField.REVISION, valid.value().revision()).log("serving rules in force");
        } else {
            LOG.atSevere().log("serving rules of seq %s cannot be read here", fact.version());
        }
    }

    private static String text(Fact fact) {
        return new String(fact.value(), UTF_8);
    }
}
