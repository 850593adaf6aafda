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

/** Tests the commands on experiments at the head of the chain, from operators and from the current judge. */
class ExperimentCommandsTest {
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

    private static String startCommand(String document) {
        return "{\"order\":\"start\",\"document\":" + document + "}";
    }

    private Outcome submit(String name, String body, long baseSeq) {
        Decision decision = decider.decide(state, CallKind.EXPERIMENT.call(1, baseSeq, name, body.getBytes(UTF_8)));
        if (decision instanceof Decision.Commit commit) {
            state = ControlState.apply(state, commit.op());
            return Outcome.TAKEN;
        }
        return assertInstanceOf(Decision.Answer.class, decision).outcome();
    }

    private Outcome submit(String name, String body) {
        return submit(name, body, state.seq());
    }

    private Outcome submitJudgeOrder(JudgeOrder order, long epoch, long id) {
        return submit("near", new String(order.body(epoch, id), UTF_8));
    }

    private Experiment nearExperiment() {
        Mark mark = ControlState.findMark(state, MarkKind.EXPERIMENT, "near");
        return Experiment.read(mark.value());
    }

    private static JudgeOrder look(int number) {
        return new JudgeOrder.Look(new Progress(number, 400, 6));
    }

    @Test
    void aRepeatedStartChangesNothing() {
        assertEquals(Outcome.TAKEN, submit("near", startCommand(DOCUMENT)));
        assertEquals(6, nearExperiment().id());
        long sequence = state.seq();
        assertEquals(Outcome.TAKEN, submit("near", startCommand(DOCUMENT)));
        assertEquals(sequence, state.seq(), "a repeated command changes nothing");
        assertEquals(Outcome.CLASH, submit("near", startCommand(DOCUMENT.replace("0.5,", "0.7,"))));
    }

    @Test
    void unknownNamesAndConflictsAreRejected() {
        assertEquals(Outcome.INVALID, submit("near", startCommand(DOCUMENT.replace("scrip", "scrap"))));
        assertEquals(
                Outcome.INVALID,
                submit("far", startCommand(DOCUMENT)),
                "the name in the path differs from the document");
        assertEquals(Outcome.TAKEN, submit("near", startCommand(DOCUMENT)));
        String second = DOCUMENT.replace("\"name\": \"near\", \"routes\"", "\"name\": \"two\", \"routes\"");
        assertEquals(Outcome.INVALID, submit("two", startCommand(second)), "the salt was used before");
        assertEquals(
                Outcome.INVALID,
                submit("two", startCommand(second.replace("one", "other"))),
                "the route belongs to another experiment");
        String digests = second.replace("one", "other").replace("scrip", "digest");
        assertEquals(Outcome.TAKEN, submit("two", startCommand(digests)));
        assertEquals(Outcome.NO_SUCH, submit("none", "{\"order\":\"pause\"}"));
    }

    @Test
    void rampOnlyGrows() {
        submit("near", startCommand(DOCUMENT));
        assertEquals(Outcome.TAKEN, submit("near", "{\"order\":\"ramp\",\"to\":0.8}"));
        assertEquals(Outcome.INVALID, submit("near", "{\"order\":\"ramp\",\"to\":0.7}"));
        assertEquals(Outcome.INVALID, submit("near", "{\"order\":\"ramp\",\"to\":1.1}"));
        assertEquals(0.8, nearExperiment().ramp());
    }

    @Test
    void judgeOrderOfAnOlderEpochOrAnotherExperimentIsRejected() {
        submit("near", startCommand(DOCUMENT));
        long epoch = state.lineage();
        long id = nearExperiment().id();
        JudgeOrder worse = new JudgeOrder.Worse("as-is", "near is worse");
        assertEquals(Outcome.CLASH, submitJudgeOrder(worse, epoch - 1, id));
        assertEquals(Outcome.CLASH, submitJudgeOrder(worse, epoch, id - 1));
        assertEquals(Outcome.TAKEN, submitJudgeOrder(worse, epoch, id));
        assertEquals(Standing.HALTED, nearExperiment().state());
        assertEquals("as-is", nearExperiment().survivor());
        assertEquals(Outcome.CLASH, submitJudgeOrder(worse, epoch, id), "an experiment halts only once");
        assertEquals(Outcome.CLASH, submitJudgeOrder(new JudgeOrder.Over("late"), epoch, id));
    }

    @Test
    void eachLookIsCommittedOnce() {
        submit("near", startCommand(DOCUMENT));
        long epoch = state.lineage();
        long id = nearExperiment().id();
        assertEquals(Outcome.TAKEN, submitJudgeOrder(look(1), epoch, id));
        assertEquals(Outcome.CLASH, submitJudgeOrder(look(1), epoch, id));
        assertEquals(Outcome.CLASH, submitJudgeOrder(look(3), epoch, id));
        assertEquals(Outcome.TAKEN, submitJudgeOrder(look(2), epoch, id));
        assertEquals(2, nearExperiment().progress().looks());
    }

    @Test
    void aDelayedOperatorCommandChangesNothing() {
        submit("near", startCommand(DOCUMENT));
        long delayedBaseSeq = state.seq();
        submit("near", "{\"order\":\"pause\"}");
        assertEquals(Outcome.UNCLEAR, submit("near", "{\"order\":\"promote\",\"side\":\"near\"}", delayedBaseSeq));
        assertEquals(Standing.PAUSED, nearExperiment().state());
    }

    @Test
    void promotedPolicyStaysUntilAnotherExperimentReplacesIt() {
        submit("near", startCommand(DOCUMENT));
        assertEquals(Outcome.INVALID, submit("near", "{\"order\":\"promote\",\"side\":\"moon\"}"));
        assertEquals(Outcome.TAKEN, submit("near", "{\"order\":\"promote\",\"side\":\"near\"}"));
        assertEquals("near", nearExperiment().survivor());
        assertTrue(!nearExperiment().isOpen());
        assertEquals(Outcome.TAKEN, submit("near", startCommand(DOCUMENT.replace("one", "next"))));
        assertEquals(Standing.RUNNING, nearExperiment().state());
    }

    @Test
    void malformedCommandsAreRejected() {
        submit("near", startCommand(DOCUMENT));
        for (String body : new String[] {"", "{}", "{\"order\":1}", "{\"order\":\"look\"}", "{\"order\":\"start\"}"}) {
            assertEquals(Outcome.INVALID, submit("near", body), body);
        }
        assertEquals(Standing.RUNNING, nearExperiment().state());
        Call unknown = CallKind.EXPERIMENT.call(1, 0, "near", "{\"order\":\"x\",\"epoch\":1,\"id\":6}".getBytes(UTF_8));
        assertInstanceOf(Decision.Answer.class, decider.decide(state, unknown));
    }
}
