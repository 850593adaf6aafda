package ringspindle.counter;

/**
 * Bounds of the counters of a node.
 *
 * @param copies disks that hold an increment before it is confirmed: as many as may be lost at once, and one more
 * @param bootstrap true for the first start of a system, when nobody can hold increments yet
 * @param retentionMs for how long at least an id is remembered after all members hold it, in milliseconds
 * @param instancesMax ids that are remembered at most; beyond them nothing new is taken
 * @param countersMax counters at most
 */
public record CounterSettings(int copies, boolean bootstrap, long retentionMs, int instancesMax, int countersMax) {
    /** An id that comes again later than this after all nodes hold it may count again. */
    public static final long RETENTION_MS = 15 * 60_000L;
    /** Some 45 MB of heap, and 30 MB in each of the two slots on disk. */
    public static final int INSTANCES_MAX = 250_000;
    /** A snapshot lists all names in one message. */
    public static final int COUNTERS_MAX = 10_000;

    /** {@code CounterSettings.of(2, false).copies()} is 3. */
    public static CounterSettings of(int lossesBorne, boolean bootstrap) {
        return new CounterSettings(lossesBorne + 1, bootstrap, RETENTION_MS, INSTANCES_MAX, COUNTERS_MAX);
    }
}
