package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.Hashing;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import ringspindle.api.Outcome;
import ringspindle.config.ConfigError;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.Op;
import ringspindle.protocol.Message.State;
import ringspindle.routing.ServingRules;

/** What the control state holds and how calls change it. Pure. */
final class Content {
    /** Orders on configurations that are known again when they are sent again. */
    static final int PAST_MAX = 1024;
    /** In place of a revision: the order was on serving rules. */
    private static final long NO_REVISION = -1;

    private static final int LEAVING_MAX = 400;

    /** What a call comes to: an op to commit, or an outcome at once. */
    record Decision(Op op, Outcome outcome, byte[] body) {}

    private FleetConfig parsed;

    Decision decide(State s, Call c) {
        switch (CallKind.of(c.kind())) {
            case PUT:
            case PATCH:
                return decideConfig(s, c);
            case EVACUATE:
            case RESTORE: {
                boolean on = c.kind() == CallKind.EVACUATE.code();
                Mark m = mark(s, MarkKind.EVACUATED, c.arg());
                boolean same = (m != null && m.value().equals("on")) == on;
                // written also if it is so already: the newer mark fences an opposite order that is still on its way
                return !same && overtaken(c, m) ? outcome(Outcome.UNCLEAR) : op(c, 0, 0, c.body());
            }
            case DRAIN:
            case GONE: {
                Mark m = mark(s, MarkKind.LEAVING, c.arg());
                if (m != null && (m.value().equals("gone") || c.kind() == CallKind.DRAIN.code())) {
                    return outcome(Outcome.TAKEN);
                }
                return op(c, 0, 0, c.body());
            }
            case ROLLOUT:
                return Rollouts.decide(s, c);
            case RULES:
                return decideRules(s, c);
            default:
                return outcome(Outcome.NO_SUCH);
        }
    }

    /** True if what the order would replace is newer than what was known when it was taken: it was held up on its way. */
    static boolean overtaken(Call c, Mark replaced) {
        return replaced != null && replaced.version() > c.base();
    }

    static Decision outcome(Outcome o) {
        return new Decision(null, o, new byte[0]);
    }

    static Decision op(Call c, long revision, long digest, byte[] body) {
        return new Decision(new Op(c.kind(), c.base(), revision, digest, c.arg(), body), null, null);
    }

    private Decision decideConfig(State s, Call c) {
        long digest = digest(c);
        if (takenBefore(s, digest)) {
            return outcome(Outcome.TAKEN);
        }
        Validated<FleetConfig> checked;
        if (c.kind() == CallKind.PUT.code()) {
            checked = FleetConfig.read(c.body());
        } else {
            Validated<jakarta.json.JsonObject> patch = FleetConfig.json(c.body());
            if (patch instanceof Validated.Invalid<jakarta.json.JsonObject> bad) {
                return invalid(bad.problems());
            }
            if (s.config().length == 0 || c.base() != s.revision()) {
                return otherVersion(s, c);
            }
            checked = current(s).patched(((Validated.Valid<jakarta.json.JsonObject>) patch).value());
        }
        if (checked instanceof Validated.Invalid<FleetConfig> bad) {
            return invalid(bad.problems());
        }
        FleetConfig next = ((Validated.Valid<FleetConfig>) checked).value();
        if (c.base() != s.revision()) {
            return otherVersion(s, c);
        }
        if (next.revision() <= s.revision()) {
            return invalid(List.of(new ConfigError.OldRevision(next.revision(), s.revision())));
        }
        return op(c, next.revision(), digest, next.packed());
    }

    /**
     * An order's identity: 64 bits of SHA-256 over kind, base and body as sent. Two of the {@link #PAST_MAX} kept and a new
     * one meet by chance less than once in 10^16 orders; callers are trusted not to look for a collision.
     */
    private static long digest(Call c) {
        return Hashing.sha256()
                .newHasher()
                .putInt(c.kind())
                .putLong(c.base())
                .putBytes(c.body())
                .hash()
                .asLong();
    }

    private static boolean takenBefore(State s, long digest) {
        for (long[] p : s.past()) {
            if (p[1] == digest) {
                return true;
            }
        }
        return false;
    }

    /** A stale base is refused only while it is certain that the order was not taken long ago and then forgotten. */
    private static Decision otherVersion(State s, Call c) {
        boolean forgotten = s.past().size() >= PAST_MAX && c.base() < oldestRevision(s);
        return outcome(forgotten ? Outcome.UNCLEAR : Outcome.OTHER_VERSION);
    }

