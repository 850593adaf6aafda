package ringspindle.controlplane;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.flogger.FluentLogger;
import jakarta.json.JsonArray;
import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.spi.JsonProvider;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import ringspindle.api.Operation;
import ringspindle.api.Outcome;
import ringspindle.config.ConfigError;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.config.Validated.Valid;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.NodeId;
import ringspindle.proxy.BoundedBody;
import ringspindle.replication.CallKind;
import ringspindle.rollout.RolloutPlanner;
import ringspindle.routing.ServingRules;

/** The calls of engines, operators and consumers on a control node. */
final class ControlApiHandler extends Handler.Abstract {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final JsonProvider JSON = JsonProvider.provider();
    private static final int BODY_MAX = 16 << 20;
    private static final int INSTANCE_MAX = 64 << 10;
    private static final byte[] NONE = {};

    private final ControlNode control;

    ControlApiHandler(ControlNode control) {
        this.control = control;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = request.getHttpURI().getPath();
        String method = request.getMethod();
        Operation what = Operation.of(method, path);
        if (what == null) {
            return end(response, callback, Outcome.NO_SUCH, NONE);
        }
        String arg = Operation.arg(path);
        if (restsOnFacts(what) && !control.upToDate()) {
            return end(response, callback, Outcome.UNCLEAR, NONE);
        }
        switch (what) {
            case RESOLVE:
                return resolve(request, response, callback);
            case CONFIG_GET:
                control.call(
                        CallKind.READ,
                        0,
                        "",
                        NONE,
                        (o, body) -> end(response, callback, o, o == Outcome.TAKEN ? FleetConfig.unpack(body) : NONE));
                return true;
            case CONFIG_PUT:
                return configuration(request, response, callback, CallKind.PUT);
            case CONFIG_PATCH:
                return configuration(request, response, callback, CallKind.PATCH);
            case EVACUATE:
            case RESTORE:
                if (!control.inTouch()) {
                    return end(response, callback, Outcome.UNCLEAR, NONE);
                }
                if (!control.config().regionOfZone().containsKey(arg)) {
                    return end(response, callback, Outcome.NO_SUCH, NONE);
                }
                control.call(
                        what == Operation.EVACUATE ? CallKind.EVACUATE : CallKind.RESTORE,
                        0,
                        arg,
                        NONE,
                        (o, body) -> end(response, callback, o, NONE));
                return true;
            case BEAT:
                return instance(request, response, callback, arg);
            case GONE:
                control.call(CallKind.GONE, 0, arg, NONE, (o, body) -> end(response, callback, o, NONE));
                return true;
            case RULES_GET:
                control.call(
                        CallKind.READ,
                        0,
                        CallKind.RULES_ARGUMENT,
                        NONE,
                        (o, body) -> end(response, callback, o, o == Outcome.TAKEN ? body : NONE));
                return true;
            case RULES_PUT:
                return rules(request, response, callback);
            case LEDGER:
                return end(
                        response,
                        callback,
                        Outcome.TAKEN,
                        FleetStatus.ledger(control).toString().getBytes(UTF_8));
            case ROLLOUTS:
                return end(
                        response,
                        callback,
                        Outcome.TAKEN,
                        FleetStatus.rollouts(control).toString().getBytes(UTF_8));
            case ROLLOUT:
                return rollout(request, response, callback, arg);
            case STATUS:
                return end(
                        response,
                        callback,
                        Outcome.TAKEN,
                        FleetStatus.status(control).toString().getBytes(UTF_8));
            case ENGINES:
                return end(
                        response,
                        callback,
                        Outcome.TAKEN,
                        FleetStatus.engines(control).toString().getBytes(UTF_8));
            default:
                return end(response, callback, Outcome.NO_SUCH, NONE);
        }
    }

    /** Answers from what this node knows of the whole system; {@link Operation#STATUS} says itself how far it counts. */
    private static boolean restsOnFacts(Operation what) {
        return what == Operation.LEDGER || what == Operation.ROLLOUTS || what == Operation.ENGINES;
    }

    private boolean resolve(Request request, Response response, Callback callback) {
        Fields q = Request.extractQueryParameters(request);
        List<String> addresses = control.frontends(value(q, "region"), value(q, "zone"));
        if (addresses.isEmpty()) {
            return end(response, callback, Outcome.UNCLEAR, NONE);
        }
        JsonArrayBuilder a = JSON.createArrayBuilder();
        addresses.forEach(a::add);
        JsonObject o = JSON.createObjectBuilder()
                .add("addresses", a)
                .add("ttlS", Math.min(2, control.config().ttlS()))
                .build();
        return end(response, callback, Outcome.TAKEN, o.toString().getBytes(UTF_8));
    }

    private static String value(Fields q, String name) {
        Fields.Field f = q.get(name);
        return f == null ? "" : f.getValue();
    }

    private boolean configuration(Request request, Response response, Callback callback, CallKind kind) {
        long base = base(request);
        if (base < 0) {
            return end(response, callback, Outcome.MALFORMED, NONE);
        }
        body(
                request,
                BODY_MAX,
                response,
                callback,
                b -> control.call(kind, base, "", b, (o, text) -> end(response, callback, o, text)));
        return true;
    }

    /** The version an order builds on, 0 for the first, below 0 if it cannot be read. */
    private static long base(Request request) {
        try {
            String m = request.getHeaders().get(HttpHeader.IF_MATCH);
            return m == null ? 0 : Long.parseLong(m.replace("\"", "").trim());
        } catch (NumberFormatException x) {
            return -1;
        }
    }

