/**
 * A program's own figures as text for scrapers, by the Prometheus client library. A program states what there is as functions
 * of its state; nothing is counted or built before the first scrape, so a node that nobody scrapes pays for nothing.
 *
 * <p>May use {@code protocol} (addresses); used by {@code proxy}, {@code dataplane} and {@code controlplane}.
 */
package ringspindle.metrics;
