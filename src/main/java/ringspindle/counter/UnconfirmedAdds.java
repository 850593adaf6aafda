package ringspindle.counter;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import ringspindle.api.Outcome;

/** Calls that wait until enough replicas hold their increment. */
final class UnconfirmedAdds {
    /**
     * One call.
     *
     * @param call its number
     * @param origin with {@code sequence}, the increment that it waits for
     * @param sinceMs when it came in
     */
    record Waiting(long call, long origin, long sequence, long sinceMs) {}

    private final List<Waiting> waiting = new ArrayList<>();

    /** A call waits from now on. */
    void add(Waiting call) {
        waiting.add(call);
    }

    /** How many calls wait. */
    int size() {
        return waiting.size();
    }

    /** Answers those calls for which there is an outcome, and keeps the others. */
    List<CounterReplica.Out> answer(Function<Waiting, Optional<Outcome>> outcomes) {
        List<CounterReplica.Out> answers = new ArrayList<>();
        for (Iterator<Waiting> calls = waiting.iterator(); calls.hasNext(); ) {
            Waiting call = calls.next();
            Optional<Outcome> outcome = outcomes.apply(call);
            if (outcome.isPresent()) {
                answers.add(new CounterReplica.Out.Answer(call.call(), outcome.get()));
                calls.remove();
            }
        }
        return answers;
    }
}
