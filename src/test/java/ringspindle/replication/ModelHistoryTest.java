package ringspindle.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Histories written by hand: what the linearizability check lets pass, and what it does not. */
class ModelHistoryTest {
    private final ModelHistory history = new ModelHistory();

    private ModelHistory.Write taken(long base, long revision) {
        ModelHistory.Write write = history.invoke(base, revision, "");
        history.acknowledge(write);
        return write;
    }

    private void read(long revision) {
        history.answerRead(revision, history.tick());
    }

    private List<ModelViolation.Kind> kinds() {
        return history.check(0).stream().map(ModelViolation::kind).toList();
    }

    @Test
    void ordersAndReadsInTurn() {
        read(0);
        taken(0, 1);
        read(1);
        taken(1, 3);
        read(3);
        assertEquals(List.of(), kinds());
    }

    @Test
    void orderWithoutAnswerMayTakeEffectLate() {
        history.invoke(0, 1, "");
        read(0);
        read(1);
        taken(1, 2);
        read(2);
        assertEquals(List.of(), kinds());
    }

    @Test
    void readDuringAnOrderMaySeeEither() {
        long early = history.tick();
        ModelHistory.Write write = history.invoke(0, 1, "");
        read(1);
        history.acknowledge(write);
        history.answerRead(0, early);
        assertEquals(List.of(), kinds());
    }

    @Test
    void oldReadAfterAnAcknowledgement() {
        taken(0, 1);
        read(0);
        assertEquals(List.of(ModelViolation.Kind.NOT_LINEARIZABLE), kinds());
    }

    @Test
    void oldReadAfterANewerRead() {
        history.invoke(0, 1, "");
        read(1);
        read(0);
        assertEquals(List.of(ModelViolation.Kind.NOT_LINEARIZABLE), kinds());
    }

    @Test
    void readBeforeTheOrderWasSent() {
        long early = history.tick();
        history.answerRead(1, early);
        history.invoke(0, 1, "");
        assertEquals(List.of(ModelViolation.Kind.NOT_LINEARIZABLE), kinds());
    }

    @Test
    void twoOrdersOnOneBase() {
        taken(0, 1);
        taken(0, 2);
        assertEquals(List.of(ModelViolation.Kind.TWO_WINNERS), kinds());
    }

    @Test
    void orderOnABaseThatNeverTookEffect() {
        taken(7, 8);
        assertEquals(List.of(ModelViolation.Kind.WRONG_BODY), kinds());
    }

    @Test
    void refusedOrderThatTookEffect() {
        history.refuse(taken(0, 1));
        assertEquals(List.of(ModelViolation.Kind.REFUSED_AGAIN), kinds());
    }
}
