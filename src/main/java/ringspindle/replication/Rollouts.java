package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import ringspindle.api.Outcome;
import ringspindle.config.ConfigError;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.State;

/** Orders on roll-outs and what they make of the control state. Pure. */
final class Rollouts {
    private Rollouts() {}

    static Content.Decision decide(State s, Call c) {
        Validated<JsonObject> body = FleetConfig.json(c.body());
        if (!(body instanceof Validated.Valid<JsonObject> good)) {
            return refused("not a whole JSON object");
        }
        JsonObject o = good.value();
        Mark m = Content.mark(s, MarkKind.ROLLOUT, c.arg());
        Rollout now = m == null ? null : Rollout.read(m.value());
        try {
            return decide(s, c, o, now);
        } catch (ClassCastException | NullPointerException | ArithmeticException x) {
            return refused("a field is missing or of the wrong type");
        }
    }

    private static Content.Decision decide(State s, Call c, JsonObject o, Rollout now) {
        String order = o.getString("order");
        Content.Decision decision = decide(s, c, o, now, order);
        // an operator's order that was held up must not undo a newer one; the duty's own orders name their epoch
        boolean operators = !o.containsKey("epoch");
        return operators && decision.op() != null && Content.overtaken(c, Content.mark(s, MarkKind.ROLLOUT, c.arg()))
                ? Content.outcome(Outcome.UNCLEAR)
                : decision;
    }

    private static Content.Decision decide(State s, Call c, JsonObject o, Rollout now, String order) {
        boolean open =
                now != null && (now.state() == Rollout.Standing.RUNNING || now.state() == Rollout.Standing.PAUSED);
        switch (order) {
            case "start": {
                long target = o.getJsonNumber("target").longValueExact();
                int atOnce = o.getInt("atOnce", 1);
                double floor = o.get("floor") instanceof JsonNumber n ? n.doubleValue() : 0.5;
                int patienceS = o.getInt("patienceS", 120);
                if (atOnce < 1 || floor < 0 || floor >= 1 || patienceS < 1 || target < 0) {
                    return refused("atOnce from 1, floor from 0 to below 1, patienceS from 1, target from 0");
                }
                if (open) {
                    boolean same = now.target() == target && now.atOnce() == atOnce && now.floor() == floor;
                    return same ? Content.outcome(Outcome.TAKEN) : Content.outcome(Outcome.CLASH);
                }
                if (!hasService(s, c.arg())) {
                    return refused(new ConfigError.UnknownService("of the roll-out", c.arg()).text());
                }
                long from = o.get("from") instanceof JsonNumber n ? n.longValue() : -1;
                return write(
                        c,
                        new Rollout(
                                c.arg(),
                                target,
                                from,
                                atOnce,
                                floor,
                                patienceS,
                                Rollout.Standing.RUNNING,
                                "",
                                s.lineage(),
                                List.of(),
                                List.of()));
            }
            case "resume":
                return now == null
                        ? Content.outcome(Outcome.NO_SUCH)
                        : now.state() == Rollout.Standing.RUNNING
                                ? Content.outcome(Outcome.TAKEN)
                                : !open
                                        ? Content.outcome(Outcome.CLASH)
                                        : write(c, now.with(Rollout.Standing.RUNNING, "", now.turn(), now.swapped()));
            case "abort":
                return now == null
                        ? Content.outcome(Outcome.NO_SUCH)
                        : !open
                                // written again: the newer mark fences a start that is still on its way
                                ? write(c, now)
                                : write(c, now.with(Rollout.Standing.ABORTED, "", List.of(), now.swapped()));
            case "back":
                if (now == null) {
                    return Content.outcome(Outcome.NO_SUCH);
                }
                if (now.from() < 0) {
                    return refused("it is not known which checkpoint to turn back to");
                }
                return write(
                        c,
                        new Rollout(
                                now.service(),
                                now.from(),
                                now.target(),
                                now.atOnce(),
                                now.floor(),
                                now.patienceS(),
                                Rollout.Standing.RUNNING,
                                "",
                                s.lineage(),
                                now.turn(),
                                List.of()));
            default:
                return duty(s, c, o, now, order);
        }
    }

    /** Orders of the duty's holder; whoever holds an older epoch is refused. */
    private static Content.Decision duty(State s, Call c, JsonObject o, Rollout now, String order) {
        if (now == null) {
            return Content.outcome(Outcome.NO_SUCH);
        }
        if (o.getJsonNumber("epoch").longValue() != s.lineage() || now.state() != Rollout.Standing.RUNNING) {
            return Content.outcome(Outcome.CLASH);
        }
        String id = o.getString("id", "");
        List<String> turn = new ArrayList<>(now.turn());
        List<String> swapped = new ArrayList<>(now.swapped());
        switch (order) {
            case "turn":
                if (turn.contains(id)) {
                    return Content.outcome(Outcome.TAKEN);
                }
                if (turn.size() >= now.atOnce()) {
                    return Content.outcome(Outcome.CLASH);
                }
                turn.add(id);
                return write(c, now.with(now.state(), "", turn, swapped));
            case "swapped":
            case "lost":
                if (!turn.remove(id)) {
                    return Content.outcome(Outcome.TAKEN);
                }
                if (order.equals("swapped")) {
                    swapped.add(id);
                }
                return write(c, now.with(now.state(), "", turn, swapped));
            case "pause":
                return write(c, now.with(Rollout.Standing.PAUSED, o.getString("cause", ""), turn, swapped));
            case "done":
                return turn.isEmpty()
                        ? write(c, now.with(Rollout.Standing.DONE, "", turn, swapped))
                        : Content.outcome(Outcome.CLASH);
            default:
                return refused("no such order: " + order);
        }
    }

    private static boolean hasService(State s, String name) {
        return s.config().length > 0
                && FleetConfig.read(FleetConfig.unpack(s.config())) instanceof Validated.Valid<FleetConfig> c
                && c.value().service(name) != null;
    }

    private static Content.Decision write(Call c, Rollout r) {
        return Content.op(c, 0, 0, r.write().getBytes(UTF_8));
    }

    private static Content.Decision refused(String text) {
        return new Content.Decision(null, Outcome.INVALID, text.getBytes(UTF_8));
    }
}
