package ringspindle.storagenode;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against mixed results: a leader sent what it held for a process of a data node to the next process there, which may be an
 * older version that counts its calls from 1.
 */
class JobReplyTest {
    private static final long FIRST_CALL = 1;

    private HollowLeader leader;

    @BeforeEach
    void startLeader() throws Exception {
        leader = new HollowLeader(new Random(1)::nextLong);
    }

    @Test
    void whatWasHeldForAnEarlierConnectionIsNotSentOverTheNext() {
        leader.dataNodeConnects(1);
        leader.submit(FIRST_CALL, "job-of-the-killed-process", 1);
        leader.dataNodeConnects(2);
        leader.sync();
        assertEquals(List.of(), leader.answered());

        leader.submit(FIRST_CALL, "job-of-the-next-process", 1);
        leader.sync();
        assertEquals(List.of(FIRST_CALL), leader.answered());
    }

    /** The connection of the next process stands a moment before the leader is told of it. */
    @Test
    void whatWasHeldIsNotSentToTheNextProcessBeforeTheLeaderIsToldOfIt() {
        leader.dataNodeConnects(1);
        leader.submit(FIRST_CALL, "job-of-the-killed-process", 1);
        leader.mesh().admit(HollowLeader.DATA, 2);
        leader.sync();
        assertEquals(List.of(), leader.answered());
    }

    @Test
    void aConnectionThatStandsGetsWhatWasHeld() {
        leader.dataNodeConnects(1);
        leader.submit(FIRST_CALL, "job", 1);
        assertEquals(List.of(), leader.answered(), "not on disk yet");
        leader.sync();
        assertEquals(List.of(FIRST_CALL), leader.answered());
    }
}
