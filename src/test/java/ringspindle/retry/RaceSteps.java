package ringspindle.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
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
import ringspindle.retry.Action.State;

/** Steps of the scenarios in which completion, cancellation and deadlines race. */
public class RaceSteps {
    private final List<TerminalEvent> terminals = new ArrayList<>();
    private final AtomicInteger cleanups = new AtomicInteger();
    private final List<Attempt> attempts = new ArrayList<>();
    private final List<AttemptOutcome> against = new ArrayList<>();
    private Action action;
    private RetryPolicy policy;
    private RetryDecision verdict;
    private long nowMs;
    private int races;

    @Given("a {word} action with {int} engine(s) at most and {int} ms")
    public void open(String kind, int most, int ms) {
        policy = new RetryPolicy(!kind.equals("once-only"), kind.equals("resumable"), most);
        action = Action.open("a-1", 0, ms, terminals::add);
        action.onEnd(cleanups::incrementAndGet);
    }

    @When("it has come to {string}")
    public void come(String when) {
        comeAfter(when, AttemptOutcome.BROKEN);
    }

    @When("it has come to {string} after {word}")
    public void comeAfter(String when, String end) {
        comeAfter(when, AttemptOutcome.valueOf(end));
    }

    private void comeAfter(String when, AttemptOutcome firstEnd) {
        switch (when) {
            case "admission":
            case "queued":
                assertTrue(action.isLive(nowMs));
                break;
            case "connecting":
                start();
                break;
            case "waiting for a byte":
                start().markSent();
                break;
            case "mid-stream":
                start().markSent();
                action.commitResponse();
                break;
            case "fallback reserved":
                start().markSent();
                end(firstEnd);
                assertEquals(RetryDecision.FALLBACK, verdict);
                against.clear();
                break;
            case "during fallback":
                start().markSent();
                end(firstEnd);
                against.clear();
                start().markSent();
                break;
            default:
                fail("no such boundary: " + when);
        }
    }

    private Attempt start() {
        Attempt a = action.startAttempt(nowMs, 3000);
        assertNotNull(a);
        attempts.add(a);
        return a;
    }

    private void end(AttemptOutcome e) {
        Attempt a = attempts.get(attempts.size() - 1);
        verdict = action.endAttempt(a, e, policy, nowMs);
        if (a.outcome() != null && a.outcome().countsAsEngineFailure()) {
            assertNotEquals(State.CANCELED, action.state(), "what ended the action counts against an engine");
            against.add(a.outcome());
        }
    }

    @When("the client goes")
    public void gone() {
        action.cancel(CancelCause.CLIENT_GONE, nowMs);
        // the wire to the engine breaks because of that, and twice at that
        if (!attempts.isEmpty() && attempts.get(attempts.size() - 1).outcome() == null) {
            end(AttemptOutcome.BROKEN);
            assertEquals(RetryDecision.NOTHING, verdict);
            end(AttemptOutcome.BROKEN);
            assertEquals(RetryDecision.NOTHING, verdict);
        }
        assertFalse(action.cancel(CancelCause.CLIENT_GONE, nowMs));
    }

    @When("the answer is whole")
    public void whole() {
        end(AttemptOutcome.ANSWERED);
        assertTrue(action.complete(nowMs));
    }

    @When("the attempt ends with {word}")
    public void ends(String e) {
        end(AttemptOutcome.valueOf(e));
    }

    @When("{int} ms pass")
    public void pass(int ms) {
        nowMs += ms;
    }

    @Then("the verdict is {word}")
    public void verdict(String v) {
        assertEquals(RetryDecision.valueOf(v), verdict);
    }

    @Then("it is {word} by {word}")
    public void is(String state, String cause) {
        assertEquals(State.valueOf(state), action.state());
        assertEquals(CancelCause.valueOf(cause), terminals.get(0).cause());
    }

    @Then("it is COMPLETED")
    public void completed() {
        assertEquals(State.COMPLETED, action.state());
    }

    @Then("{int} attempts were started")
    public void started(int n) {
        assertEquals(n, action.attemptCount());
    }

    @Then("no further attempt can start")
    public void none() {
        assertFalse(action.isLive(nowMs));
        assertNull(action.startAttempt(nowMs, 100));
    }

    @Then("the response is {}")
    public void committed(String how) {
        assertEquals(how.equals("committed"), action.isResponseCommitted());
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
        assertEquals(AttemptOutcome.valueOf(e), attempts.get(0).outcome());
    }

    @Then("an attempt of {int} ms ends at {int} ms with its parent")
    public void withParent(int ms, int at) {
        Attempt a = action.startAttempt(0, ms);
        assertEquals(at, a.deadlineMs());
        assertFalse(a.hasOwnTimeout());
    }

    @Then("an attempt of {int} ms ends at {int} ms alone")
    public void alone(int ms, int at) {
        Attempt a = action.startAttempt(0, ms);
        assertEquals(at, a.deadlineMs());
        assertTrue(a.hasOwnTimeout());
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
                return a.cancel(CancelCause.CLIENT_GONE, 1);
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