    private static long oldestRevision(State s) {
        for (long[] p : s.past()) {
            if (p[0] != NO_REVISION) {
                return p[0];
            }
        }
        return s.revision();
    }

    private static List<long[]> remember(List<long[]> past, long revision, long digest) {
        List<long[]> out = new ArrayList<>(past);
        out.add(new long[] {revision, digest});
        if (out.size() > PAST_MAX) {
            out.remove(0);
        }
        return out;
    }

    /** Serving rules on top of the revision they were made for; checked against the configuration in force. */
    private Decision decideRules(State s, Call c) {
        Validated<ServingRules> checked = ServingRules.read(c.body());
        if (checked instanceof Validated.Invalid<ServingRules> bad) {
            return invalid(bad.problems());
        }
        ServingRules next = ((Validated.Valid<ServingRules>) checked).value();
        Mark m = mark(s, MarkKind.RULES, "");
        ServingRules now = m == null
                ? null
                : ((Validated.Valid<ServingRules>) ServingRules.read(m.value().getBytes(UTF_8))).value();
        long revision = now == null ? 0 : now.revision();
        if (now != null && now.digest() == next.digest() || takenBefore(s, digest(c))) {
            return outcome(Outcome.TAKEN);
        }
        if (c.base() != revision) {
            return outcome(Outcome.OTHER_VERSION);
        }
        if (next.revision() <= revision) {
            return invalid(List.of(new ConfigError.OldRevision(next.revision(), revision)));
        }
        List<ConfigError> problems = next.problems(s.config().length == 0 ? null : current(s), Set.of());
        return problems.isEmpty() ? op(c, next.revision(), digest(c), next.bytes()) : invalid(problems);
    }

    private FleetConfig current(State s) {
        if (parsed == null || parsed.revision() != s.revision()) {
            parsed = ((Validated.Valid<FleetConfig>) FleetConfig.read(FleetConfig.unpack(s.config()))).value();
        }
        return parsed;
    }

    private static Decision invalid(List<ConfigError> problems) {
        StringBuilder b = new StringBuilder();
        problems.forEach(p -> b.append(b.length() == 0 ? "" : "; ").append(p.text()));
        return new Decision(null, Outcome.INVALID, b.toString().getBytes(UTF_8));
    }

    static Mark mark(State s, MarkKind kind, String key) {
        for (Mark m : s.marks()) {
            if (kind.marks(m) && m.key().equals(key)) {
                return m;
            }
        }
        return null;
    }

    /** The state after an op; the same on every member. */
    static State apply(State s, Op op) {
        long seq = s.seq() + 1;
        List<long[]> past = s.past();
        List<Mark> marks = s.marks();
        byte[] config = s.config();
        long revision = s.revision();
        switch (CallKind.of(op.kind())) {
            case PUT:
            case PATCH:
                past = remember(past, op.revision(), op.digest());
                config = op.body();
                revision = op.revision();
                break;
            case EVACUATE:
                marks = marked(marks, new Mark(MarkKind.EVACUATED.code(), op.arg(), seq, "on"));
                break;
            case RESTORE:
                marks = marked(marks, new Mark(MarkKind.EVACUATED.code(), op.arg(), seq, "off"));
                break;
            case DRAIN:
                marks = marked(marks, new Mark(MarkKind.LEAVING.code(), op.arg(), seq, "draining"));
                break;
            case GONE:
                marks = marked(marks, new Mark(MarkKind.LEAVING.code(), op.arg(), seq, "gone"));
                break;
            case ROLLOUT:
                marks = marked(marks, new Mark(MarkKind.ROLLOUT.code(), op.arg(), seq, new String(op.body(), UTF_8)));
                break;
            case RULES:
                past = remember(past, NO_REVISION, op.digest());
                marks = marked(marks, new Mark(MarkKind.RULES.code(), "", seq, new String(op.body(), UTF_8)));
                break;
            default:
                break;
        }
        return new State(s.lineage(), seq, revision, past, marks, config);
    }

    private static List<Mark> marked(List<Mark> marks, Mark m) {
        List<Mark> out = new ArrayList<>(marks.size() + 1);
        int leaving = 0;
        for (Mark o : marks) {
            if (o.kind() != m.kind() || !o.key().equals(m.key())) {
                out.add(o);
                leaving += MarkKind.LEAVING.marks(o) ? 1 : 0;
            }
        }
        out.add(m);
        for (int i = 0; leaving > LEAVING_MAX && i < out.size(); ) {
            if (MarkKind.LEAVING.marks(out.get(i))) {
                out.remove(i);
                leaving--;
            } else {
                i++;
            }
        }
        return out;
    }
}
