/**
 * Batch jobs. So far the program of a storage node and nothing else: jobs are refused by the data plane.
 *
 * <p>May use {@code config}; used by the program.
 */
package ringspindle.batch;