    /** Serving rules: regions are known here, routes and models to the head of the chain. */
    private boolean rules(Request request, Response response, Callback callback) {
        long base = base(request);
        if (base < 0) {
            return end(response, callback, Outcome.MALFORMED, NONE);
        }
        body(request, ServingRules.BYTES_MAX, response, callback, b -> {
            if (!control.inTouch()) {
                end(response, callback, Outcome.UNCLEAR, NONE);
                return;
            }
            Validated<ServingRules> checked = ServingRules.read(b);
            List<ConfigError> problems = checked instanceof Validated.Invalid<ServingRules> bad
                    ? bad.problems()
                    : ((Valid<ServingRules>) checked)
                            .value()
                            .problems(
                                    null,
                                    new TreeSet<>(
                                            control.config().regionOfZone().values()));
            if (!problems.isEmpty()) {
                end(
                        response,
                        callback,
                        Outcome.INVALID,
                        problems.stream()
                                .map(ConfigError::text)
                                .collect(java.util.stream.Collectors.joining("; "))
                                .getBytes(UTF_8));
                return;
            }
            control.call(CallKind.RULES, base, "", b, (o, text) -> end(response, callback, o, text));
        });
        return true;
    }

    private void body(Request request, int most, Response response, Callback callback, Consumer<byte[]> then) {
        new BoundedBody(
                        request,
                        most,
                        b -> {
                            if (b == null) {
                                end(response, callback, Outcome.TOO_LARGE, NONE);
                            } else {
                                then.accept(b);
                            }
                        },
                        x -> end(response, callback, Outcome.MALFORMED, NONE))
                .run();
    }

    private boolean instance(Request request, Response response, Callback callback, String id) {
        body(request, INSTANCE_MAX, response, callback, b -> {
            if (!control.quorate()) {
                end(response, callback, Outcome.UNCLEAR, NONE);
                return;
            }
            Validated<JsonObject> j = FleetConfig.json(b);
            if (!(j instanceof Valid<JsonObject> good)) {
                end(response, callback, Outcome.MALFORMED, NONE);
                return;
            }
            JsonObject o = good.value();
            boolean draining;
            String zone;
            try {
                long weights = -1;
                if (o.get("models") instanceof JsonArray a && !a.isEmpty()) {
                    weights = a.getJsonObject(0).getInt("revision", -1);
                }
                draining = o.getString("state", "ready").equals("draining");
                Engine e = new Engine(
                        o.getInt("capacity", 1),
                        o.get("warmupLeftMs") instanceof JsonNumber n ? n.intValue() : 0,
                        draining,
                        o.get("remainingMs") instanceof JsonNumber n ? n.intValue() : -1,
                        weights,
                        o.getString("service"),
                        NodeId.of(o.getString("address")).toString(),
                        o.getString("zone", ""),
                        o.getString("revision", ""));
                long seq = o.get("callSeq") instanceof JsonNumber n ? n.longValue() : 0;
                if (!control.heartbeat(id, e, seq)) {
                    end(response, callback, Outcome.UNCLEAR, NONE);
                    return;
                }
                zone = e.zone();
            } catch (RuntimeException x) {
                LOG.atInfo().log("engine %s registers badly: %s", id, x);
                end(response, callback, Outcome.MALFORMED, NONE);
                return;
            }
            String near = control.nearControl(zone);
            byte[] taken = (near.isEmpty() ? "{}" : "{\"heartbeatTarget\":\"" + near + "\"}").getBytes(UTF_8);
            if (!draining) {
                end(response, callback, Outcome.TAKEN, taken);
                return;
            }
            control.call(
                    CallKind.DRAIN,
                    0,
                    id,
                    NONE,
                    (out, text) -> end(response, callback, out, out == Outcome.TAKEN ? taken : NONE));
        });
        return true;
    }

    private boolean rollout(Request request, Response response, Callback callback, String service) {
        body(request, INSTANCE_MAX, response, callback, b -> {
            if (!control.upToDate()) {
                // whether a roll-out can start is judged by the engines known here
                end(response, callback, Outcome.UNCLEAR, NONE);
                return;
            }
            byte[] order = b;
            if (FleetConfig.json(b) instanceof Valid<JsonObject> good
                    && "start".equals(good.value().getString("order", ""))) {
                List<RolloutPlanner.Member> members = control.members(service);
                double floor = good.value().get("floor") instanceof JsonNumber n ? n.doubleValue() : 0.5;
                if (!RolloutPlanner.feasible(floor, members)) {
                    end(
                            response,
                            callback,
                            Outcome.INVALID,
                            "with this floor some region could never take its turn".getBytes(UTF_8));
                    return;
                }
                if (!good.value().containsKey("from")) {
                    long from = members.stream()
                            .mapToLong(RolloutPlanner.Member::weights)
                            .max()
                            .orElse(-1);
                    order = JSON.createObjectBuilder(good.value())
                            .add("from", from)
                            .build()
                            .toString()
                            .getBytes(UTF_8);
                }
            }
            control.call(CallKind.ROLLOUT, 0, service, order, (o, text) -> end(response, callback, o, text));
        });
        return true;
    }

    /** Writes the answer for an outcome; problems go out as JSON. */
    static boolean end(Response response, Callback callback, Outcome o, byte[] body) {
        response.setStatus(o.status());
        byte[] out = body;
        if (o != Outcome.TAKEN) {
            out = JSON.createObjectBuilder()
                    .add("error", o.name())
                    .add("text", new String(body, UTF_8))
                    .build()
                    .toString()
                    .getBytes(UTF_8);
        }
        if (o.status() == 503) {
            response.getHeaders().put("Retry-After", "0.2");
        }
        if (out.length > 0) {
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        }
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, out.length);
        response.write(true, ByteBuffer.wrap(out), callback);
        return true;
    }
}
