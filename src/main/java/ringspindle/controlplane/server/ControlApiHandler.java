package ringspindle.controlplane.server;

import java.util.EnumMap;
import java.util.Map;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import ringspindle.api.Operation;
import ringspindle.api.Outcome;
import ringspindle.controlplane.ControlNode;
import ringspindle.controlplane.ServingState;

/** Handles HTTP requests from engines, operators and clients to a control node by dispatching each to its resource. */
public final class ControlApiHandler extends Handler.Abstract {
    private final ServingState serving;
    private final Map<Operation, ApiResource> resources = new EnumMap<>(Operation.class);

    /** Creates a handler that serves the state of the given node. */
    public ControlApiHandler(ControlNode node) {
        // resources forward requests and get the outcome in a callback: none of them blocks
        super(InvocationType.NON_BLOCKING);
        serving = node.serving();
        resources.put(Operation.RESOLVE, new ResolutionResource(node));
        ConfigurationResource configuration = new ConfigurationResource(node);
        resources.put(Operation.CONFIG_GET, configuration::get);
        resources.put(Operation.CONFIG_PUT, configuration::put);
        resources.put(Operation.CONFIG_PATCH, configuration::patch);
        EvacuationResource evacuation = new EvacuationResource(node);
        resources.put(Operation.EVACUATE, evacuation::evacuate);
        resources.put(Operation.RESTORE, evacuation::restore);
        InstanceResource instances = new InstanceResource(node);
        resources.put(Operation.BEAT, instances::heartbeat);
        resources.put(Operation.GONE, instances::remove);
        RulesResource rules = new RulesResource(node);
        resources.put(Operation.RULES_GET, rules::get);
        resources.put(Operation.RULES_PUT, rules::put);
        CounterResource counters = new CounterResource(node);
        resources.put(Operation.COUNTER_GET, counters::get);
        resources.put(Operation.COUNTER_ADD, counters::add);
        resources.put(Operation.COUNTERS, exchange -> exchange.respond(CountersPage.of(node)));
        VersionResource versions = new VersionResource(node);
        resources.put(Operation.VERSION_START, versions::start);
        resources.put(Operation.VERSION_GET, versions::get);
        RetirementResource retirements = new RetirementResource(node);
        resources.put(Operation.RETIRE, retirements::start);
        resources.put(Operation.RETIREMENT, retirements::get);
        resources.put(Operation.ROLLOUT, new RolloutResource(node));
        resources.put(Operation.EXPERIMENT, new ExperimentResource(node));
        resources.put(Operation.EXPERIMENTS, ifUpToDate(exchange -> exchange.respond(ExperimentsPage.of(node))));
        resources.put(Operation.STATUS, exchange -> exchange.respond(StatusPage.of(node)));
        resources.put(Operation.ENGINES, ifUpToDate(exchange -> exchange.respond(EnginesPage.of(node))));
        resources.put(Operation.LEDGER, ifUpToDate(exchange -> exchange.respond(LedgerPage.of(node))));
        resources.put(Operation.ROLLOUTS, ifUpToDate(exchange -> exchange.respond(RolloutsPage.of(node))));
    }

    /** Guards a resource that reports on the whole fleet; the status page itself tells how far its content is valid. */
    private ApiResource ifUpToDate(ApiResource resource) {
        return exchange -> {
            if (serving.upToDate()) {
                resource.handle(exchange);
            } else {
                exchange.respond(Outcome.UNCLEAR);
            }
        };
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = request.getHttpURI().getPath();
        Operation operation = Operation.of(request.getMethod(), path);
        ApiExchange exchange = new ApiExchange(request, response, callback, operation, Operation.arg(path));
        ApiResource resource = operation == null ? null : resources.get(operation);
        if (resource == null) {
            exchange.respond(Outcome.NO_SUCH);
        } else {
            resource.handle(exchange);
        }
        return true;
    }
}
