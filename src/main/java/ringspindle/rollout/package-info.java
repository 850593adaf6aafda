/**
 * Plans rollouts: which order the holder of the rollout duty gives next. Owns no state but since when each engine has had
 * its turn; the rollout itself stands in the control state.
 *
 * <p>May use {@code replication}, for the rollout as it stands there; used by {@code controlplane}.
 */
package ringspindle.rollout;
