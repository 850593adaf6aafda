package ringspindle.config;

/**
 * How much of the engines the items of batch jobs may take beside live requests.
 *
 * @param policy what decides how many items run at a time
 * @param engineShare part of the places of the engines that all items of one leader may take, over 0 and up to 1
 * @param leastShare part of these places that items may take however much time they have, up to {@code engineShare}
 * @param reservedShare part of the places of an engine that stays free for live requests: an engine with less gets no item
 * @param nodeRunsMax the most items that one storage node runs for one leader
 */
public record BatchSettings(
        Policy policy, double engineShare, double leastShare, double reservedShare, int nodeRunsMax) {
    /** What holds where the settings say nothing; measured on days with live and batch load. */
    public static final BatchSettings DEFAULT = new BatchSettings(Policy.DEADLINE, 0.45, 0.1, 0.35, 40);

    /** What decides how many items run at a time. */
    public enum Policy {
        /** As many as {@code engineShare} allows. */
        SHARE,
        /** As many as it takes for all jobs to be done in time, and no more than {@code engineShare} allows. */
        DEADLINE
    }
}
