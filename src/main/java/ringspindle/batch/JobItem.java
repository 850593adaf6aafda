package ringspindle.batch;

import java.util.Optional;
import ringspindle.protocol.BatchMessage.JobItemData;

/** An item of a job: what is to be run, and what has become of it by committed records. Confined to its {@link JobTable}. */
public final class JobItem {
    /** How an item is listed. */
    public enum State {
        /** It has run, and its text is whole. */
        COMPLETED(0, "completed"),
        /** It was given up. */
        DEAD_LETTER(1, "dead_letter");

        private final int code;
        private final String onWire;

        State(int code, String onWire) {
            this.code = code;
            this.onWire = onWire;
        }

        /** The number of the state in records. */
        public int code() {
            return code;
        }

        /** The name of the state in results. */
        String onWire() {
            return onWire;
        }

        /** The state of that number. */
        static State of(int code) {
            return code == COMPLETED.code ? COMPLETED : DEAD_LETTER;
        }
    }

    private final int index;
    private final String instance;
    private final long tokens;
    /** Null once it is listed. */
    private JobItemData data;

    private int failures;
    /** Null until it is listed. */
    private State state;

    private byte[] text;

    JobItem(int index, JobItemData data) {
        this.index = index;
        this.data = data;
        instance = data.instance();
        tokens = data.tokens();
    }

    /** Its place in the job as it was sent, from 0. */
    public int index() {
        return index;
    }

    /** Its id. */
    public String instance() {
        return instance;
    }

    /** What is to be run, empty once it is listed. */
    public Optional<JobItemData> data() {
        return Optional.ofNullable(data);
    }

    /** How often engines have run it and failed. */
    public int failures() {
        return failures;
    }

    /** True once it has a position among the results. */
    public boolean isListed() {
        return state != null;
    }

    long tokens() {
        return tokens;
    }

    State state() {
        return state;
    }

    byte[] text() {
        return text;
    }

    void fail() {
        failures++;
    }

    void list(State how, byte[] output) {
        state = how;
        text = output;
        data = null;
    }
}
