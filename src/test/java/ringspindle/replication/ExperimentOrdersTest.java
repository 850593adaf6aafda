package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import ringspindle.api.Outcome;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.experiment.Experiment;
import ringspindle.experiment.Experiment.Progress;
import ringspindle.experiment.Experiment.Standing;
import ringspindle.experiment.JudgeOrder;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.State;

/** Orders on experiments at the head of the chain: operators', and those of the judge in charge. */
class ExperimentOrdersTest {
    private static final String DOCUMENT = """
            {"name": "near", "routes": ["scrip"], "salt": "one", "ramp": 0.5,
             "sides": [{"name": "as-is", "share": 0.5}, {"name": "near", "share": 0.5}]}
            """;

    private final CommandDecider decider = new CommandDecider();
    private State state = configured();

    private static State configured() {
        String route =
                "{\"name\":\"%s\",\"host\":\"h\",\"pathPrefix\":\"/%s/\",\"routeKind\":\"streaming\",\"deadlineMs\":1000,"
                        + "\"targetLatencyMs\":100,\"priority\":0,\"service\":\"s\",\"maxAttempts\":1}";
        String json = "{\"revision\":3,\"routes\":[" + route.formatted("scrip", "scrip") + ","
                + route.formatted("digest", "digest") + "],\"services\":[{\"name\":\"s\",\"healthPath\":\"/h\","
                + "\"maxConnections\":9,\"warmupS\":0,\"warmupPerS\":0}]}";
        FleetConfig config = ((Validated.Valid<FleetConfig>) FleetConfig.read(json.getBytes(UTF_8))).value();
        State first = ControlState.initial();
        return new State(first.lineage(), 5, 3, first.past(), first.marks(), config.packed());
    }

    private static String start(String document) {
        return "{\"order\":\"start\",\"document\":" + document + "}";
    }

    private Outcome order(String name, String body, long base) {
        Decision decision = decider.decide(state, CallKind.EXPERIMENT.call(1, base, name, body.getBytes(UTF_8)));
        if (decision instanceof Decision.Commit commit) {
            state = ControlState.apply(state, commit.op());
            return Outcome.TAKEN;
        }
        return assertInstanceOf(Decision.Answer.class, decision).outcome();
    }

    private Outcome order(String name, String body) {
        return order(name, body, state.seq());
    }

    private Outcome judge(JudgeOrder order, long epoch, long id) {
        return order("near", new String(order.body(epoch, id), UTF_8));
    }

    private Experiment near() {
        Mark mark = ControlState.findMark(state, MarkKind.EXPERIMENT, "near");
        return Experiment.read(mark.value());
    }

    private static JudgeOrder look(int number) {
        return new JudgeOrder.Look(new Progress(number, 400, 6));
    }

    @Test
    void startedOnceAndKnownWhenSentAgain() {
        assertEquals(Outcome.TAKEN, order("near", start(DOCUMENT)));
        assertEquals(6, near().id());
        long sequence = state.seq();
        assertEquals(Outcome.TAKEN, order("near", start(DOCUMENT)));
        assertEquals(sequence, state.seq(), "sent again it changes nothing");
        assertEquals(Outcome.CLASH, order("near", start(DOCUMENT.replace("0.5,", "0.7,"))));
    }

    @Test
    void unknownNamesAndConflictsAreRefused() {
        assertEquals(Outcome.INVALID, order("near", start(DOCUMENT.replace("scrip", "scrap"))));
        assertEquals(Outcome.INVALID, order("far", start(DOCUMENT)), "another name in the path");
        assertEquals(Outcome.TAKEN, order("near", start(DOCUMENT)));
        String second = DOCUMENT.replace("\"name\": \"near\", \"routes\"", "\"name\": \"two\", \"routes\"");
        assertEquals(Outcome.INVALID, order("two", start(second)), "the salt was used");
        assertEquals(Outcome.INVALID, order("two", start(second.replace("one", "other"))), "the route is taken");
        String digests = second.replace("one", "other").replace("scrip", "digest");
        assertEquals(Outcome.TAKEN, order("two", start(digests)));
        assertEquals(Outcome.NO_SUCH, order("none", "{\"order\":\"pause\"}"));
    }

    @Test
    void rampOnlyGrows() {
        order("near", start(DOCUMENT));
        assertEquals(Outcome.TAKEN, order("near", "{\"order\":\"ramp\",\"to\":0.8}"));
        assertEquals(Outcome.INVALID, order("near", "{\"order\":\"ramp\",\"to\":0.7}"));
        assertEquals(Outcome.INVALID, order("near", "{\"order\":\"ramp\",\"to\":1.1}"));
        assertEquals(0.8, near().ramp());
    }

    @Test
    void judgeOfAnOlderEpochOrAnotherExperimentIsRefused() {
        order("near", start(DOCUMENT));
        long epoch = state.lineage();
        long id = near().id();
        JudgeOrder worse = new JudgeOrder.Worse("as-is", "near is worse");
        assertEquals(Outcome.CLASH, judge(worse, epoch - 1, id));
        assertEquals(Outcome.CLASH, judge(worse, epoch, id - 1));
        assertEquals(Outcome.TAKEN, judge(worse, epoch, id));
        assertEquals(Standing.HALTED, near().state());
        assertEquals("as-is", near().survivor());
        assertEquals(Outcome.CLASH, judge(worse, epoch, id), "it halts once");
        assertEquals(Outcome.CLASH, judge(new JudgeOrder.Over("late"), epoch, id));
    }

    @Test
    void eachLookIsTakenOnce() {
        order("near", start(DOCUMENT));
        long epoch = state.lineage();
        long id = near().id();
        assertEquals(Outcome.TAKEN, judge(look(1), epoch, id));
        assertEquals(Outcome.CLASH, judge(look(1), epoch, id));
        assertEquals(Outcome.CLASH, judge(look(3), epoch, id));
        assertEquals(Outcome.TAKEN, judge(look(2), epoch, id));
        assertEquals(2, near().progress().looks());
    }

    @Test
    void operatorsOrderThatWasHeldUpChangesNothing() {
        order("near", start(DOCUMENT));
        long known = state.seq();
        order("near", "{\"order\":\"pause\"}");
        assertEquals(Outcome.UNCLEAR, order("near", "{\"order\":\"promote\",\"side\":\"near\"}", known));
        assertEquals(Standing.PAUSED, near().state());
    }

    @Test
    void promotedPolicyStaysUntilAnotherExperimentReplacesIt() {
        order("near", start(DOCUMENT));
        assertEquals(Outcome.INVALID, order("near", "{\"order\":\"promote\",\"side\":\"moon\"}"));
        assertEquals(Outcome.TAKEN, order("near", "{\"order\":\"promote\",\"side\":\"near\"}"));
        assertEquals("near", near().survivor());
        assertTrue(!near().isOpen());
        assertEquals(Outcome.TAKEN, order("near", start(DOCUMENT.replace("one", "next"))));
        assertEquals(Standing.RUNNING, near().state());
    }

    @Test
    void malformedOrdersAreRefused() {
        order("near", start(DOCUMENT));
        for (String body : new String[] {"", "{}", "{\"order\":1}", "{\"order\":\"look\"}", "{\"order\":\"start\"}"}) {
            assertEquals(Outcome.INVALID, order("near", body), body);
        }
        assertEquals(Standing.RUNNING, near().state());
        Call unknown = CallKind.EXPERIMENT.call(1, 0, "near", "{\"order\":\"x\",\"epoch\":1,\"id\":6}".getBytes(UTF_8));
        assertInstanceOf(Decision.Answer.class, decider.decide(state, unknown));
    }
}
