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

/** Step definitions for races between completion, cancellation and deadlines. */
public class RaceSteps {
    private final List<TerminalEvent> terminalEvents = new ArrayList<>();
    private final AtomicInteger cleanups = new AtomicInteger();
    private final List<Attempt> attempts = new ArrayList<>();
    private final List<AttemptOutcome> engineFailures = new ArrayList<>();
    private Action action;
    private RetryPolicy policy;
    private RetryDecision decision;
    private long nowMs;
    private int raceCount;

    @Given("a {word} action with {int} engine(s) at most and {int} ms")
    public void open(String kind, int maxAttempts, int deadlineMs) {
        policy = new RetryPolicy(!kind.equals("once-only"), kind.equals("resumable"), maxAttempts);
        action = Action.open("a-1", 0, deadlineMs, terminalEvents::add);
        action.onEnd(cleanups::incrementAndGet);
    }

    @When("it has come to {string}")
    public void advanceTo(String phase) {
        advanceTo(phase, AttemptOutcome.BROKEN);
    }

    @When("it has come to {string} after {word}")
    public void advanceTo(String phase, String firstOutcome) {
        advanceTo(phase, AttemptOutcome.valueOf(firstOutcome));
    }

    private void advanceTo(String phase, AttemptOutcome firstOutcome) {
        switch (phase) {
            case "admission":
            case "queued":
                assertTrue(action.isLive(nowMs));
                break;
            case "connecting":
                startAttempt();
                break;
            case "waiting for a byte":
                startAttempt().markSent();
                break;
            case "mid-stream":
                startAttempt().markSent();
                action.commitResponse();
                break;
            case "fallback reserved":
                startAttempt().markSent();
                endAttempt(firstOutcome);
                assertEquals(RetryDecision.FALLBACK, decision);
                engineFailures.clear();
                break;
            case "during fallback":
                startAttempt().markSent();
                endAttempt(firstOutcome);
                engineFailures.clear();
                startAttempt().markSent();
                break;
            default:
                fail("no such phase: " + phase);
        }
    }

    private Attempt startAttempt() {
        Attempt attempt = action.startAttempt(nowMs, 3000);
        assertNotNull(attempt);
        attempts.add(attempt);
        return attempt;
    }

    private void endAttempt(AttemptOutcome outcome) {
        Attempt attempt = attempts.get(attempts.size() - 1);
        decision = action.endAttempt(attempt, outcome, policy, nowMs);
        if (attempt.outcome() != null && attempt.outcome().countsAsEngineFailure()) {
            assertNotEquals(
                    State.CANCELED, action.state(), "cancellation of the action must not count as an engine failure");
            engineFailures.add(attempt.outcome());
        }
    }

    @When("the client goes")
    public void clientDisconnects() {
        action.cancel(CancelCause.CLIENT_GONE, nowMs);
        // the cancellation breaks the connection to the engine, which may be reported twice
        if (!attempts.isEmpty() && attempts.get(attempts.size() - 1).outcome() == null) {
            endAttempt(AttemptOutcome.BROKEN);
            assertEquals(RetryDecision.NOTHING, decision);
            endAttempt(AttemptOutcome.BROKEN);
            assertEquals(RetryDecision.NOTHING, decision);
        }
        assertFalse(action.cancel(CancelCause.CLIENT_GONE, nowMs));
    }

    @When("the answer is whole")
    public void responseCompletes() {
        endAttempt(AttemptOutcome.ANSWERED);
        assertTrue(action.complete(nowMs));
    }

    @When("the attempt ends with {word}")
    public void attemptEnds(String outcome) {
        endAttempt(AttemptOutcome.valueOf(outcome));
    }

    @When("{int} ms pass")
    public void advanceClock(int elapsedMs) {
        nowMs += elapsedMs;
    }

    @Then("the verdict is {word}")
    public void assertDecision(String expected) {
        assertEquals(RetryDecision.valueOf(expected), decision);
    }

    @Then("it is {word} by {word}")
    public void assertCanceled(String state, String cause) {
        assertEquals(State.valueOf(state), action.state());
        assertEquals(CancelCause.valueOf(cause), terminalEvents.get(0).cause());
    }

    @Then("it is COMPLETED")
    public void assertCompleted() {
        assertEquals(State.COMPLETED, action.state());
    }

    @Then("{int} attempts were started")
    public void assertAttemptCount(int expected) {
        assertEquals(expected, action.attemptCount());
    }

    @Then("no further attempt can start")
    public void assertNoFurtherAttempt() {
        assertFalse(action.isLive(nowMs));
        assertNull(action.startAttempt(nowMs, 100));
    }

    @Then("the response is {}")
    public void assertResponseCommitted(String expected) {
        assertEquals(expected.equals("committed"), action.isResponseCommitted());
    }

    @Then("nothing counts against an engine")
    public void assertNoEngineFailure() {
        assertEquals(List.of(), engineFailures);
    }

    @Then("cleanup ran once")
    public void assertOneCleanup() {
        assertEquals(1, cleanups.get());
    }

    @Then("there is one terminal event")
    public void assertOneTerminalEvent() {
        assertEquals(1, terminalEvents.size());
    }

    @Then("the first attempt ended with {word}")
    public void assertFirstOutcome(String outcome) {
        assertEquals(AttemptOutcome.valueOf(outcome), attempts.get(0).outcome());
    }

    @Then("an attempt of {int} ms ends at {int} ms with its parent")
    public void assertDeadlineOfAction(int timeoutMs, int expectedMs) {
        Attempt attempt = action.startAttempt(0, timeoutMs);
        assertEquals(expectedMs, attempt.deadlineMs());
        assertFalse(attempt.hasOwnTimeout());
    }

    @Then("an attempt of {int} ms ends at {int} ms alone")
    public void assertOwnDeadline(int timeoutMs, int expectedMs) {
        Attempt attempt = action.startAttempt(0, timeoutMs);
        assertEquals(expectedMs, attempt.deadlineMs());
        assertTrue(attempt.hasOwnTimeout());
    }

    @When("completion and cancellation race {int} times")
    public void raceCompletionAndCancellation(int rounds) throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(2);
        for (int i = 0; i < rounds; i++) {
            AtomicInteger eventCount = new AtomicInteger();
            AtomicInteger cleanupCount = new AtomicInteger();
            Action racedAction = Action.open("a", 0, 1000, event -> eventCount.incrementAndGet());
            racedAction.onEnd(cleanupCount::incrementAndGet);
            CyclicBarrier barrier = new CyclicBarrier(2);
            Future<Boolean> completed = executor.submit(() -> {
                barrier.await();
                return racedAction.complete(1);
            });
            Future<Boolean> canceled = executor.submit(() -> {
                barrier.await();
                return racedAction.cancel(CancelCause.CLIENT_GONE, 1);
            });
            assertTrue(completed.get() ^ canceled.get());
            assertEquals(1, eventCount.get());
            assertEquals(1, cleanupCount.get());
            raceCount++;
        }
        executor.shutdown();
    }

    @Then("each had one winner and one terminal event")
    public void assertOneWinnerPerRace() {
        assertEquals(2000, raceCount);
    }
}
