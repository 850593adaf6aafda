package ringspindle.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import ringspindle.retry.Action.Cause;
import ringspindle.retry.Action.End;
import ringspindle.retry.Action.Policy;
import ringspindle.retry.Action.State;
import ringspindle.retry.Action.Terminal;
import ringspindle.retry.Action.Verdict;

/** Steps of the scenarios in which completion, cancellation and deadlines race. */
public class RaceSteps {
    private final List<Terminal> terminals = new ArrayList<>();
    private final AtomicInteger cleanups = new AtomicInteger();
    private final List<Attempt> attempts = new ArrayList<>();
    private final List<End> against = new ArrayList<>();
    private Action action;
    private Policy policy;
    private Verdict verdict;
    private long nowMs;
    private int races;

    @Given("a {word} action with {int} engine(s) at most and {int} ms")
    public void open(String kind, int most, int ms) {
        policy = new Policy(!kind.equals("once-only"), kind.equals("resumable"), most);
        action = Action.open("a-1", 0, ms, terminals::add);
        action.onEnd(cleanups::incrementAndGet);
    }

    @When("it has come to {string}")
    public void come(String when) {
        comeAfter(when, End.BROKEN);
    }

    @When("it has come to {string} after {word}")
    public void comeAfter(String when, String end) {
        comeAfter(when, End.valueOf(end));
    }

    private void comeAfter(String when, End firstEnd) {
        switch (when) {
            case "admission":
            case "queued":
                assertTrue(action.live(nowMs));
                break;
            case "connecting":
                start();
                break;
            case "waiting for a byte":
                start().sent();
                break;
            case "mid-stream":
                start().sent();
                action.commitResponse();
                break;
            case "fallback reserved":
                start().sent();
                end(firstEnd);
                assertEquals(Verdict.FALLBACK, verdict);
                against.clear();
                break;
            case "during fallback":
                start().sent();
                end(firstEnd);
                against.clear();
                start().sent();
                break;
            default:
                fail("no such boundary: " + when);
        }
    }

    private Attempt start() {
        Attempt a = action.attempt(nowMs, 3000);
        assertNotNull(a);
        attempts.add(a);
        return a;
    }

    private void end(End e) {
        Attempt a = attempts.get(attempts.size() - 1);
        verdict = action.ended(a, e, policy, nowMs);
        if (a.end() != null && a.end().againstEngine()) {
            against.add(a.end());
        }
    }

    @When("the consumer goes")
    public void gone() {
        action.cancel(Cause.CONSUMER_GONE, nowMs);
        // the wire to the engine breaks because of that, and twice at that
        if (!attempts.isEmpty() && attempts.get(attempts.size() - 1).end() == null) {
            end(End.BROKEN);
            assertEquals(Verdict.NOTHING, verdict);
            end(End.BROKEN);
            assertEquals(Verdict.NOTHING, verdict);
        }
        assertFalse(action.cancel(Cause.CONSUMER_GONE, nowMs));
    }

    @When("the answer is whole")
    public void whole() {
        end(End.ANSWERED);
        assertTrue(action.complete(nowMs));
    }

    @When("the attempt ends with {word}")
    public void ends(String e) {
        end(End.valueOf(e));
    }

    @When("{int} ms pass")
    public void pass(int ms) {
        nowMs += ms;
    }

    @Then("the verdict is {word}")
    public void verdict(String v) {
        assertEquals(Verdict.valueOf(v), verdict);
    }

    @Then("it is {word} by {word}")
    public void is(String state, String cause) {
        assertEquals(State.valueOf(state), action.state());
        assertEquals(Cause.valueOf(cause), terminals.get(0).cause());
        assertFalse(terminals.get(0).cause().againstEngine());
    }

    @Then("it is COMPLETED")
    public void completed() {
        assertEquals(State.COMPLETED, action.state());
    }

    @Then("{int} attempts were started")
    public void started(int n) {
        assertEquals(n, action.attempts());
    }

    @Then("no further attempt can start")
    public void none() {
        assertFalse(action.live(nowMs));
        assertNull(action.attempt(nowMs, 100));
    }

    @Then("the response is {}")
    public void committed(String how) {
        assertEquals(how.equals("committed"), action.responseCommitted());
    }

    @Then("nothing counts against an engine")
    public void nothing() {
        assertEquals(List.of(), against);
    }

    @Then("cleanup ran once")
    public void cleanup() {
        assertEquals(1, cleanups.get());
    }

    @Then("there is one terminal event")
    public void one() {
        assertEquals(1, terminals.size());
    }

    @Then("the first attempt ended with {word}")
    public void first(String e) {
        assertEquals(End.valueOf(e), attempts.get(0).end());
    }

    @Then("an attempt of {int} ms ends at {int} ms with its parent")
    public void withParent(int ms, int at) {
        Attempt a = action.attempt(0, ms);
        assertEquals(at, a.deadlineMs());
        assertFalse(a.timesOutAlone());
    }

    @Then("an attempt of {int} ms ends at {int} ms alone")
    public void alone(int ms, int at) {
        Attempt a = action.attempt(0, ms);
        assertEquals(at, a.deadlineMs());
        assertTrue(a.timesOutAlone());
    }

    @When("completion and cancellation race {int} times")
    public void race(int times) throws Exception {
        ExecutorService two = Executors.newFixedThreadPool(2);
        for (int i = 0; i < times; i++) {
            AtomicInteger events = new AtomicInteger();
            AtomicInteger cleaned = new AtomicInteger();
            Action a = Action.open("a", 0, 1000, t -> events.incrementAndGet());
            a.onEnd(cleaned::incrementAndGet);
            CyclicBarrier both = new CyclicBarrier(2);
            Future<Boolean> done = two.submit(() -> {
                both.await();
                return a.complete(1);
            });
            Future<Boolean> gone = two.submit(() -> {
                both.await();
                return a.cancel(Cause.CONSUMER_GONE, 1);
            });
            assertTrue(done.get() ^ gone.get());
            assertEquals(1, events.get());
            assertEquals(1, cleaned.get());
            races++;
        }
        two.shutdown();
    }

    @Then("each had one winner and one terminal event")
    public void winners() {
        assertEquals(2000, races);
    }
}
