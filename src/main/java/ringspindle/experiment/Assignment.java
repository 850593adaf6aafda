package ringspindle.experiment;

/**
 * What an experiment says of one request, held for good when the request is admitted.
 *
 * @param experiment id of the experiment
 * @param side index of the side that the session is on, {@link SessionAssignment#OUTSIDE} if its outcome is not counted
 * @param route index of the route among those of the experiment
 * @param group the group of sessions that the outcome is counted under
 * @param policy the policy to follow
 */
public record Assignment(long experiment, int side, int route, int group, Policy policy) {
    /** True if the outcome counts for a side. */
    public boolean isCounted() {
        return side != SessionAssignment.OUTSIDE;
    }
}
