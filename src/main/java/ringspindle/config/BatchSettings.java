package ringspindle.config;

/**
 * How much of the engines the items of batch jobs may take beside live requests.
 *
 * @param engineShare part of the places of the engines that all items of one leader may take, over 0 and up to 1
 * @param reservedShare part of the places of an engine that stays free for live requests: an engine with less gets no item
 * @param nodeRunsMax the most items that one storage node runs for one leader
 */
public record BatchSettings(double engineShare, double reservedShare, int nodeRunsMax) {
    /** What holds where the settings say nothing; measured on days with live and batch load. */
    public static final BatchSettings DEFAULT = new BatchSettings(0.45, 0.35, 40);
}
