package ringspindle.batch;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.Collections;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ringspindle.protocol.BatchMessage.JobCall;
import ringspindle.protocol.BatchMessage.JobItemData;

/** What is a proper job, and why others are refused whole. */
class JobSubmissionTest {
    private static final String ITEM =
            "{'instanceId':'e5','path':'/p/1','requestHeaders':{'Model':'m','Tenant':'x','Deadline-Ms':'9'},'requestBody':'q80=','tokenCount':940}";

    private static JobSubmission read(String body) {
        byte[] json = body.replace('\'', '"').getBytes(UTF_8);
        return JobSubmission.read(new JobCall(1, 1, 0, 0, 0, "7c41", "", "r", "h", "", json), 60);
    }

    private static SubmissionError error(String body) {
        return assertInstanceOf(JobSubmission.Refused.class, read(body)).error();
    }

    private static String job(String... items) {
        return "{'requests':[" + String.join(",", items) + "]}";
    }

    @Test
    void aProperJobIsReadWithoutWhatIsNotTheClientsToSet() {
        JobSubmission.Proper proper = assertInstanceOf(JobSubmission.Proper.class, read(job(ITEM)));
        JobItemData item = proper.job().items().get(0);
        assertEquals("Model: m\n", new String(item.headers(), UTF_8));
        assertArrayEquals(new byte[] {(byte) 0xab, (byte) 0xcd}, item.body());
        assertEquals(940, proper.tokens());
        assertEquals(60, proper.job().maxWaitS());
    }

    @Test
    void countsOfItemsAreBounded() {
        assertEquals(SubmissionError.ITEM_COUNT, error(job()));
        assertEquals(
                SubmissionError.ITEM_COUNT,
                error(job(Collections.nCopies(201, ITEM).toArray(String[]::new))));
        assertEquals(SubmissionError.DOUBLED_ID, error(job(ITEM, ITEM)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "'e5'|'a/b'|MALFORMED_ID",
                "'e5'|''|MALFORMED_ID",
                "'e5'|7|WRONG_FIELD",
                "'/p/1'|'p/1'|MALFORMED_PATH",
                "'/p/1'|'/p 1'|MALFORMED_PATH",
                "'/p/1'|'/p\\n'|MALFORMED_PATH",
                "'m'|'m\\r\\nX: y'|MALFORMED_HEADER",
                "'Model'|'Mo del'|MALFORMED_HEADER",
                "'q80='|'q8 0='|MALFORMED_BODY",
                "940|-1|TOKEN_COUNT",
                "940|9999999999|TOKEN_COUNT",
                "940|1.5|WRONG_FIELD",
                "'tokenCount'|'tokens'|WRONG_FIELD",
                "'path'|'pat'|WRONG_FIELD"
            })
    void aBadItemRefusesTheWholeJob(String proper, String bad, SubmissionError expected) {
        assertEquals(expected, error(job(ITEM.replace(proper, bad))));
    }

    @Test
    void whatIsNoJsonObjectIsUnreadable() {
        for (String body : new String[] {"", "[]", "{'requests':[", "null", "{}{"}) {
            JobSubmission read = read(body);
            assertInstanceOf(JobSubmission.Refused.class, read, body);
        }
        assertEquals(SubmissionError.WRONG_FIELD, error("{'requests':7}"));
        assertEquals(SubmissionError.WRONG_FIELD, error("{}"));
    }
}
