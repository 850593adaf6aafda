package ringspindle.experiment;

/**
 * One side of an experiment.
 *
 * @param share of the sessions once the ramp is complete, over 0 and below 1
 */
public record Side(String name, double share, Policy policy) {}
