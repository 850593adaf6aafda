/**
 * Batch jobs: what is a proper one, what is kept of it, what runs next, and what its readers are told. A job is accepted whole;
 * its results are listed at positions that never change. State changes by committed records alone, so that every replica of a
 * shard comes to the same.
 *
 * <p>State machines: time comes in as calls. May use {@code protocol}; used by {@code storagenode}.
 */
package ringspindle.batch;
