/**
 * Policies compared by session: which side of an experiment a session belongs to, what became of its requests, and whether
 * one side is worse. Pure: time, counts and documents come in as arguments.
 *
 * <p>{@link ringspindle.experiment.Experiment} is the replicated record, {@link ringspindle.experiment.ExperimentDocument} reads
 * the operator's, {@link ringspindle.experiment.SessionAssignment} divides sessions, {@link ringspindle.experiment.ExperimentTable}
 * holds what is in force at a data node, {@link ringspindle.experiment.OutcomeTable} counts there,
 * {@link ringspindle.experiment.OutcomeCollector} sums at control nodes, {@link ringspindle.experiment.Judge} decides.
 *
 * <p>May use {@code config}, {@code protocol} and {@code routing}; used by {@code replication}, {@code proxy}, {@code dataplane},
 * {@code controlplane} and {@code cli}.
 */
package ringspindle.experiment;
